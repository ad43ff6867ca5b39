"""Which entry has taken which job in of late. Free of I/O.

A caller whose connection breaks asks another entry a little later. That
entry has to know that the job may still run for the first one.
"""

from collections import OrderedDict
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An entry has told that it took a job in."""

    entry_id: str
    told_at: float


class TakeoverMemory:
    """Which entry has last taken a job over from others.

    Parameters
    ----------
    memory_s : float
        Time for which that is remembered, in seconds.
    """

    def __init__(self, *, memory_s: float) -> None:
        self.memory_s = memory_s
        self.claims: OrderedDict[str, Claim] = OrderedDict()

    def note(self, job_id: str, entry_id: str, now: float) -> None:
        """Note that an entry takes a job over."""
        self.claims.pop(job_id, None)
        self.claims[job_id] = Claim(entry_id, now)

    def holder(self, job_id: str) -> str | None:
        """Return the entry that took a job over; None if none did."""
        claim = self.claims.get(job_id)
        return claim.entry_id if claim is not None else None

    def forget_old(self, now: float) -> None:
        """Drop what is older than the memory."""
        oldest = now - self.memory_s
        while self.claims and next(iter(self.claims.values())).told_at < (
            oldest
        ):
            self.claims.popitem(last=False)


class ClaimTable:
    """Jobs that were taken in during the last seconds.

    Parameters
    ----------
    memory_s : float
        Time for which a claim is remembered, in seconds: longer than any
        caller goes on asking.
    """

    def __init__(self, *, memory_s: float) -> None:
        self.memory_s = memory_s
        self.others: OrderedDict[str, Claim] = OrderedDict()
        self.own: OrderedDict[str, float] = OrderedDict()
        self.untold: list[str] = []

    def note_own(self, job_id: str, now: float) -> None:
        """Note that this entry takes a job in."""
        self.own.pop(job_id, None)
        self.own[job_id] = now
        self.untold.append(job_id)
        self.others.pop(job_id, None)

    def note_other(self, job_id: str, entry_id: str, now: float) -> None:
        """Note that another entry has taken a job in."""
        self.others.pop(job_id, None)
        self.others[job_id] = Claim(entry_id, now)

    def holder(self, job_id: str) -> Claim | None:
        """Return the claim of another entry, or None."""
        return self.others.get(job_id)

    def take_untold(self) -> tuple[str, ...]:
        """Return the own claims that were not yet told."""
        untold, self.untold = self.untold, []
        return tuple(untold)

    def recent_own(self) -> tuple[str, ...]:
        """Return all own claims that are remembered."""
        return tuple(self.own)

    def forget_old(self, now: float) -> None:
        """Drop what is older than the memory."""
        oldest = now - self.memory_s
        while self.others and next(iter(self.others.values())).told_at < (
            oldest
        ):
            self.others.popitem(last=False)
        while self.own and next(iter(self.own.values())) < oldest:
            self.own.popitem(last=False)
