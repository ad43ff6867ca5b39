"""Admission: whether a job can still be served in time. Free of I/O.

This handles overload that lasts for seconds: more work than all agents can
do, in jobs of one task or of many. A job whose answer would come too late to
be of any use is refused at once, as not run, with a realistic time after
which to retry. A job is never refused while there is free capacity for all
of its tasks at once.
"""

from collections.abc import Iterable
import dataclasses
import math

from egretcart.direct.connection.views import AgentView
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import USEFUL_LATENCY_FACTOR

# Share of the capacity that is left to a job even if more urgent work would
# take all of it, as the arrival rates are estimates.
MIN_CAPACITY_SHARE = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionLimits:
    """When a job is refused.

    Attributes
    ----------
    useful_latency_factor : float
        Multiple of the latency objective up to which an answer is still of
        use to its caller.
    max_useful_share : float
        Share of that time up to which a job is accepted: estimates are at
        times wrong by a factor of 1.5, and a caller that waits in vain is
        worse off than one that is refused.
    on_time_share : float
        Share of the time until the latency objective in which a job has to
        be expected to end to count as on time, for the same reason.
    task_spread : float
        Spread of the run times of a job's tasks, relative to their mean.
    arrival_window_s : float
        Time over which the rate of arriving work is averaged, in seconds:
        shorter than a burst.
    min_retry_s, max_retry_s : float
        Bounds of the time after which a refused caller may retry, in
        seconds.
    retry_jitter : float
        Most that is added at random to that time, relative to it, so that
        callers that were refused together don't return together.
    """

    useful_latency_factor: float = USEFUL_LATENCY_FACTOR
    max_useful_share: float = 0.67
    on_time_share: float = 0.75
    task_spread: float = 0.15
    arrival_window_s: float = 1.0
    min_retry_s: float = 1.0
    max_retry_s: float = 10.0
    retry_jitter: float = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Backlog:
    """Work that goes before a job, as its entry knows it.

    Attributes
    ----------
    ahead_cpu_milli_ms : float
        Work that waits at entries and goes before the job's tasks, in
        thousandths of a processor times milliseconds.
    arriving_cpu_milli : float
        Processors that work keeps busy that will arrive and go before the
        job's tasks, in thousandths.
    """

    ahead_cpu_milli_ms: float = 0.0
    arriving_cpu_milli: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadEstimate:
    """An entry's estimate of the load of all agents, for one job.

    Attributes
    ----------
    capacity_cpu_milli : float
        Processor capacity of the agents that may run the job's first step,
        in thousandths of a processor.
    tasks : int
        Number of the step's tasks.
    free_places : int
        How many of these tasks would begin at once, up to `tasks`.
    task_cpu_milli_ms : float
        Work of one of these tasks, in thousandths of a processor times
        milliseconds.
    queued_cpu_milli_ms : float
        Estimated work that is queued at these agents, in the same unit.
    run_ms : float
        Expected run time of the job on the fastest agents once all tasks
        may start, to the end of its slowest task, in milliseconds.
    on_time : Backlog
        What goes before the job as long as it can be on time.
    late : Backlog
        What goes before the job once it will be late.
    status_age_ms : float
        Age of the oldest status that was used, in milliseconds.
    discovery_wait_ms : float or None
        Expected time until agents know their backend servers, right after a
        start, in milliseconds; None later.
    """

    capacity_cpu_milli: float
    tasks: int = 1
    free_places: int = 0
    task_cpu_milli_ms: float = 0.0
    queued_cpu_milli_ms: float = 0.0
    run_ms: float
    on_time: Backlog = Backlog()
    late: Backlog = Backlog()
    status_age_ms: float = 0.0
    discovery_wait_ms: float | None = None

    @property
    def has_free_capacity(self) -> bool:
        """Whether all tasks would begin at once."""
        return self.free_places >= self.tasks

    @property
    def wait_ms(self) -> float:
        """Expected time until the last task starts, in milliseconds.

        This holds as long as the job can be on time.
        """
        return self._wait_ms(self.on_time)

    @property
    def late_wait_ms(self) -> float:
        """Expected time until the last task of a late job starts."""
        return max(self.wait_ms, self._wait_ms(self.late))

    def _wait_ms(self, backlog: Backlog) -> float:
        if self.has_free_capacity:
            return 0.0
        if self.capacity_cpu_milli <= 0:
            return (
                math.inf
                if self.discovery_wait_ms is None
                else self.discovery_wait_ms
            )
        unplaced = self.tasks - self.free_places
        work = (
            backlog.ahead_cpu_milli_ms
            + self.queued_cpu_milli_ms
            + unplaced * self.task_cpu_milli_ms
        )
        share = 1 - backlog.arriving_cpu_milli / self.capacity_cpu_milli
        return work / (
            self.capacity_cpu_milli * max(MIN_CAPACITY_SHARE, share)
        )


