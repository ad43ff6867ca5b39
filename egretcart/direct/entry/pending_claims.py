"""Pending claims: jobs that may still run for other entries. Free of I/O.

An entry that is asked for such a job asks the other processes to end their
runs of it, and accepts the job once they have done so.
"""

from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import math
import random

import msgspec

from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.connection.peer_messages import ReleaseJob
from egretcart.direct.entry.entry_types import Answer
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.entry_types import SendToPeer
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import JobClaimed
from egretcart.direct.request.job import Job
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration

# Entries that are asked to pass a question on; if the owner lives, most reach
# it.
RELAYS = 3
# After it, numbers begin anew: those of runs follow from them, for which
# messages have 32 bits.
MAX_CLAIM_NUMBER = 1_000_000


class PendingClaim(msgspec.Struct, kw_only=True):
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
    former_expires_at : float
        When the runs of entries that can't be asked have expired.
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
    former_expires_at: float
    wait_deadline_at: float
    wait_limit_s: float

    @property
    def expiry(self) -> float:
        """When all runs for other entries have expired."""
        return max(self.former_expires_at, *self.expires_at.values(), 0.0)


class PendingClaims:
    """Asks agents and the former entries to end the runs of a job.

    Parameters
    ----------
    effects : list of EntryEffect
        Where messages are added.
    log : DecisionLog
    source : random.Random
        Random source of the choice of entries that pass questions on.

    Attributes
    ----------
    by_job : dict of str to PendingClaim
        All pending claims, by job id.
    number : int
        Number of the last claim.
    """

    def __init__(
        self,
        *,
        effects: list[EntryEffect],
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        self.effects = effects
        self.log = log
        self.source = source
        self.by_job: dict[str, PendingClaim] = {}
        self.number = 0

    def start_claim(
        self,
        request_id: int,
        job: Job,
        route: Route,
        *,
        holders: set[str],
        peers: Collection[str],
        agents: Iterable[str],
        lost_agents: Mapping[str, float],
        former_expires_at: float,
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
        peers : collection of str
            Entries that are connected. Those that are no holders are asked
            to pass questions on to holders that are not connected.
        agents : iterable of str
            Agents that are connected.
        lost_agents : mapping of str to float
            Agents whose links have ended, and when their runs expire.
        former_expires_at : float
            When the runs of holders have expired that are not connected,
            or that have been disconnected since they reported the job.
        wait_deadline_at : float
            When the job is accepted even if answers are missing.
        wait_limit_s : float
            How long the caller waits, in seconds.
        """
        self.number = self.number % MAX_CLAIM_NUMBER + 1
        pending = PendingClaim(
            request_ids={request_id},
            job=job,
            route=route,
            number=self.number,
            expires_at=dict(lost_agents),
            former_expires_at=former_expires_at,
            wait_deadline_at=wait_deadline_at,
            wait_limit_s=wait_limit_s,
        )
        self.by_job[job.job_id] = pending
        for agent_id in agents:
            self._evict(pending, agent_id)
        for entry_id in sorted(holders):
            if entry_id in peers:
                self._ask(pending, entry_id, owner="")
            else:
                self._ask_through_others(pending, entry_id, peers)
        self.log.write(
            JobClaimed(
                job_id=job.job_id,
                holders=tuple(sorted(holders)),
                asked=len(pending.expires_at),
            )
        )

    def ask_owner(self, job_id: str, entry_id: str) -> None:
        """Ask an entry that reports a claimed job as its own.

        It was not connected when the claim began, or has been disconnected
        since.
        """
        pending = self.by_job.get(job_id)
        if (
            pending is not None
            and pending.expires_at.get(entry_id) != math.inf
        ):
            pending.wait_deadline_at = math.inf
            self._ask(pending, entry_id, owner="")

    def _ask(self, pending: PendingClaim, entry_id: str, owner: str) -> None:
        pending.expires_at[entry_id] = math.inf
        release = ReleaseJob(
            number=pending.number, job_id=pending.job.job_id, owner=owner
        )
        self.effects.append(SendToPeer(entry_id, release))

    def _ask_through_others(
        self, pending: PendingClaim, owner: str, peers: Collection[str]
    ) -> None:
        """Ask entries that may reach an owner to pass the question on."""
        others = sorted(set(peers) - pending.expires_at.keys())
        count = min(len(others), RELAYS)
        for entry_id in self.source.sample(others, count):
            self._ask(pending, entry_id, owner)

    def _evict(self, pending: PendingClaim, agent_id: str) -> None:
        pending.expires_at[agent_id] = math.inf
        evict = EvictJob(number=pending.number, job_id=pending.job.job_id)
        self.effects.append(SendToAgent(agent_id, evict))

    def apply_routes(self, configuration: RoutingConfiguration) -> None:
        """Let claims that wait use the routes of a newer configuration."""
        routes = {route.name: route for route in configuration.routes}
        for pending in self.by_job.values():
            pending.route = routes.get(pending.route.name, pending.route)

    def find(self, number: int) -> PendingClaim | None:
        """Return the claim with a number, or None."""
        for pending in self.by_job.values():
            if pending.number == number:
                return pending
        return None

    def remove(self, pending: PendingClaim) -> None:
        """Remove a claim."""
        del self.by_job[pending.job.job_id]

    def interrupt(self, pending: PendingClaim) -> None:
        """Answer the requests of a claim that its job may have run."""
        self.remove(pending)
        for request_id in pending.request_ids:
            self.effects.append(
                Answer(request_id=request_id, interrupted=True)
            )

    def interrupt_all(self) -> None:
        """Answer the requests of all claims that their jobs may have run."""
        for pending in list(self.by_job.values()):
            self.interrupt(pending)

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

    def set_entry_expiry(self, entry_id: str, expires_at: float) -> None:
        """Set the time when the runs of a lost entry have expired."""
        for pending in self.by_job.values():
            if entry_id in pending.expires_at:
                pending.expires_at[entry_id] = expires_at

    def pop_ready(
        self, now: float, stopping_jobs: Container[str]
    ) -> list[PendingClaim]:
        """Remove and return the claims that need not wait any longer.

        Parameters
        ----------
        now : float
        stopping_jobs : container of str
            Jobs that this entry has left to others and whose runs for it
            have not ended; their claims wait.
        """
        ready = [
            pending
            for pending in self.by_job.values()
            if pending.job.job_id not in stopping_jobs
            and (now > pending.wait_deadline_at or pending.expiry <= now)
        ]
        for pending in ready:
            self.remove(pending)
        return ready
