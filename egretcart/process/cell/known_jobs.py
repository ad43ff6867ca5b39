"""The jobs that a new leader knows from the ledgers of its agents."""

import dataclasses

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskResult
from egretcart.process.agent.ledger import RecordState
from egretcart.request.identity import JobId
from egretcart.request.verdict import Verdict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownTask:
    """A task that some agent has started.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Incarnation of the agent that keeps the record.
    attempt : int
        Number of the attempt recorded.
    state : RecordState
    """

    agent_id: str
    incarnation: int
    attempt: int
    state: RecordState

    @property
    def source(self) -> tuple[str, int]:
        """The agent and the incarnation that keep the record."""
        return (self.agent_id, self.incarnation)

    @property
    def weight(self) -> tuple[bool, bool, int]:
        """Sort key of the records of one task; the greatest one is kept."""
        return (
            self.state is RecordState.SUCCEEDED,
            self.state is RecordState.BEGUN,
            self.attempt,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownJob:
    """The started tasks of one job, from all ledgers.

    Attributes
    ----------
    digest : bytes
        Digest of the first body that was reported.
    tasks : dict of int to KnownTask
        By index of the task in the job.
    has_other_body : bool
        Whether some agent has started another body under the same id.
    """

    digest: bytes
    tasks: dict[int, KnownTask]
    has_other_body: bool = False

    def may_include_body(self, digest: bytes) -> bool:
        """Return whether a body may be among those that were started."""
        return self.has_other_body or digest == self.digest


class KnownJobs:
    """Jobs that agents have started, as their ledgers report.

    Attributes
    ----------
    jobs : dict of bytes to KnownJob
        By job id.
    """

    def __init__(self) -> None:
        self.jobs: dict[bytes, KnownJob] = {}

    def add(
        self, agent_id: str, incarnation: int, record: JobRecord
    ) -> KnownJob:
        """Merge one record and return the job as now known.

        A record of a different body than the first one reported is not
        merged. The returned job's digest then differs from the record's.
        """
        job = self.jobs.get(record.job_id)
        if job is None:
            job = KnownJob(digest=record.digest, tasks={})
            self.jobs[record.job_id] = job
        if job.digest != record.digest:
            job.has_other_body = True
            return job
        for task in record.tasks:
            known = KnownTask(
                agent_id=agent_id,
                incarnation=incarnation,
                attempt=task.attempt,
                state=RecordState(task.state),
            )
            former = job.tasks.get(task.index)
            if (
                former is None
                or former.source == known.source
                or known.weight > former.weight
            ):
                job.tasks[task.index] = known
        return job

    def remove_agent_records(self, agent_id: str, incarnation: int) -> None:
        """Remove an agent's records before it reports them again."""
        for job in self.jobs.values():
            for index, task in list(job.tasks.items()):
                if (task.agent_id, task.incarnation) == (
                    agent_id,
                    incarnation,
                ):
                    del job.tasks[index]

    def prune(self, made_before_ms: int) -> None:
        """Remove jobs whose identifiers are older than a Unix time."""
        for job_id in list(self.jobs):
            if JobId(job_id).created_ms < made_before_ms:
                del self.jobs[job_id]

    def record_result(
        self, agent_id: str, incarnation: int, result: TaskResult
    ) -> None:
        """Record the end of an attempt that was known as begun."""
        job = self.jobs.get(result.job_id)
        known = job.tasks.get(result.task) if job is not None else None
        if job is None or known is None:
            return
        if (known.agent_id, known.incarnation, known.attempt) != (
            agent_id,
            incarnation,
            result.attempt,
        ):
            return
        is_first = result.attempt == 1
        if result.verdict == Verdict.NOT_RUN.value and is_first:
            del job.tasks[result.task]
            return
        state = RecordState.FAILED
        if result.succeeded:
            state = RecordState.SUCCEEDED
        job.tasks[result.task] = dataclasses.replace(known, state=state)

    def find(self, job_id: bytes) -> KnownJob | None:
        """Return what is known of a job, or None."""
        return self.jobs.get(job_id)
