"""Plans the jobs of a load run by drawing them from its seed."""

import dataclasses
import math
import random

import msgspec

from egretcart.load.profile import KindProfile
from egretcart.load.profile import LoadProfile
from egretcart.request.job import JobDocument
from egretcart.request.job import TaskDocument

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PlannedJob:
    """One job of a load run.

    Attributes
    ----------
    number : int
        Position in the order of drawing, from 0.
    at_s : float
        Planned time of submission, in seconds from the start of the run.
    body : bytes
        The submission.
    run_ms : tuple of float
        True run time of each task at speed 1, in milliseconds.
    id_suffix : int
        Random part of the job's id.
    resubmit_after_s : float or None
        Time from the first submission to that of a second caller, in
        seconds; None for no second caller.
    """

    number: int
    at_s: float
    body: bytes
    run_ms: tuple[float, ...]
    id_suffix: int
    resubmit_after_s: float | None = None

    @property
    def work_s(self) -> float:
        """Run time of all tasks at speed 1, in seconds."""
        return sum(self.run_ms) / MS_PER_S


def expected_echo(number: int, task: int) -> str:
    """Return the text that the answer to a task must contain.

    Parameters
    ----------
    number : int
        Number of the planned job.
    task : int
        Index of the task within the job.
    """
    return f"{number}/{task}"


class _JobGenerator:
    """Draws jobs from the profile's seed, one after the other."""

    def __init__(self, profile: LoadProfile) -> None:
        self.profile = profile
        self.random = random.Random(profile.seed)
        self.jobs: list[PlannedJob] = []

    def log_uniform(self, low: float, high: float) -> float:
        return math.exp(self.random.uniform(math.log(low), math.log(high)))

    def draw_job_size(self) -> int:
        profile = self.profile
        drawn = self.log_uniform(
            profile.min_job_tasks, profile.max_job_tasks + 1
        )
        return min(int(drawn), profile.max_job_tasks)

    def add_job(self, at_s: float, size: int) -> PlannedJob:
        number = len(self.jobs)
        run_ms: list[float] = []
        tasks: list[TaskDocument] = []
        for index in range(size):
            kind = self.kind()
            true_ms = kind.run_ms * self.log_uniform(
                1 / kind.spread, kind.spread
            )
            error = self.profile.declared_error
            run_ms.append(true_ms)
            tasks.append(
                TaskDocument(
                    kind=kind.name,
                    payload={
                        "run_ms": true_ms,
                        "echo": expected_echo(number, index),
                    },
                    run_time_ms=true_ms * self.log_uniform(1 / error, error),
                )
            )
        resubmit_after_s = None
        if self.random.random() < self.profile.resubmit_share:
            resubmit_after_s = self.random.uniform(0, max(run_ms) / MS_PER_S)
        job = PlannedJob(
            number=number,
            at_s=at_s,
            body=msgspec.json.encode(
                JobDocument(
                    tasks=tasks,
                    idempotent=self.profile.idempotent,
                    deadline_ms=self.profile.deadline_ms,
                )
            ),
            run_ms=tuple(run_ms),
            id_suffix=self.random.getrandbits(62),
            resubmit_after_s=resubmit_after_s,
        )
        self.jobs.append(job)
        return job

    def kind(self) -> KindProfile:
        kinds = self.profile.kinds
        return self.random.choices(kinds, [kind.share for kind in kinds])[0]


def plan_jobs(profile: LoadProfile) -> list[PlannedJob]:
    """Return the jobs of a run, sorted by time of submission.

    Arrival times are uniform over the run, which makes them a Poisson
    process with a known number of arrivals.

    Parameters
    ----------
    profile : LoadProfile

    Returns
    -------
    list of PlannedJob

    Raises
    ------
    ValueError
        If the plan has more tasks than the profile allows.
    """
    generator = _JobGenerator(profile)
    # One task more than `max_tasks`, so that a plan by load that exceeds
    # the limit is refused below, not cut off.
    tasks_left = profile.tasks or profile.max_tasks + 1
    work_left_s = profile.load * profile.capacity * profile.duration_s
    while tasks_left > 0 and (profile.tasks or work_left_s > 0):
        at_s = generator.random.uniform(0, profile.duration_s)
        job = generator.add_job(
            at_s, min(generator.draw_job_size(), tasks_left)
        )
        tasks_left -= len(job.run_ms)
        work_left_s -= job.work_s
    for burst in profile.bursts:
        burst_left = burst.tasks
        while burst_left > 0:
            size = min(generator.draw_job_size(), burst_left)
            generator.add_job(burst.at_s, size)
            burst_left -= size
    total = sum(len(job.run_ms) for job in generator.jobs)
    if total > profile.max_tasks:
        raise ValueError(
            f"the plan has {total} tasks; at most {profile.max_tasks} are "
            "accepted - at `$.max_tasks`"
        )
    return sorted(generator.jobs, key=lambda job: job.at_s)
