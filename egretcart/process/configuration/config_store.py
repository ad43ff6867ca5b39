"""Storage of configuration versions and their audit entries."""

import dataclasses
from typing import Protocol
from typing import TypeVar

import msgspec
import trio

from egretcart.process.store.platform import KeyRange
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import Put
from egretcart.request.json_decoding import decode_json
from egretcart.request.verdict import Verdict
from egretcart.version.change import AuditEntry
from egretcart.version.change import ChangeAttempt
from egretcart.version.change import ChangeOutcome
from egretcart.version.change import CurrentVersion
from egretcart.version.change import ProposedChange
from egretcart.version.change import ReadCurrent
from egretcart.version.change import ReadEntry
from egretcart.version.change import Step
from egretcart.version.change import WriteVersion
from egretcart.version.document import Configuration

CONFIG_KEY = "egretcart/config"
HISTORY_PREFIX = "egretcart/history/"
# Outside the range of the configuration and the entries, which is watched,
# so that a version's document is not reported to the watches.
DOCUMENTS_PREFIX = "egretcart/versions/"
RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HistoryLimits:
    """Number of versions that are kept in the store.

    Attributes
    ----------
    max_documents : int
        Number of newest versions whose documents are kept, for rollbacks.
    max_entries : int
        Number of newest versions whose audit entries are kept.
    """

    max_documents: int = 300
    max_entries: int = 20_000


def history_key(version: int) -> str:
    """Return the key of a version's audit entry; keys sort by version."""
    return f"{HISTORY_PREFIX}{version:010d}"


def document_key(version: int) -> str:
    """Return the key of a version's document; keys sort by version."""
    return f"{DOCUMENTS_PREFIX}{version:010d}"


class ConfigReader(Protocol):
    """Reads the stored versions.

    Every method raises `PlatformError` if there is no usable answer.
    """

    async def read_current(self) -> CurrentVersion | None:
        """Return the current document, or None if there is none."""

    async def read_entry(self, version: int) -> AuditEntry | None:
        """Return the audit entry of a version, or None if it is not kept."""

    async def read_document(self, version: int) -> Configuration | None:
        """Return the document of a version, or None if it is not kept."""

    async def read_history(self, first_version: int) -> tuple[AuditEntry, ...]:
        """Return the audit entries from a version on, oldest first."""


class ConfigStore(ConfigReader, Protocol):
    """Reads and writes the stored versions."""

    async def write(self, step: WriteVersion) -> bool:
        """Write a version if the current document's revision is unchanged.

        Returns whether the version was written. Raises `PlatformError` if
        there is no usable answer.
        """


