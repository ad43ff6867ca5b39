"""Pending claims: jobs that may still run for other entries. Free of I/O.

An entry that is asked for such a job asks the other processes to end their
runs of it, and accepts the job once they have done so.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

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
    """A job that waits until no run of it is left for another entry.

    Attributes
    ----------
    request_ids : set of int
        Requests that wait for the answer.
    job : Job
    route : Route
    number : int
        Number of the claim, unique at this entry.
    expires_at : dict of str to float
        When the runs of the job at an agent or entry expire, by the id of
        that process; infinite if the process will report their end. The
        claim is resolved once none is left.
    wait_deadline_at : float
        When the job is accepted without further waiting; infinite to wait
        for all answers.
    wait_limit_s : float
        How long the caller waits, in seconds; infinite if not known.
    """

    request_ids: set[int]
    job: Job
    route: Route
    number: int
    expires_at: dict[str, float]
    wait_deadline_at: float
    wait_limit_s: float


class PendingClaims:
    """Asks agents and the former entries to end the runs of a job.

    Parameters
    ----------
    effects : list of EntryEffect
        Where messages are added.
    log : DecisionLog

    Attributes
    ----------
    by_job : dict of str to PendingClaim
        All pending claims, by job id.
    number : int
        Number of the last claim.
    """

    def __init__(
        self, *, effects: list[EntryEffect], log: DecisionLog
    ) -> None:
        self.effects = effects
        self.log = log
        self.by_job: dict[str, PendingClaim] = {}
        self.number = 0

    def start_claim(
        self,
        request_id: int,
        job: Job,
        route: Route,
        *,
        holders: set[str],
        peers: Iterable[str],
        agents: Iterable[str],
        lost_agents: Mapping[str, float],
        wait_deadline_at: float,
        wait_limit_s: float,
    ) -> None:
        """Ask agents and entries to end their runs of a job.

        Parameters
        ----------
        request_id : int
        job : Job
        route : Route
        holders : set of str
            Entries that may own the job.
        peers : iterable of str
            Entries that can be asked.
        agents : iterable of str
            Agents that are connected.
        lost_agents : mapping of str to float
            Agents whose links have ended, and when their runs expire.
        wait_deadline_at : float
            When the job is accepted even if answers are missing.
        wait_limit_s : float
            How long the caller waits, in seconds.
        """
        self.number += 1
        pending = PendingClaim(
            request_ids={request_id},
            job=job,
            route=route,
            number=self.number,
            expires_at=dict(lost_agents),
            wait_deadline_at=wait_deadline_at,
            wait_limit_s=wait_limit_s,
        )
        self.by_job[job.job_id] = pending
        for agent_id in agents:
            self._evict(pending, agent_id)
        for entry_id in holders.intersection(peers):
            pending.expires_at[entry_id] = math.inf
            release = ReleaseJob(number=self.number, job_id=job.job_id)
            self.effects.append(SendToPeer(entry_id, release))
        self.log.write(
            JobClaimed(
                job_id=job.job_id,
                holders=tuple(sorted(holders)),
                asked=len(pending.expires_at),
            )
        )

    def _evict(self, pending: PendingClaim, agent_id: str) -> None:
        pending.expires_at[agent_id] = math.inf
        evict = EvictJob(number=pending.number, job_id=pending.job.job_id)
        self.effects.append(SendToAgent(agent_id, evict))

    def find(self, number: int) -> PendingClaim | None:
        """Return the claim with a number, or None."""
        for pending in self.by_job.values():
            if pending.number == number:
                return pending
        return None

    def remove(self, pending: PendingClaim) -> None:
        """Remove a claim."""
        del self.by_job[pending.job.job_id]

    def remove_request(self, job_id: str, request_id: int) -> None:
        """Record that a caller no longer waits for its job."""
        pending = self.by_job.get(job_id)
        if pending is not None:
            pending.request_ids.discard(request_id)
            if not pending.request_ids:
                self.remove(pending)

    def confirm_ended(self, number: int, process_id: str) -> None:
        """Record that an agent or entry has ended its runs of a job."""
        pending = self.find(number)
        if pending is not None:
            pending.expires_at.pop(process_id, None)

    def request_eviction(self, agent_id: str) -> None:
        """Ask a newly connected agent to end the runs of all claimed jobs.

        It may not have been asked yet.
        """
        for pending in self.by_job.values():
            self._evict(pending, agent_id)

    def set_agent_expiry(self, agent_id: str, expires_at: float) -> None:
        """Set the time when the runs of a lost agent expire."""
        for pending in self.by_job.values():
            if agent_id in pending.expires_at:
                pending.expires_at[agent_id] = expires_at

    def stop_awaiting_entry(self, entry_id: str) -> None:
        """Stop waiting for a lost entry; agents report the end of its runs."""
        for pending in self.by_job.values():
            pending.expires_at.pop(entry_id, None)

    def pop_ready(self, now: float) -> list[PendingClaim]:
        """Remove and return the claims that need not wait any longer."""
        ready = [
            pending
            for pending in self.by_job.values()
            if now > pending.wait_deadline_at
            or max(pending.expires_at.values(), default=now) <= now
        ]
        for pending in ready:
            self.remove(pending)
        return ready
