"""Statuses of an agent: its free capacity and whether it accepts tasks."""

from egretcart.direct.agent.agent_types import Vacancy
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_queue import RunQueue
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import HeldTask
from egretcart.direct.request.job import NO_ROOM

# An agent with free capacity for this many tasks or more is chosen alike by
# entries, which send it few tasks before its next status.
MAX_REPORTED_TASKS = 3


class AgentStatuses:
    """Makes an agent's statuses, and sends those that are due.

    Parameters
    ----------
    agent_id : str
    incarnation : int
    backend : KnownBackend
    queue : RunQueue
    links : EntryLinks

    Attributes
    ----------
    reported_vacancy : Vacancy
        What entries choose agents by, when statuses were last due.
    """

    def __init__(
        self,
        *,
        agent_id: str,
        incarnation: int,
        backend: KnownBackend,
        queue: RunQueue,
        links: EntryLinks,
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.backend = backend
        self.queue = queue
        self.links = links
        self.reported_vacancy = Vacancy()

    def is_accepting(self, now: float) -> bool:
        """Whether entries should send new tasks here."""
        return (
            self.backend.report is not None
            and self.backend.ready
            and not self.queue.stopping
            and not self.queue.drain.is_drained
            and not self.backend.report.draining
            and not self.backend.lease_expired
            and self.backend.may_get_tasks(now)
            and now >= self.backend.health.backoff_until
        )

    def status(self, sequence: int, now: float) -> AgentStatus:
        """Return the agent's status for an entry.

        Parameters
        ----------
        sequence : int
            Sequence number of the last `RunTasks` from that entry.
        now : float
        """
        report = self.backend.report
        capacity = report.capacity if report is not None else NO_ROOM
        free = self.queue.runs.free(capacity, queued=True)
        waiting = self.queue.runs.waiting()
        return AgentStatus(
            agent_id=self.agent_id,
            incarnation=self.incarnation,
            service_name=report.service if report is not None else "",
            labels=report.labels if report is not None else (),
            accepting=self.is_accepting(now),
            cpu_milli=capacity.cpu_milli,
            memory_mb=capacity.memory_mb,
            accelerators=capacity.accelerators,
            free_cpu_milli=free.cpu_milli,
            free_memory_mb=free.memory_mb,
            free_accelerators=free.accelerators,
            queued=len(waiting),
            queued_ms=round(sum(run.estimate_ms for run in waiting)),
            sequence=sequence,
            pace_percent=self.backend.warmup.slowdown_percent(now),
            probing=self.backend.health.probing,
            cold_ms=self.backend.warmup.left_ms(now),
        )

    def _vacancy(self, now: float) -> Vacancy:
        report = self.backend.report
        if report is None:
            return Vacancy()
        free = self.queue.runs.free(report.capacity, queued=True)
        return Vacancy(
            accepting=self.is_accepting(now),
            probing=self.backend.health.probing,
            tasks=free.count_fitting(
                self.queue.typical_room, MAX_REPORTED_TASKS
            ),
            queued=len(self.queue.runs.waiting()),
        )

    def hello(self, entry_id: str, now: float) -> AgentHello:
        """Return the first message to an entry."""
        held = tuple(
            HeldTask(
                job_id=run.key.job_id,
                step=run.key.step,
                index=run.key.index,
                run=run.run,
            )
            for run in self.queue.runs.runs_of_entry(entry_id)
        )
        return AgentHello(
            status=self.status(0, now),
            held=held,
            settled=self.queue.evictions.predecessor_ended,
            failure_domain=self.queue.drain.failure_domain,
        )

    def notify(self, now: float) -> None:
        """Send the statuses that are due."""
        vacancy = self._vacancy(now)
        if vacancy != self.reported_vacancy:
            self.reported_vacancy = vacancy
            self.links.status_changed = True
        self.links.send_due_statuses(now)
