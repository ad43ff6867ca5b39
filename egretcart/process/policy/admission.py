"""Whether a new job is taken in, refused for now or refused for good."""

import dataclasses
import random
from typing import Protocol

from egretcart.process.policy.estimates import RunTimeEstimator
from egretcart.process.policy.ordering import TaskQueue
from egretcart.request import outcomes
from egretcart.request.job import DEFAULT_TEAM
from egretcart.request.job import DEFAULT_URGENCY
from egretcart.request.job import Job
from egretcart.request.problem import bad_request
from egretcart.request.problem import Problem
from egretcart.version.document import Configuration
from egretcart.version.document import Service

MS_PER_S = 1000
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 30.0
# Callers are told times up to this share later than the expected one.
JITTER_SHARE = 0.25
# Share of the admitted wait that must have drained before a refused caller
# is told to come back.
RETRY_DRAIN_FRACTION = 0.5
# Share of the time to its deadline, without its own work, that a job may be
# expected to wait; jobs that arrive later may pass it.
MAX_WAIT_DEADLINE_FRACTION = 0.7
# A task counts as too long for its deadline only if this share of its
# expected run time already is.
UNMEETABLE_RUN_TIME_FRACTION = 0.5
# Rate assumed while no agent can take work.
MIN_SERVICE_RATE = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """What the agents of a cell can do.

    Attributes
    ----------
    slots : int
    rate : float
        Slots weighted by their speed: milliseconds of expected run time
        worked off in a millisecond.
    least_slowness : float
        Slowness of the fastest agent.
    """

    slots: int
    rate: float
    min_slowdown: float


class Admission(Protocol):
    """Decides on new jobs."""

    def configure(self, configuration: Configuration, service: str) -> None:
        """Put a configuration in force."""

    def find_refusal(
        self,
        job: Job,
        *,
        work_ms: list[float],
        time_left_s: float,
        capacity: Capacity,
        now: float,
    ) -> Problem | None:
        """Return why a job that was never placed is refused, or None."""


class BoundedWaitAdmission:
    """Refuses what would wait too long, as not run.

    Parameters
    ----------
    order : TaskOrder
    run_times : RunTimes
    rng : random.Random
        Spreads the times at which refused callers come back.

    Attributes
    ----------
    promised_until : float
        Monotonic time up to which the cell's capacity is promised to
        callers that were refused.
    """

    def __init__(
        self,
        *,
        task_queue: TaskQueue,
        run_time_estimator: RunTimeEstimator,
        rng: random.Random,
    ) -> None:
        self.task_queue = task_queue
        self.run_time_estimator = run_time_estimator
        self.rng = rng
        self.configuration = Configuration()
        self.service = Service(name="unknown")
        self.reserved_until = float("-inf")

    def configure(self, configuration: Configuration, service: str) -> None:
        """Put a configuration in force."""
        self.configuration = configuration
        found = configuration.find_service(service)
        self.service = found if found is not None else Service(name=service)

    def find_refusal(
        self,
        job: Job,
        *,
        work_ms: list[float],
        time_left_s: float,
        capacity: Capacity,
        now: float,
    ) -> Problem | None:
        """Return why a job that was never placed is refused, or None.

        Parameters
        ----------
        job : Job
        work_ms : list of float
            Expected run time of each task, in milliseconds.
        time_left_s : float
            Time to the job's deadline, in seconds.
        capacity : Capacity
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Problem or None
            With verdict `NOT_RUN`.
        """
        urgency = self.configuration.find_urgency(job.urgency)
        if urgency is None:
            return bad_request(self._unknown_urgency(job.urgency))
        if not self.configuration.knows_team(job.team):
            return bad_request(self._unknown_team(job.team))
        longest_ms = max(work_ms) * capacity.min_slowdown
        if self._is_unmeetable(job, longest_ms, time_left_s):
            return outcomes.deadline_unmeetable(job, longest_ms, time_left_s)
        rate = max(capacity.rate, MIN_SERVICE_RATE)
        wait_ms = self._expected_wait_ms(job, rate, capacity.slots)
        own_ms = max(longest_ms, sum(work_ms) / rate)
        spare_ms = time_left_s * MS_PER_S - own_ms
        limit_ms = min(
            urgency.max_wait_ms, MAX_WAIT_DEADLINE_FRACTION * spare_ms
        )
        waiting = self.task_queue.waiting
        full = waiting + len(job.tasks) > self.service.max_waiting_tasks
        if not full and wait_ms <= max(0.0, limit_ms):
            return None
        drain_ms = wait_ms - RETRY_DRAIN_FRACTION * max(0.0, limit_ms)
        retry_after_s = self._retry_after_s(drain_ms, sum(work_ms) / rate, now)
        if full:
            return outcomes.queue_full(
                job, waiting, self.service.max_waiting_tasks, retry_after_s
            )
        return outcomes.overloaded(job, wait_ms, limit_ms, retry_after_s)

    def _expected_wait_ms(self, job: Job, rate: float, slots: int) -> float:
        """Return the wait behind the class's work, at the class's share.

        Never more than behind all work at the whole rate, nor than behind
        the team's own work at its quota.
        """
        task_queue = self.task_queue
        everything_ms = sum(
            task_queue.waiting_ms(name) for name in self._urgency_names()
        )
        share = task_queue.share(job.urgency)
        waits = [
            everything_ms / rate,
            task_queue.waiting_ms(job.urgency) / (rate * share),
        ]
        quota = task_queue.quota(job.team)
        if quota:
            quota_rate = rate * quota / max(1, slots)
            waits.append(task_queue.waiting_team_ms(job.team) / quota_rate)
        return min(waits)

    def _retry_after_s(
        self, drain_ms: float, own_ms: float, now: float
    ) -> float:
        """Return when to come back, one refused caller after the other."""
        earliest = now + max(MIN_RETRY_AFTER_S, drain_ms / MS_PER_S)
        promised = max(earliest, self.reserved_until)
        self.reserved_until = min(
            promised + own_ms / MS_PER_S, now + MAX_RETRY_AFTER_S
        )
        jitter = 1 + JITTER_SHARE * self.rng.random()
        return min(MAX_RETRY_AFTER_S, promised - now) * jitter

    def _is_unmeetable(
        self, job: Job, longest_ms: float, time_left_s: float
    ) -> bool:
        if UNMEETABLE_RUN_TIME_FRACTION * longest_ms <= time_left_s * MS_PER_S:
            return False
        return all(
            self.run_time_estimator.has_enough_samples(t.kind)
            for t in job.tasks
        )

    def _urgency_names(self) -> list[str]:
        names = [urgency.name for urgency in self.configuration.urgency]
        return names if DEFAULT_URGENCY in names else [*names, DEFAULT_URGENCY]

    def _unknown_urgency(self, found: str) -> str:
        return (
            f"urgency {found!r} is not configured; accepted are "
            f"{sorted(self._urgency_names())} - at `$.urgency`"
        )

    def _unknown_team(self, found: str) -> str:
        names = {team.name for team in self.configuration.teams}
        return (
            f"team {found!r} is not configured; accepted are "
            f"{sorted(names | {DEFAULT_TEAM})} - at `$.team`"
        )
