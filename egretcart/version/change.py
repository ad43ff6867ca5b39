"""Decision logic of a change of the configuration.

Free of I/O. A change is accepted by one atomic write of the document and
its audit entry, conditional on the version that the change was made from.
A write whose answer was lost is settled by reading the audit entry back
and comparing its change id.
"""

import msgspec

from egretcart.version.check import check_change
from egretcart.version.check import check_document
from egretcart.version.check import Finding
from egretcart.version.difference import Difference
from egretcart.version.difference import find_differences
from egretcart.version.difference import is_same_content
from egretcart.version.difference import shorten_differences
from egretcart.version.document import Configuration

MAX_AUDIT_DIFFERENCE_BYTES = 16 * 1024


class ProposedChange(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator wants to put in force.

    Attributes
    ----------
    change_id : str
        Names this change; the same change may be proposed again.
    base : int
        Version that the document was made from.
    document : Configuration
        Its own version is ignored.
    who, why : str
    when : str
        Time of the proposal, RFC 3339.
    resumed : bool
        Whether it was proposed before, with an unknown outcome.
    held : int
        Highest version that processes were seen to hold before the store
        is read; 0 if none could be asked.
    is_repair : bool
        Whether it puts what processes hold into a store that has lost it,
        under a version above `held`.
    """

    change_id: str
    base: int
    document: Configuration
    who: str
    why: str
    when: str
    resumed: bool = False
    held: int = 0
    is_repair: bool = False

    @property
    def version(self) -> int:
        """Version that the document gets if it is accepted."""
        if self.is_repair:
            return max(self.base, self.held) + 1
        return self.base + 1


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What the audit trail keeps of an accepted version.

    Attributes
    ----------
    version, base : int
    change_id, who, why, when : str
    difference : tuple of Difference
        To the base version, as far as it fits into `MAX_AUDITED_BYTES`.
    omitted : int
        Differences that did not fit.
    """

    version: int
    base: int
    change_id: str
    who: str
    why: str
    when: str
    difference: tuple[Difference, ...]
    omitted: int = 0


class CurrentVersion(msgspec.Struct, frozen=True, kw_only=True):
    """The document in the store and the store's revision of it."""

    document: Configuration
    revision: int


NOTHING_STORED = CurrentVersion(document=Configuration(), revision=0)


class ReadCurrent(msgspec.Struct, frozen=True):
    """Step: read the current document."""


class ReadEntry(msgspec.Struct, frozen=True):
    """Step: read the audit entry of a version."""

    version: int


class WriteVersion(msgspec.Struct, frozen=True):
    """Step: write document and audit entry if the revision still holds."""

    entry: AuditEntry
    document: Configuration
    revision: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all ends of a change."""


class Accepted(Outcome, frozen=True, kw_only=True, tag=True):
    """The change is committed as a version."""

    version: int


class Unchanged(Outcome, frozen=True, kw_only=True, tag=True):
    """The document says what is in force; nothing was written."""

    version: int


class Conflict(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: another version than the base is in force.

    Attributes
    ----------
    version : int
        In force now.
    who, why : str
        Of the version that followed the base; empty if not known.
    pruned : bool
        Whether the base is so old that its successor's audit entry has
        been pruned.
    difference : tuple of Difference
        From what is in force to the proposed document.
    """

    version: int
    who: str = ""
    why: str = ""
    pruned: bool = False
    difference: tuple[Difference, ...] = ()


class Refused(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: the document must not follow what is in force."""

    findings: tuple[Finding, ...]


class NotReached(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: the store did not answer before anything was written."""

    reason: str


class Undecided(Outcome, frozen=True, kw_only=True, tag=True):
    """The store went silent after a write; ask again with the change id."""

    change_id: str
    reason: str


class StoreBehind(Outcome, frozen=True, kw_only=True, tag=True):
    """Not written: the store has lost versions that processes hold.

    Attributes
    ----------
    version : int
        In the store.
    held : int
        Highest version that processes hold.
    """

    version: int
    held: int


class Forgotten(Outcome, frozen=True, kw_only=True, tag=True):
    """Not known any more: the audit entry that would tell is pruned.

    Attributes
    ----------
    version : int
        In force now.
    """

    version: int


ChangeOutcome = (
    Accepted
    | Unchanged
    | Conflict
    | Refused
    | NotReached
    | Undecided
    | Forgotten
    | StoreBehind
)
Step = ReadCurrent | ReadEntry | WriteVersion | ChangeOutcome


class ChangeAttempt:
    """Leads one change to its outcome, step by step.

    Each method takes the result of the step that was asked for last and
    returns the next one.

    Parameters
    ----------
    change : ProposedChange

    Attributes
    ----------
    may_be_written : bool
        Whether a write of this change may have taken effect.
    """

    def __init__(self, *, change: ProposedChange) -> None:
        self.change = change
        self.may_have_written = change.resumed
        self.was_write_rejected = False
        self.current = NOTHING_STORED

    def begin(self) -> Step:
        """Return the first step."""
        return ReadCurrent()

    def handle_current(self, current: CurrentVersion | None) -> Step:
        """Take in the current document; None if there is none."""
        self.current = current or NOTHING_STORED
        stored_document = self.current.document
        if (
            stored_document.version < self.change.held
            and not self.change.is_repair
        ):
            return StoreBehind(
                version=stored_document.version, held=self.change.held
            )
        if (
            stored_document.version > self.change.base
            or self.was_write_rejected
        ):
            return ReadEntry(self.change.version)
        is_same = is_same_content(stored_document, self.change.document)
        if is_same and not self.change.is_repair:
            return Unchanged(version=stored_document.version)
        if stored_document.version < self.change.base:
            return self._conflict(None)
        findings = check_document(self.change.document)
        # What a repair writes has followed the versions that were lost.
        if not self.change.is_repair:
            findings += check_change(stored_document, self.change.document)
        if findings:
            return Refused(findings=findings)
        return self._write(stored_document)

    def handle_audit_entry(self, entry: AuditEntry | None) -> Step:
        """Take in the audit entry of the version that was to be written."""
        if entry is not None and entry.change_id == self.change.change_id:
            return Accepted(version=entry.version)
        stored_document = self.current.document
        if is_same_content(stored_document, self.change.document):
            return Unchanged(version=stored_document.version)
        is_pruned = (
            entry is None and stored_document.version >= self.change.version
        )
        if is_pruned and self.may_have_written:
            return Forgotten(version=stored_document.version)
        return self._conflict(entry, is_pruned=is_pruned)

    def handle_write_result(self, *, succeeded: bool) -> Step:
        """Take in the store's answer to the write."""
        if succeeded:
            return Accepted(version=self.change.version)
        # An earlier write of this change may be what refuted this one.
        self.was_write_rejected = True
        return ReadCurrent()

    def handle_write_unknown(self) -> Step:
        """Take in that a write may or may not have taken effect."""
        self.may_have_written = True
        return ReadCurrent()

    def abandon(self, reason: str) -> ChangeOutcome:
        """Return the outcome if the store does not answer any more."""
        if self.may_have_written:
            return Undecided(change_id=self.change.change_id, reason=reason)
        return NotReached(reason=reason)

    def _write(self, stored_document: Configuration) -> WriteVersion:
        version = self.change.version
        document = msgspec.structs.replace(
            self.change.document, version=version
        )
        difference, omitted = shorten_differences(
            find_differences(stored_document, document),
            max_bytes=MAX_AUDIT_DIFFERENCE_BYTES,
        )
        entry = AuditEntry(
            version=version,
            base=self.change.base,
            change_id=self.change.change_id,
            who=self.change.who,
            why=self.change.why,
            when=self.change.when,
            difference=difference,
            omitted=omitted,
        )
        return WriteVersion(
            entry=entry, document=document, revision=self.current.revision
        )

    def _conflict(
        self, entry: AuditEntry | None, *, is_pruned: bool = False
    ) -> Conflict:
        stored_document = self.current.document
        return Conflict(
            version=stored_document.version,
            who=entry.who if entry is not None else "",
            why=entry.why if entry is not None else "",
            pruned=is_pruned,
            difference=find_differences(stored_document, self.change.document),
        )
