"""Jobs that wait until nothing of them runs for another entry. Free of I/O."""

import dataclasses

from egretcart.direct.configuration import Route
from egretcart.direct.decisions import DecisionLog
from egretcart.direct.decisions import JobClaimed
from egretcart.direct.entry_types import EntryEffect
from egretcart.direct.entry_types import SendToAgent
from egretcart.direct.entry_types import SendToPeer
from egretcart.direct.job import Job
from egretcart.direct.messages import EvictJob
from egretcart.direct.messages import ReleaseJob


@dataclasses.dataclass(kw_only=True, slots=True)
class PendingClaim:
    """A job that waits until nothing of it runs for another entry."""

    request_ids: set[int]
    job: Job
    route: Route
    number: int
    waiting_for: set[str]
    until: float
    patience_s: float


class PendingClaims:
    """Asks agents and the former entry to end what runs of a job.

    Parameters
    ----------
    claim_s : float
        Longest wait for them, in seconds.
    effects : list of EntryEffect
        Where messages are added.
    log : DecisionLog

    Attributes
    ----------
    by_job : dict of str to PendingClaim
    """

    def __init__(
        self, *, claim_s: float, effects: list[EntryEffect], log: DecisionLog
    ) -> None:
        self.claim_s = claim_s
        self.effects = effects
        self.log = log
        self.by_job: dict[str, PendingClaim] = {}
        self.number = 0

    def begin(
        self,
        request_id: int,
        job: Job,
        route: Route,
        *,
        holders: set[str],
        agents: set[str],
        peers: set[str],
        now: float,
        patience_s: float,
    ) -> None:
        """Ask all agents, and the entries that may hold the job."""
        self.number += 1
        waiting_for = set(agents)
        for agent_id in agents:
            evict = EvictJob(number=self.number, job_id=job.job_id)
            self.effects.append(SendToAgent(agent_id, evict))
        for entry_id in holders & peers:
            waiting_for.add(entry_id)
            release = ReleaseJob(number=self.number, job_id=job.job_id)
            self.effects.append(SendToPeer(entry_id, release))
        self.log.write(
            JobClaimed(
                job_id=job.job_id,
                holders=tuple(sorted(holders)),
                asked=len(waiting_for),
            )
        )
        self.by_job[job.job_id] = PendingClaim(
            request_ids={request_id},
            job=job,
            route=route,
            number=self.number,
            waiting_for=waiting_for,
            until=now + self.claim_s,
            patience_s=patience_s,
        )

    def find(self, number: int) -> PendingClaim | None:
        """Return the claim of a number, or None."""
        for pending in self.by_job.values():
            if pending.number == number:
                return pending
        return None

    def remove(self, pending: PendingClaim) -> None:
        """Wait for a claim no more."""
        del self.by_job[pending.job.job_id]

    def leave(self, job_id: str, request_id: int) -> None:
        """Note that a caller no longer waits for its job."""
        pending = self.by_job.get(job_id)
        if pending is not None:
            pending.request_ids.discard(request_id)
            if not pending.request_ids:
                self.remove(pending)

    def note_answer(self, number: int, who: str) -> None:
        """Note that a process has ended what it ran of a job."""
        pending = self.find(number)
        if pending is not None:
            pending.waiting_for.discard(who)

    def note_lost(self, who: str) -> None:
        """Wait no more for a process that is gone."""
        for pending in self.by_job.values():
            pending.waiting_for.discard(who)

    def take_ready(self, now: float) -> list[PendingClaim]:
        """Return, and remove, the claims that need not wait any longer."""
        ready = [
            pending
            for pending in self.by_job.values()
            if not pending.waiting_for or now > pending.until
        ]
        for pending in ready:
            self.remove(pending)
        return ready