def slowest_task_factor(tasks: int, spread: float) -> float:
    """Return the expected run time of the slowest task over the mean."""
    return 1 + spread * math.sqrt(2 * math.log(max(1, tasks)))


def estimate_load(
    step: Step,
    views: Iterable[AgentView],
    *,
    now: float,
    critical_path_ms: float,
    on_time: Backlog,
    late: Backlog,
    far_factor: float,
    task_spread: float,
    discovery_wait_ms: float | None = None,
) -> LoadEstimate:
    """Return an estimate of the load of all agents, for one job.

    While agents discover their backend servers, those that know none yet
    are assumed to add as much capacity as the others have on average.

    Parameters
    ----------
    step : Step
        The job's first step.
    views : iterable of AgentView
    now : float
    critical_path_ms : float
        Run time of the job with enough capacity, from its estimates, in
        milliseconds.
    on_time, late : Backlog
        See `LoadEstimate`.
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data.
    task_spread : float
        See `AdmissionLimits`.
    discovery_wait_ms : float, optional
        See `LoadEstimate`.
    """
    views = list(views)
    usable = [view for view in views if view.may_run(step)]
    task_cpu_milli = max(1, step.room.cpu_milli)
    capacity_cpu_milli = float(sum(view.status.cpu_milli for view in usable))
    if usable and discovery_wait_ms is not None:
        undiscovered = sum(
            not view.knows_backend and not view.is_drained for view in views
        )
        capacity_cpu_milli *= 1 + undiscovered / len(usable)
    fastest_ms = min(
        (view.run_ms(step, far_factor) for view in usable),
        default=step.estimate_ms,
    )
    return LoadEstimate(
        capacity_cpu_milli=capacity_cpu_milli,
        tasks=step.count,
        free_places=count_free_places(step, usable),
        task_cpu_milli_ms=task_cpu_milli * step.estimate_ms,
        queued_cpu_milli_ms=float(
            sum(view.status.queued_ms * task_cpu_milli for view in usable)
        ),
        run_ms=critical_path_ms
        - step.estimate_ms
        + fastest_ms * slowest_task_factor(step.count, task_spread),
        on_time=on_time,
        late=late,
        status_age_ms=max(
            ((now - view.status_at) * 1000 for view in usable), default=0.0
        ),
        discovery_wait_ms=discovery_wait_ms,
    )


def count_free_places(step: Step, views: Iterable[AgentView]) -> int:
    """Return how many tasks of a step would begin now, up to all."""
    places = 0
    for view in views:
        if places >= step.count:
            break
        if view.can_begin(step.room, step.requires):
            most = min(step.max_per_agent or step.count, step.count - places)
            places += view.free.count_fitting(step.room, most)
    return places


def retry_after_s(
    load: LoadEstimate,
    on_time_ms: float,
    useful_ms: float,
    limits: AdmissionLimits,
    *,
    is_accepted: bool = False,
) -> float | None:
    """Return when to retry; None if the job can be served in time.

    Parameters
    ----------
    load : LoadEstimate
    on_time_ms : float
        Time until the latency objective, in milliseconds; negative if the
        job will be late in any case.
    useful_ms : float
        Time in which an answer is of use, in milliseconds.
    limits : AdmissionLimits
    is_accepted : bool, optional
        Whether the job was accepted already; it is then refused only if it
        can't be served, not if that is uncertain. Nor is any job refused
        on uncertainty while agents discover their backend servers.

    Returns
    -------
    float or None
        Time after which the caller may retry, in seconds.
    """
    if load.has_free_capacity:
        return None
    may_refuse_on_estimate = not is_accepted and load.discovery_wait_ms is None
    allowed_ms = useful_ms * (
        limits.max_useful_share if may_refuse_on_estimate else 1.0
    )
    end_ms = load.wait_ms + load.run_ms
    if end_ms <= min(on_time_ms * limits.on_time_share, useful_ms):
        return None
    if load.late_wait_ms + load.run_ms <= allowed_ms:
        return None
    excess_ms = end_ms - on_time_ms * limits.on_time_share
    return min(limits.max_retry_s, max(limits.min_retry_s, excess_ms / 1000))
