"""Job identifiers: UUIDv7, made by the caller."""

import dataclasses
import uuid

from result import Err
from result import Ok
from result import Result
import uuid6

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80


@dataclasses.dataclass(frozen=True, slots=True)
class JobId:
    """A job's identifier, which tells when it was made.

    Attributes
    ----------
    value : bytes
        The 16 bytes of the UUIDv7.
    """

    value: bytes

    @property
    def created_ms(self) -> int:
        """The caller's Unix time in milliseconds when it made the id."""
        return int.from_bytes(self.value[:6], "big")

    def __str__(self) -> str:
        return str(uuid.UUID(bytes=self.value))


def new_job_id() -> JobId:
    """Return a fresh identifier dated now."""
    return JobId(uuid6.uuid7().bytes)


def job_id_at(created_ms: int, suffix: int) -> JobId:
    """Return the identifier with a given date and random part.

    Parameters
    ----------
    created_ms : int
        Unix time in milliseconds.
    suffix : int
        Taken modulo 2**62 as the random part.

    Returns
    -------
    JobId
    """
    number = (created_ms << TIMESTAMP_SHIFT_BITS) | (0x7 << 76)
    number |= (0x2 << 62) | (suffix % (1 << 62))
    return JobId(number.to_bytes(16, "big"))


def parse_job_id(text: str) -> Result[JobId, str]:
    """Read a job identifier.

    Parameters
    ----------
    text : str
        A UUIDv7 in its usual form.

    Returns
    -------
    Result of JobId or str
        The error says what was found and what is accepted.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return Err(f"job id {text!r} is not a UUID; a UUIDv7 is accepted")
    if parsed.version != UUID_VERSION:
        return Err(
            f"job id {text!r} is a UUID of version {parsed.version}; "
            "a UUIDv7 is accepted"
        )
    return Ok(JobId(parsed.bytes))
