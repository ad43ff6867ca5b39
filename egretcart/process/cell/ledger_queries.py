"""A leader's queries to the ledgers of its agents.

An agent that promises a term reports only the tasks that it runs. What it ran
before is queried by job, once a request names a job that a former leader may
have started. The cost of a takeover therefore depends on the jobs that are
requested after it, not on the size of the ledgers.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import itertools

from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendToAgent
from egretcart.request.identity import JobId

# Most jobs named in one query; further ones are sent after its reply.
MAX_JOBS_PER_QUERY = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class DeferredRequest:
    """A request that waits until the agents have reported on its job.

    Attributes
    ----------
    token : RequestToken
    resume : callable
        Handles the request once the agents have reported.
    """

    token: RequestToken
    resume: Callable[[], list[LeaderEffect]]


@dataclasses.dataclass(kw_only=True, slots=True)
class JobLookup:
    """A job that the agents are asked about.

    Attributes
    ----------
    awaited_agents : set of str
        Agents that have yet to report what they know of the job.
    requests : list of DeferredRequest
        Requests that wait for these reports.
    """

    awaited_agents: set[str]
    requests: list[DeferredRequest]


@dataclasses.dataclass(kw_only=True, slots=True)
class QueryQueue:
    """The jobs to ask one agent about; one query is open at a time.

    Attributes
    ----------
    unsent : dict of bytes to None
        Ids of the jobs that are not yet in a query, in the order in which
        they came.
    is_full_query_due : bool
        Whether the next query is for all jobs of former terms.
    is_ledger_complete : bool
        Whether the whole ledger is known, so that no request has to wait
        for another query.
    open_query : LedgerQuery or None
        The query whose reply is awaited; None if there is none.
    """

    unsent: dict[bytes, None]
    is_full_query_due: bool = False
    is_ledger_complete: bool = False
    open_query: LedgerQuery | None = None


class LedgerQueries:
    """Asks the agents of one term what they started in former terms.

    Parameters
    ----------
    term : Term

    Attributes
    ----------
    query_before_ms : int
        Jobs made before this Unix time, in milliseconds, may have been
        started in a former term.
    open : dict of bytes to JobLookup
        Jobs that requests wait for, by job id.
    resolved_job_ids : set of bytes
        Jobs of which every connected agent has reported what it knows.
    queues : dict of str to QueryQueue
        Connected agents that answer queries, by agent id.
    """

    def __init__(self, *, term: Term) -> None:
        self.term = term
        self.query_before_ms = 0
        self.open: dict[bytes, JobLookup] = {}
        self.resolved_job_ids: set[bytes] = set()
        self.queues: dict[str, QueryQueue] = {}
        # Never reused, so that no late reply matches a newer query.
        self.query_numbers = itertools.count(1)

    def needs_ledger_query(self, job_id: JobId) -> bool:
        """Return whether a request has to wait for reports about its job."""
        return (
            job_id.created_ms < self.query_before_ms
            and job_id.value not in self.resolved_job_ids
        )

    def defer_request(
        self, job_id: JobId, request: DeferredRequest, *, lost: Iterable[str]
    ) -> list[LeaderEffect]:
        """Defer a request until all agents have reported on its job.

        Parameters
        ----------
        job_id : JobId
        request : DeferredRequest
        lost : iterable of str
            Lost agents that may reconnect and are waited for.

        Returns
        -------
        list of LeaderEffect
        """
        key = job_id.value
        lookup = self.open.get(key)
        if lookup is None:
            lookup = JobLookup(awaited_agents=set(lost), requests=[])
            self.open[key] = lookup
            for agent_id, queue in self.queues.items():
                if not queue.is_ledger_complete:
                    lookup.awaited_agents.add(agent_id)
                    queue.unsent[key] = None
        lookup.requests.append(request)
        return self._resume_resolved([key]) + self.send_queries()

    def connected(
        self, agent_id: str, job_ids: Collection[bytes]
    ) -> list[LeaderEffect]:
        """Begin to query an agent that has promised the term.

        Parameters
        ----------
        agent_id : str
        job_ids : collection of bytes
            Jobs to ask about besides those of the deferred requests.

        Returns
        -------
        list of LeaderEffect
        """
        self.resolved_job_ids.clear()
        unsent = dict.fromkeys([*job_ids, *self.open])
        self.queues[agent_id] = QueryQueue(unsent=unsent)
        for lookup in self.open.values():
            lookup.awaited_agents.add(agent_id)
        return self.send_queries()

    def disconnected(self, agent_id: str) -> None:
        """Stop querying an agent; deferred requests wait for its return."""
        self.queues.pop(agent_id, None)

    def request_full_ledger(self, agent_id: str) -> list[LeaderEffect]:
        """Ask an agent that shuts down about all jobs of former terms."""
        queue = self.queues.get(agent_id)
        if queue is None:
            return []
        queue.is_full_query_due = True
        return self.send_queries()

    def ledger_complete(self, agent_id: str) -> list[LeaderEffect]:
        """Handle an agent whose whole ledger is known or that was dropped."""
        queue = self.queues.get(agent_id)
        if queue is not None:
            queue.is_ledger_complete = True
        return self._record_reported(agent_id, list(self.open))

    def find_open_query(
        self, agent_id: str, number: int
    ) -> LedgerQuery | None:
        """Return the open query if it has this number."""
        queue = self.queues.get(agent_id)
        if queue is None or queue.open_query is None:
            return None
        return queue.open_query if queue.open_query.number == number else None

    def answered(self, agent_id: str) -> list[LeaderEffect]:
        """Close an agent's open query, which was answered."""
        queue = self.queues[agent_id]
        query, queue.open_query = queue.open_query, None
        job_ids = query.job_ids if query is not None else ()
        return self._record_reported(agent_id, job_ids) + self.send_queries()

    def send_queries(self) -> list[LeaderEffect]:
        """Open the queries that can be sent now, and return them."""
        effects: list[LeaderEffect] = []
        for agent_id, queue in self.queues.items():
            if queue.open_query is None and (
                queue.unsent or queue.is_full_query_due
            ):
                queue.open_query = self._next_query(queue)
                effects.append(SendToAgent(agent_id, queue.open_query))
        return effects

    def _next_query(self, queue: QueryQueue) -> LedgerQuery:
        job_ids = tuple(itertools.islice(queue.unsent, MAX_JOBS_PER_QUERY))
        for job_id in job_ids:
            del queue.unsent[job_id]
        made_before_ms = self.query_before_ms if queue.is_full_query_due else 0
        queue.is_full_query_due = False
        return LedgerQuery(
            term=self.term,
            number=next(self.query_numbers),
            job_ids=job_ids,
            made_before_ms=made_before_ms,
        )

    def end(self) -> list[RequestToken]:
        """Drop the deferred requests and return their tokens."""
        tokens = [
            request.token
            for lookup in self.open.values()
            for request in lookup.requests
        ]
        self.open.clear()
        return tokens

    def prune(self, made_before_ms: int) -> None:
        """Remove jobs whose identifiers are older than a Unix time."""
        self.resolved_job_ids = {
            job_id
            for job_id in self.resolved_job_ids
            if JobId(job_id).created_ms >= made_before_ms
        }

    def _record_reported(
        self, agent_id: str, job_ids: Collection[bytes]
    ) -> list[LeaderEffect]:
        for job_id in job_ids:
            lookup = self.open.get(job_id)
            if lookup is not None:
                lookup.awaited_agents.discard(agent_id)
        return self._resume_resolved(job_ids)

    def _resume_resolved(self, job_ids: Iterable[bytes]) -> list[LeaderEffect]:
        """Resume the requests of jobs on which all agents have reported."""
        effects: list[LeaderEffect] = []
        for job_id in job_ids:
            lookup = self.open.get(job_id)
            if lookup is None or lookup.awaited_agents:
                continue
            del self.open[job_id]
            self.resolved_job_ids.add(job_id)
            for request in lookup.requests:
                effects += request.resume()
        return effects
