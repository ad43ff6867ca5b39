"""Ledger of an agent: the tasks it has started and how they ended."""

from collections import OrderedDict
from collections.abc import Iterable
import dataclasses
import enum

from egretcart.connection.agent_messages import JobRecord
from egretcart.connection.agent_messages import TaskRecord
from egretcart.connection.agent_messages import TaskResult
from egretcart.request.identity import JobId


class RecordState(enum.IntEnum):
    """State of the newest recorded attempt at a task.

    Attributes
    ----------
    BEGUN
        The attempt runs.
    SUCCEEDED
        The backend server answered with success.
    FAILED
        The attempt ended without success; the task may have run.
    """

    BEGUN = 1
    SUCCEEDED = 2
    FAILED = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class LedgerTask:
    """The newest attempt at a started task.

    Attributes
    ----------
    attempt : int
        Number of the attempt; later attempts have higher numbers.
    state : RecordState
    result : TaskResult or None
        Result of the attempt; None while the task runs and after the result
        was evicted.
    verdict : str
        Value of the `Verdict` of the ended attempt; empty while the task
        runs.
    former : LedgerTask or None
        Previous attempt, which becomes the newest one again if this one
        turns out not to have been started. None if there is none and after
        this attempt has ended.
    """

    attempt: int
    state: RecordState
    result: TaskResult | None = None
    verdict: str = ""
    former: "LedgerTask | None" = None


@dataclasses.dataclass(kw_only=True, slots=True)
class LedgerJob:
    """The started tasks of one job.

    Attributes
    ----------
    digest : bytes
        Digest of the job's body.
    tasks : dict of int to LedgerTask
        By task index.
    """

    digest: bytes
    tasks: dict[int, LedgerTask]


class Ledger:
    """Records of the tasks that an agent started.

    Records are bounded by age, and results by their total size as well.

    Parameters
    ----------
    max_result_bytes : int
        Largest total size of the result bodies kept, in bytes. Beyond it the
        oldest results are evicted, but their state and verdict are kept.

    Attributes
    ----------
    jobs : dict of bytes to LedgerJob
        By job id.
    result_bytes : int
        Total size of the result bodies kept.
    newest_job_ms : int
        Creation time of the newest job that ever had a task begin, as Unix
        time in milliseconds; 0 if there is none. Removal of the job does
        not reset it.
    retained : OrderedDict of tuple of bytes and int to int
        Size of each result body kept, by job id and task index, oldest
        first.
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
        """Remove an attempt that has ended and certainly did not run.

        The previous attempt at the task, if any, becomes the newest again.
        """
        job = self.jobs[job_id]
        self._drop_result(job_id, task)
        former = job.tasks.pop(task).former
        if former is not None:
            job.tasks[task] = former
        if not job.tasks:
            del self.jobs[job_id]

    def finish(self, result: TaskResult) -> None:
        """Record how an attempt has ended and keep its result.

        Ignored if the ledger's newest attempt at the task is another one.
        """
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
        """Remove jobs that were created before a given time.

        Jobs of which a task is still running are kept.

        Parameters
        ----------
        made_before_ms : int
            Unix time in milliseconds, compared with the creation times that
            the job ids contain.
        """
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
        """Return the records of all jobs, without result bodies."""
        return self.records(self.jobs)

    def records(
        self, job_ids: Iterable[bytes], *, made_before_ms: int = 0
    ) -> tuple[JobRecord, ...]:
        """Return the records of jobs, without result bodies.

        Parameters
        ----------
        job_ids : iterable of bytes
            Jobs of which no task was started are left out.
        made_before_ms : int, optional
            Jobs created before this Unix time, in milliseconds, are returned
            as well; 0 means none.

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
        """Return records that contain only the given running tasks.

        Parameters
        ----------
        keys : iterable of tuple of bytes and int
            Job ids and indexes of tasks that have begun.

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
        """Evict the result of a task; its state and verdict are kept."""
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