class PlatformConfigStore:
    """A `ConfigStore` in the platform's store.

    Parameters
    ----------
    platform : Platform
    limits : HistoryLimits, optional
    """

    def __init__(
        self, *, platform: Platform, limits: HistoryLimits | None = None
    ) -> None:
        self.platform = platform
        self.limits = limits or HistoryLimits()

    async def read_current(self) -> CurrentVersion | None:
        """Return the current document, or None if there is none."""
        stored = await self.platform.get(CONFIG_KEY)
        if stored is None:
            return None
        document = decode_configuration(stored.data)
        return CurrentVersion(document=document, revision=stored.revision)

    async def read_entry(self, version: int) -> AuditEntry | None:
        """Return the audit entry of a version, or None if it is not kept."""
        stored = await self.platform.get(history_key(version))
        if stored is None:
            return None
        return _decode_stored(stored.data, AuditEntry)

    async def read_document(self, version: int) -> Configuration | None:
        """Return the document of a version, or None if it is not kept."""
        stored = await self.platform.get(document_key(version))
        if stored is None:
            return None
        return decode_configuration(stored.data)

    async def read_history(self, first_version: int) -> tuple[AuditEntry, ...]:
        """Return the audit entries from a version on, oldest first."""
        history_range = prefix_range(HISTORY_PREFIX)
        keys = KeyRange(history_key(first_version), history_range.end)
        listing = await self.platform.list_range(keys)
        return tuple(
            _decode_stored(value.data, AuditEntry)
            for _, value in sorted(listing.values.items())
        )

    async def write(self, step: WriteVersion) -> bool:
        """Write a version if the current document's revision is unchanged.

        The same transaction removes the documents and audit entries that
        are too old for the limits. Returns whether the version was written.
        """
        version = step.entry.version
        document = msgspec.json.encode(step.document)
        history = history_key(version)
        return await self.platform.transact(
            {CONFIG_KEY: step.revision, history: 0},
            (
                Put(key=CONFIG_KEY, data=document),
                Put(key=document_key(version), data=document),
                Put(key=history, data=msgspec.json.encode(step.entry)),
            ),
            self._ranges_to_prune(version),
        )

    def _ranges_to_prune(self, version: int) -> tuple[KeyRange, ...]:
        """Return the keys that are too old once a version is written."""
        oldest_document = version - self.limits.max_documents + 1
        oldest_entry = version - self.limits.max_entries + 1
        ranges = []
        if oldest_document > 1:
            ranges.append(
                KeyRange(document_key(0), document_key(oldest_document))
            )
        if oldest_entry > 1:
            ranges.append(KeyRange(history_key(0), history_key(oldest_entry)))
        return tuple(ranges)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a stored document.

    Raises
    ------
    PlatformError
        If the data is not a configuration.
    """
    return _decode_stored(data, Configuration)


T = TypeVar("T")


def _decode_stored(data: bytes, kind: type[T]) -> T:
    try:
        return decode_json(data, kind)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"the store holds no {kind.__name__}: {error}", Verdict.NOT_RUN
        ) from error


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChangePlan:
    """What applying a change would do.

    Attributes
    ----------
    stored : Configuration
        Document in the store at the time of the plan.
    step : WriteVersion or ChangeOutcome
        The write, or the outcome if the change ends without a write.
    """

    stored: Configuration
    step: WriteVersion | ChangeOutcome


async def plan_change(
    reader: ConfigReader, change: ProposedChange
) -> ChangePlan:
    """Return what applying a change would do; nothing is written.

    Raises
    ------
    PlatformError
        If there is no usable answer.
    """
    attempt = ChangeAttempt(change=change)
    step = attempt.begin()
    while isinstance(step, ReadCurrent | ReadEntry):
        step = await _read(reader, attempt, step)
    return ChangePlan(stored=attempt.current.document, step=step)


async def apply_change(
    store: ConfigStore,
    change: ProposedChange,
    *,
    time_limit_s: float,
) -> ChangeOutcome:
    """Apply a change and return its outcome.

    After a call without a usable answer, the attempt starts again with a
    read of the current document, until the time limit.

    Parameters
    ----------
    store : ConfigStore
    change : ProposedChange
    time_limit_s : float
        Time limit of the whole change, in seconds; after it, a store that
        does not answer is no longer waited for.

    Returns
    -------
    ChangeOutcome
        `NotReached` or `Undecided` if the time limit has passed.
    """
    attempt = ChangeAttempt(change=change)
    step: Step = attempt.begin()
    reason = f"no answer in {time_limit_s:.1f} s"
    with trio.move_on_after(time_limit_s):
        while not isinstance(step, ChangeOutcome):
            try:
                step = await _execute_step(store, attempt, step)
            except PlatformError as error:
                reason = str(error)
                step = ReadCurrent()
                await trio.sleep(RETRY_DELAY_S)
        return step
    return attempt.abandon(reason)


async def _execute_step(
    store: ConfigStore, attempt: ChangeAttempt, step: Step
) -> Step:
    """Execute a read or write and return the next step or the outcome.

    A write without a usable answer may have taken effect; this is recorded
    before the error is raised.
    """
    if isinstance(step, ReadCurrent | ReadEntry):
        return await _read(store, attempt, step)
    assert isinstance(step, WriteVersion)
    try:
        succeeded = await store.write(step)
    except PlatformError as error:
        if error.verdict is not Verdict.NOT_RUN:
            attempt.handle_write_unknown()
        raise
    except trio.Cancelled:
        attempt.handle_write_unknown()
        raise
    return attempt.handle_write_result(succeeded=succeeded)


async def _read(
    reader: ConfigReader, attempt: ChangeAttempt, step: ReadCurrent | ReadEntry
) -> Step:
    """Execute a read and return the next step or the outcome."""
    if isinstance(step, ReadCurrent):
        return attempt.handle_current(await reader.read_current())
    return attempt.handle_audit_entry(await reader.read_entry(step.version))
