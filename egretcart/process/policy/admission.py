"""Admission control: accepts new jobs, or refuses them by expected wait."""

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
# Retry delays sent to callers are extended at random by up to this share.
JITTER_SHARE = 0.25
# A refused caller is asked to return once the expected wait should have fallen
# to this share of the wait limit.
RETRY_DRAIN_FRACTION = 0.5
# A job is refused if its expected wait exceeds this share of its spare time,
# which is the time to its deadline less its own run time. The rest is left for
# jobs that arrive later and may overtake it.
MAX_WAIT_DEADLINE_FRACTION = 0.7
# A deadline counts as unmeetable only if this share of the expected run time
# of the job's longest task already exceeds the time left.
UNMEETABLE_RUN_TIME_FRACTION = 0.5
# Lower bound of `Capacity.rate` when waits are calculated, so that they are
# finite while no agent can accept tasks.
MIN_SERVICE_RATE = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Capacity:
    """Processing capacity of a cell's agents.

    Attributes
    ----------
    slots : int
        Number of tasks that the agents may run at a time.
    rate : float
        Slots weighted by their speed: milliseconds of expected run time
        completed per millisecond.
    min_slowdown : float
        Slowdown of the fastest agent: ratio of its run times to those of an
        average agent; 1 if no agent may run tasks.
    """

    slots: int
    rate: float
    min_slowdown: float


class Admission(Protocol):
    """Accepts or refuses new jobs."""

    def configure(self, configuration: Configuration, service: str) -> None:
        """Apply a configuration from now on."""

    def find_refusal(
        self,
        job: Job,
        *,
        work_ms: list[float],
        time_left_s: float,
        capacity: Capacity,
        now: float,
    ) -> Problem | None:
        """Return why a job is refused, or None if it is accepted.

        Call it only for a job of which no task was ever sent to an agent.
        """


class BoundedWaitAdmission:
    """Refuses jobs whose expected wait is too long.

    A refused job has not run, so its caller may submit it again.

    Parameters
    ----------
    task_queue : TaskQueue
    run_time_estimator : RunTimeEstimator
    rng : random.Random
        Spreads the times at which refused callers are asked to return.

    Attributes
    ----------
    configuration : Configuration
    service : Service
        Configuration of the service of this cell.
    reserved_until : float
        Monotonic time, in seconds, up to which the cell's capacity is
        reserved for refused callers that have been asked to return; minus
        infinity before the first refusal.
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
        """Apply a configuration from now on."""
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
        """Return why a job is refused, or None if it is accepted.

        Call it only for a job of which no task was ever sent to an agent.

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
            With verdict `NOT_RUN`; None if the job is accepted.
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
        is_full = waiting + len(job.tasks) > self.service.max_waiting_tasks
        if not is_full and wait_ms <= max(0.0, limit_ms):
            return None
        drain_ms = wait_ms - RETRY_DRAIN_FRACTION * max(0.0, limit_ms)
        retry_after_s = self._retry_after_s(drain_ms, sum(work_ms) / rate, now)
        if is_full:
            return outcomes.queue_full(
                job, waiting, self.service.max_waiting_tasks, retry_after_s
            )
        return outcomes.overloaded(job, wait_ms, limit_ms, retry_after_s)

    def _expected_wait_ms(self, job: Job, rate: float, slots: int) -> float:
        """Return the expected wait of a job, in milliseconds.

        It is the time to work off the waiting tasks of the job's urgency
        class at the class's share of the rate. It is never more than the
        time for all waiting tasks at the whole rate, nor than the time for
        the team's own waiting tasks at the rate of its quota.
        """
        task_queue = self.task_queue
        total_ms = sum(
            task_queue.waiting_ms(name) for name in self._urgency_names()
        )
        share = task_queue.share(job.urgency)
        waits = [
            total_ms / rate,
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
        """Return the delay in seconds after which a caller should retry.

        Refused callers get consecutive reservations of the capacity, so
        that they do not all return at the same time.

        Parameters
        ----------
        drain_ms : float
            Time, in milliseconds, after which the expected wait should be
            short enough.
        own_ms : float
            Time, in milliseconds, that the job takes at the whole rate.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
        """
        earliest = now + max(MIN_RETRY_AFTER_S, drain_ms / MS_PER_S)
        reserved_from = max(earliest, self.reserved_until)
        self.reserved_until = min(
            reserved_from + own_ms / MS_PER_S, now + MAX_RETRY_AFTER_S
        )
        jitter = 1 + JITTER_SHARE * self.rng.random()
        return min(MAX_RETRY_AFTER_S, reserved_from - now) * jitter

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
