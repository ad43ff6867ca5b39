"""Messages between entries about jobs and configurations.

Each class mirrors the struct of the same name in wire.thrift.
"""

import msgspec

from egretcart.direct.request.bounds import Amount
from egretcart.direct.request.bounds import Name
from egretcart.direct.request.crash_scores import CrashScore


class JobsTaken(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs that the sender has accepted recently."""

    job_ids: tuple[str, ...] = ()


class CrashScoresRaised(msgspec.Struct, frozen=True, kw_only=True):
    """Tasks under which backend servers have crashed recently."""

    tasks: tuple[CrashScore, ...] = ()


class ReleaseJob(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the entry that has accepted a job to yield it to the sender.

    Attributes
    ----------
    number : int
        Number of the sender's claim; `JobReleased` repeats it.
    job_id : str
    owner : str
        The entry to which the receiver is to pass this on; empty if that is
        the receiver itself.
    claimant : str
        The entry that takes the job over; empty if that is the sender.
    """

    number: Amount = 0
    job_id: Name = ""
    owner: Name = ""
    claimant: Name = ""


class JobReleased(msgspec.Struct, frozen=True, kw_only=True):
    """Answers `ReleaseJob`: no run of the job is left for its owner.

    If the question was to be passed on and the owner could not be reached,
    nothing is known of its runs.

    Attributes
    ----------
    number : int
        That of the `ReleaseJob`.
    state : str
        Value of a `JobState` if the job has ended; else empty.
    """

    number: Amount = 0
    state: str = ""


class RoutingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks an entry for its active configuration, on the same link.

    Attributes
    ----------
    version : int
        Version of the sender's active configuration; 0 for none.
    """

    version: Amount = 0


class Routing(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration, sent to an entry that has asked for it.

    Attributes
    ----------
    version : int
    document : bytes
        As `encode_routing` returns it.
    """

    version: Amount = 0
    document: bytes = b""
