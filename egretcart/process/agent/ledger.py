"""An agent's memory of what it started and how that ended."""

from collections import OrderedDict
from collections.abc import Iterable
import dataclasses
import enum

from egretcart.connection.messages import JobRecord
from egretcart.connection.messages import TaskRecord
from egretcart.connection.messages import TaskResult
from egretcart.request.identity import JobId


class RecordState(enum.IntEnum):
    """How far a recorded task has come."""

    BEGUN = 1
    SUCCEEDED = 2
    FAILED = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class LedgerTask:
    """One started task.

    Attributes
    ----------
    attempt : int
    state : RecordState
    result : TaskResult or None
        None while the task runs, and once the result is evicted.
    verdict : str
        Verdict of the ended attempt.
    former : LedgerTask or None
        The attempt before, which counts if this one was not begun.
    """

    attempt: int
    state: RecordState
    result: TaskResult | None = None
    verdict: str = ""
    former: "LedgerTask | None" = None


@dataclasses.dataclass(kw_only=True, slots=True)
class LedgerJob:
    """The started tasks of one job, by their index."""

    digest: bytes
    tasks: dict[int, LedgerTask]


class Ledger:
    """What an agent started, bounded by age; results bounded by size.

    Parameters
    ----------
    max_result_bytes : int
        Result bodies kept in all; the oldest are evicted, their outcome
        stays.

    Attributes
    ----------
    jobs : dict of bytes to LedgerJob
    result_bytes : int
        Size of the result bodies kept.
    newest_job_ms : int
        Unix time at which the newest job ever begun was made; 0 if none.
    """

    def __init__(self, *, max_result_bytes: int) -> None:
        self.max_result_bytes = max_result_bytes
        self.jobs: dict[bytes, LedgerJob] = {}
        self.result_bytes = 0
        self.newest_job_ms = 0
        self.retained: OrderedDict[tuple[bytes, int], int] = OrderedDict()

    def find(self, job_id: bytes, task: int) -> LedgerTask | None:
        """Return the record of a task, or None if it was not started."""
        job = self.jobs.get(job_id)
        if job is None:
            return None
        return job.tasks.get(task)

    def begin(
        self, *, job_id: bytes, digest: bytes, task: int, attempt: int
    ) -> None:
        """Record that an attempt at a task begins."""
        job = self.jobs.get(job_id)
        if job is None:
            job = LedgerJob(digest=digest, tasks={})
            self.jobs[job_id] = job
            created_ms = JobId(job_id).created_ms
            self.newest_job_ms = max(self.newest_job_ms, created_ms)
        self._drop_result(job_id, task)
        former = job.tasks.get(task)
        if former is not None:
            former.former = None
        job.tasks[task] = LedgerTask(
            attempt=attempt, state=RecordState.BEGUN, former=former
        )

    def forget(self, job_id: bytes, task: int) -> None:
        """Remove an attempt that provably was not started after all."""
        job = self.jobs[job_id]
        self._drop_result(job_id, task)
        former = job.tasks.pop(task).former
        if former is not None:
            job.tasks[task] = former
        if not job.tasks:
            del self.jobs[job_id]

    def finish(self, result: TaskResult) -> None:
        """Record how a task has ended and keep its result."""
        record = self.find(result.job_id, result.task)
        if record is None or record.attempt != result.attempt:
            return
        record.state = (
            RecordState.SUCCEEDED if result.succeeded else RecordState.FAILED
        )
        record.verdict = result.verdict
        record.former = None
        record.result = result
        self.retained[(result.job_id, result.task)] = len(result.body)
        self.result_bytes += len(result.body)
        while self.result_bytes > self.max_result_bytes:
            oldest = next(iter(self.retained))
            self._drop_result(*oldest)

    def prune(self, made_before_ms: int) -> None:
        """Forget jobs whose identifiers are older than a Unix time."""
        for job_id in list(self.jobs):
            if JobId(job_id).created_ms >= made_before_ms:
                continue
            job = self.jobs[job_id]
            if any(
                task.state is RecordState.BEGUN for task in job.tasks.values()
            ):
                continue
            for index in job.tasks:
                self._drop_result(job_id, index)
            del self.jobs[job_id]

    def summary(self) -> tuple[JobRecord, ...]:
        """Return all records without results."""
        return self.records(self.jobs)

    def records(
        self, job_ids: Iterable[bytes], *, made_before_ms: int = 0
    ) -> tuple[JobRecord, ...]:
        """Return the records of jobs, without results.

        Parameters
        ----------
        job_ids : iterable of bytes
            Jobs of which nothing was started are left out.
        made_before_ms : int, optional
            Jobs made before this Unix time are returned as well.

        Returns
        -------
        tuple of JobRecord
        """
        chosen = dict.fromkeys(job_ids)
        if made_before_ms:
            chosen |= dict.fromkeys(
                job_id
                for job_id in self.jobs
                if JobId(job_id).created_ms < made_before_ms
            )
        return tuple(
            _job_record(job_id, job.digest, job.tasks)
            for job_id in chosen
            if (job := self.jobs.get(job_id)) is not None
        )

    def running(
        self, keys: Iterable[tuple[bytes, int]]
    ) -> tuple[JobRecord, ...]:
        """Return the records of single tasks.

        Parameters
        ----------
        keys : iterable of tuple of bytes and int
            Job id and index of tasks that have begun.

        Returns
        -------
        tuple of JobRecord
        """
        return tuple(
            _job_record(
                job_id,
                self.jobs[job_id].digest,
                {index: self.jobs[job_id].tasks[index]},
            )
            for job_id, index in keys
        )

    def _drop_result(self, job_id: bytes, task: int) -> None:
        size = self.retained.pop((job_id, task), None)
        if size is None:
            return
        self.result_bytes -= size
        record = self.find(job_id, task)
        if record is not None:
            record.result = None


def _job_record(
    job_id: bytes, digest: bytes, tasks: dict[int, LedgerTask]
) -> JobRecord:
    return JobRecord(
        job_id=job_id,
        digest=digest,
        tasks=tuple(
            TaskRecord(
                index=index, attempt=task.attempt, state=int(task.state)
            )
            for index, task in tasks.items()
        ),
    )
