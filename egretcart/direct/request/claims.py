"""Claims: which entry has recently accepted which job. Free of I/O.

A caller whose connection breaks asks another entry a little later. That
entry has to know that the job may still run for the first one.
"""

from collections import OrderedDict

import msgspec


class Claim(msgspec.Struct, frozen=True):
    """Report of an entry that it accepted a job or took it over.

    Attributes
    ----------
    entry_id : str
        The entry that reported.
    claimed_at : float
        When the report was received, in seconds on the receiver's
        monotonic clock.
    """

    entry_id: str
    claimed_at: float


class RecentTakeovers:
    """Which entry has last taken a job over from others.

    Parameters
    ----------
    retention_s : float
        Time for which a takeover is remembered, in seconds.

    Attributes
    ----------
    claims : dict of str to Claim
        The last takeover of each job, by job id, the oldest first.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.claims: OrderedDict[str, Claim] = OrderedDict()

    def record(self, job_id: str, entry_id: str, now: float) -> None:
        """Record that an entry takes a job over."""
        self.claims.pop(job_id, None)
        self.claims[job_id] = Claim(entry_id, now)

    def owner_of(self, job_id: str) -> str | None:
        """Return the entry that took a job over; None if none did."""
        claim = self.claims.get(job_id)
        return claim.entry_id if claim is not None else None

    def remove_expired(self, now: float) -> None:
        """Drop claims that are older than the retention time."""
        oldest = now - self.retention_s
        while self.claims and next(iter(self.claims.values())).claimed_at < (
            oldest
        ):
            self.claims.popitem(last=False)


class ClaimTable:
    """Jobs that entries have accepted during the last seconds.

    Parameters
    ----------
    retention_s : float
        Time for which a claim is remembered, in seconds: longer than any
        caller continues to submit its job again.

    Attributes
    ----------
    peer_claims : dict of str to Claim
        Claims of other entries by job id, the oldest first.
    own_claims : dict of str to float
        When this entry accepted its jobs, by job id, the oldest first; in
        seconds on its monotonic clock.
    unreported : list of str
        Ids of jobs that this entry has accepted and not yet reported to
        other entries.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.peer_claims: OrderedDict[str, Claim] = OrderedDict()
        self.own_claims: OrderedDict[str, float] = OrderedDict()
        self.unreported: list[str] = []

    def record_own(self, job_id: str, now: float) -> None:
        """Record that this entry accepts a job."""
        self.own_claims.pop(job_id, None)
        self.own_claims[job_id] = now
        self.unreported.append(job_id)
        self.peer_claims.pop(job_id, None)

    def record_peer(self, job_id: str, entry_id: str, now: float) -> None:
        """Record that another entry has accepted a job or takes it over.

        This entry no longer reports the job as its own.
        """
        if self.own_claims.pop(job_id, None) is not None:
            self.unreported = [
                unreported
                for unreported in self.unreported
                if unreported != job_id
            ]
        self.peer_claims.pop(job_id, None)
        self.peer_claims[job_id] = Claim(entry_id, now)

    def claim_of(self, job_id: str) -> Claim | None:
        """Return the claim of another entry, or None."""
        return self.peer_claims.get(job_id)

    def pop_unreported(self) -> tuple[str, ...]:
        """Return own claims that were not yet reported, and clear them."""
        unreported, self.unreported = self.unreported, []
        return tuple(unreported)

    def own_job_ids(self) -> tuple[str, ...]:
        """Return all own claims that are remembered."""
        return tuple(self.own_claims)

    def remove_expired(self, now: float) -> None:
        """Drop claims that are older than the retention time."""
        oldest = now - self.retention_s
        while self.peer_claims and next(
            iter(self.peer_claims.values())
        ).claimed_at < (oldest):
            self.peer_claims.popitem(last=False)
        while (
            self.own_claims and next(iter(self.own_claims.values())) < oldest
        ):
            self.own_claims.popitem(last=False)
