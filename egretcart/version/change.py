"""Decision logic for changes of the configuration, without I/O.

A change is accepted by one atomic write of the document and its audit
entry, conditional on the version that the change was made from. If the
answer to a write was lost, the audit entry is read back and its change id
compared, which shows whether the write took effect.
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
    """A document that an operator proposes as the active configuration.

    Attributes
    ----------
    change_id : str
        Identifies this change; the same change may be proposed again.
    base : int
        Version that the document was made from.
    document : Configuration
        The proposed document; its version field is ignored.
    who, why : str
        Operator who proposes the change, and the reason.
    when : str
        Time of the proposal, RFC 3339.
    resumed : bool
        Whether the change was proposed before, with an unknown outcome.
    held : int
        Highest version that processes are known to have, determined before
        the store is read; 0 if no process could be asked.
    is_repair : bool
        Whether the change writes the processes' configuration back into a
        store that has lost it, as a version above `held`.
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
    """Record of an accepted version in the audit trail.

    Attributes
    ----------
    version, base : int
        The accepted version and the version that it was made from.
    change_id, who, why, when : str
        Copied from the `ProposedChange`.
    difference : tuple of Difference
        Differences from the base version, as far as they fit into
        `MAX_AUDIT_DIFFERENCE_BYTES`.
    omitted : int
        Number of differences that did not fit.
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
    """The current configuration document and its revision in the store.

    Attributes
    ----------
    document : Configuration
    revision : int
        Revision of the document's key in the platform's store; 0 if the
        document was not read from the store.
    """

    document: Configuration
    revision: int


NOTHING_STORED = CurrentVersion(document=Configuration(), revision=0)


class ReadCurrent(msgspec.Struct, frozen=True):
    """Step: read the current document."""


class ReadEntry(msgspec.Struct, frozen=True):
    """Step: read the audit entry of a version."""

    version: int


class WriteVersion(msgspec.Struct, frozen=True):
    """Step: write document and audit entry if the revision is unchanged.

    Attributes
    ----------
    entry : AuditEntry
    document : Configuration
    revision : int
        Revision of the stored document that was read; 0 if there was none.
    """

    entry: AuditEntry
    document: Configuration
    revision: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all outcomes of a change."""


class Accepted(Outcome, frozen=True, kw_only=True, tag=True):
    """The change was accepted; `version` is the version that it became."""

    version: int


class Unchanged(Outcome, frozen=True, kw_only=True, tag=True):
    """Nothing was written: the active `version` has the same content."""

    version: int


class Conflict(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: another version than the base is active.

    Attributes
    ----------
    version : int
        The active version.
    who, why : str
        Operator and reason of the version that followed the base; empty if
        not known.
    pruned : bool
        Whether the base is so old that its successor's audit entry has
        been pruned.
    difference : tuple of Difference
        Differences from the active to the proposed document.
    """

    version: int
    who: str = ""
    why: str = ""
    pruned: bool = False
    difference: tuple[Difference, ...] = ()


class Refused(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: the document must not follow the active one.

    Attributes
    ----------
    findings : tuple of Finding
        Values that are invalid, or not allowed after the active document.
    """

    findings: tuple[Finding, ...]


class NotReached(Outcome, frozen=True, kw_only=True, tag=True):
    """Not accepted: the store did not answer, and nothing was written.

    Attributes
    ----------
    reason : str
        Why there was no answer.
    """

    reason: str


class Undecided(Outcome, frozen=True, kw_only=True, tag=True):
    """Unknown: the store stopped answering after a write.

    The change is to be proposed again with the same change id.

    Attributes
    ----------
    change_id : str
    reason : str
        Why there was no answer.
    """

    change_id: str
    reason: str


class StoreBehind(Outcome, frozen=True, kw_only=True, tag=True):
    """Not written: the store has lost versions that processes still have.

    Attributes
    ----------
    version : int
        Version in the store.
    held : int
        Highest version that processes have.
    """

    version: int
    held: int


class Forgotten(Outcome, frozen=True, kw_only=True, tag=True):
    """Unknown: the audit entry that would show the outcome has been pruned.

    Attributes
    ----------
    version : int
        The active version.
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
    """Determines the outcome of one change, step by step.

    Each method `handle_...` is given the result of the step that was
    returned last, and returns the next step or the outcome.

    Parameters
    ----------
    change : ProposedChange

    Attributes
    ----------
    may_have_written : bool
        Whether a write of this change may have taken effect.
    was_write_rejected : bool
        Whether the store has rejected a write because its revision differed.
    current : CurrentVersion
        What was last read from the store; `NOTHING_STORED` before that.
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
        """Handle the current document; None if there is none."""
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
        # A repair writes a document that was accepted as the successor of
        # versions which the store has lost; it is not compared with the
        # older document that the store still has.
        if not self.change.is_repair:
            findings += check_change(stored_document, self.change.document)
        if findings:
            return Refused(findings=findings)
        return self._write(stored_document)

    def handle_audit_entry(self, entry: AuditEntry | None) -> Step:
        """Handle the audit entry of the version that was to be written."""
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
        """Handle the store's answer to the write."""
        if succeeded:
            return Accepted(version=self.change.version)
        # The rejection may be due to an earlier write of this change, so the
        # audit entry is read before a conflict is reported.
        self.was_write_rejected = True
        return ReadCurrent()

    def handle_write_unknown(self) -> Step:
        """Handle a write that may or may not have taken effect."""
        self.may_have_written = True
        return ReadCurrent()

    def abandon(self, reason: str) -> ChangeOutcome:
        """Return the outcome if the store no longer answers."""
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
