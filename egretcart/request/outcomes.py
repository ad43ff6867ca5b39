"""Problem documents that end a job or refuse a request about a job."""

from collections.abc import Collection

from egretcart.request.identity import JobId
from egretcart.request.job import Job
from egretcart.request.problem import Problem
from egretcart.request.progress import JobProgress
from egretcart.request.verdict import Verdict

# Delay after which to ask again for a job that a lost agent may have run.
UNRESOLVED_RETRY_AFTER_S = 2.0


def conflict(job_id: JobId, verdict: Verdict) -> Problem:
    """Return the problem for an id that was submitted with another body.

    Parameters
    ----------
    job_id : JobId
    verdict : Verdict
        Whether the body of this request may have run under an earlier
        leader.

    Returns
    -------
    Problem
    """
    return Problem(
        status=409,
        title="Conflict",
        detail=f"job {job_id} was submitted with another body",
        verdict=verdict,
    )


def answer_gone(job_id: JobId) -> Problem:
    """Return the problem for an answer that is no longer stored."""
    return Problem(
        status=410,
        title="Answer Gone",
        detail=f"job {job_id} ran, but its answer is no longer kept",
        verdict=Verdict.RAN,
    )


def answer_too_large(progress: JobProgress, limit: int) -> Problem:
    """Return the problem that ends a job whose results are too large.

    Parameters
    ----------
    progress : JobProgress
    limit : int
        Maximum size of all results of a job together, in bytes.

    Returns
    -------
    Problem
    """
    return Problem(
        status=502,
        title="Answer Too Large",
        detail=(
            f"the results of job {progress.job.job_id} take "
            f"{progress.result_bytes} bytes with "
            f"{progress.unfinished_task_count} tasks still open; "
            f"at most {limit} are accepted"
        ),
        verdict=progress.verdict(),
        tasks=progress.verdicts(),
    )


def unknown_job(job_id: JobId, verdict: Verdict) -> Problem:
    """Return the problem for a read of an unknown job."""
    return Problem(
        status=404,
        title="Not Found",
        detail=f"job {job_id} is not known",
        verdict=verdict,
    )


def id_expired(job_id: JobId, age_s: float, window_s: float) -> Problem:
    """Return the problem for an id older than the idempotency window."""
    return Problem(
        status=410,
        title="Job Id Expired",
        detail=(
            f"job id {job_id} is {age_s:.1f} s old; at most "
            f"{window_s:.0f} s are accepted"
        ),
        verdict=Verdict.MAY_HAVE_RUN,
    )


def id_in_future(
    job_id: JobId, ahead_s: float, skew_s: float, verdict: Verdict
) -> Problem:
    """Return the problem for an id created too far in the future."""
    return Problem(
        status=400,
        title="Job Id In Future",
        detail=(
            f"job id {job_id} is dated {ahead_s:.1f} s ahead; at most "
            f"{skew_s:.1f} s are accepted"
        ),
        verdict=verdict,
    )


def unresolved(job: Job, started_tasks: Collection[int]) -> Problem:
    """Return the problem for a job that may have run on a lost agent.

    Parameters
    ----------
    job : Job
    started_tasks : collection of int
        Indices of the tasks that a reachable agent has started.

    Returns
    -------
    Problem
    """
    return Problem(
        status=503,
        title="Outcome Unknown",
        detail=(
            f"{len(job.tasks) - len(started_tasks)} tasks of job {job.job_id} "
            "may have run on a backend server that can't be reached"
        ),
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_s=UNRESOLVED_RETRY_AFTER_S,
        tasks=tuple(Verdict.MAY_HAVE_RUN for _ in job.tasks),
    )


def cancelled(progress: JobProgress) -> Problem:
    """Return the problem that ends a cancelled job."""
    return Problem(
        status=409,
        title="Cancelled",
        detail=f"job {progress.job.job_id} was cancelled by its caller",
        verdict=progress.verdict(),
        tasks=progress.verdicts(),
    )


def task_failed(progress: JobProgress, index: int, error: str) -> Problem:
    """Return the problem that ends a job because one of its tasks failed."""
    return Problem(
        status=502,
        title="Task Failed",
        detail=f"task {index} of job {progress.job.job_id} failed: {error}",
        verdict=progress.verdict(),
        tasks=progress.verdicts(),
    )


def deadline_passed(progress: JobProgress) -> Problem:
    """Return the problem that ends a job at its deadline."""
    return Problem(
        status=504,
        title="Deadline Passed",
        detail=(
            f"{progress.unfinished_task_count} of {len(progress.tasks)} "
            f"tasks of job {progress.job.job_id} were not done by its deadline"
        ),
        verdict=progress.verdict(),
        tasks=progress.verdicts(),
    )


def queue_full(
    job: Job, waiting: int, limit: int, retry_after_s: float
) -> Problem:
    """Return the problem for a job that would exceed the queue's limit."""
    return Problem(
        status=503,
        title="Queue Full",
        detail=(
            f"{waiting} tasks wait; with the {len(job.tasks)} of job "
            f"{job.job_id} more than {limit} would"
        ),
        verdict=Verdict.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def overloaded(
    job: Job, wait_ms: float, limit_ms: float, retry_after_s: float
) -> Problem:
    """Return the problem for a job that would wait too long.

    Parameters
    ----------
    job : Job
    wait_ms, limit_ms : float
        Expected wait and longest accepted wait, in milliseconds.
    retry_after_s : float
        Time after which to submit the job again, in seconds.

    Returns
    -------
    Problem
    """
    return Problem(
        status=503,
        title="Overloaded",
        detail=(
            f"job {job.job_id} of urgency {job.urgency!r} and team "
            f"{job.team!r} would wait {wait_ms:.0f} ms; at most "
            f"{max(0.0, limit_ms):.0f} ms are accepted"
        ),
        verdict=Verdict.NOT_RUN,
        retry_after_s=retry_after_s,
    )


def deadline_unmeetable(
    job: Job, longest_task_ms: float, time_left_s: float
) -> Problem:
    """Return the problem for a job that no agent can finish in time."""
    return Problem(
        status=422,
        title="Deadline Unmeetable",
        detail=(
            f"a task of job {job.job_id} takes {longest_task_ms:.0f} ms "
            f"on the fastest agent; "
            f"its deadline leaves {time_left_s * 1000:.0f} ms"
        ),
        verdict=Verdict.NOT_RUN,
    )
