"""What a new leader learns from the ledgers of the agents it fences."""

import dataclasses

from egretcart.connection.messages import JobRecord
from egretcart.process.ledger import RecordState


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownTask:
    """A task that some agent has started."""

    agent_id: str
    incarnation: int
    attempt: int
    state: RecordState

    @property
    def weight(self) -> tuple[bool, bool, int]:
        """Order among records of one task: the greatest one decides."""
        return (
            self.state is RecordState.SUCCEEDED,
            self.state is RecordState.BEGUN,
            self.attempt,
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class KnownJob:
    """The started tasks of one job, from all ledgers."""

    digest: bytes
    tasks: dict[int, KnownTask]


class KnownJobs:
    """Jobs that agents have started, as their ledgers tell.

    Attributes
    ----------
    jobs : dict of bytes to KnownJob
    """

    def __init__(self) -> None:
        self.jobs: dict[bytes, KnownJob] = {}

    def add(
        self, agent_id: str, incarnation: int, record: JobRecord
    ) -> KnownJob:
        """Merge one record and return the job as now known."""
        job = self.jobs.get(record.job_id)
        if job is None:
            job = KnownJob(digest=record.digest, tasks={})
            self.jobs[record.job_id] = job
        for task in record.tasks:
            known = KnownTask(
                agent_id=agent_id,
                incarnation=incarnation,
                attempt=task.attempt,
                state=RecordState(task.state),
            )
            former = job.tasks.get(task.index)
            if former is None or known.weight > former.weight:
                job.tasks[task.index] = known
        return job

    def find(self, job_id: bytes) -> KnownJob | None:
        """Return what is known of a job, or None."""
        return self.jobs.get(job_id)
