"""Whether a job can still be served. Free of I/O.

Answers the load of more work than the fleet can do for seconds: a job that
would only be answered when its answer is worth nothing any more is refused
at once, as not run, with an honest time to come back. It never refuses
while there is room for the job.
"""

from collections.abc import Iterable
import dataclasses
import math

from egretcart.direct.configuration import USEFUL_LATENCY_FACTOR
from egretcart.direct.job import Step
from egretcart.direct.views import AgentView


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionLimits:
    """When a job is refused.

    Attributes
    ----------
    useful_factor : float
        Multiple of the latency objective up to which an answer is still of
        use to its caller.
    trust : float
        Share of that up to which a job is taken in: what is expected is
        wrong by a factor of 1.5 at times, and a caller that is held in
        vain is worse off than one that is refused.
    min_retry_s, max_retry_s : float
        Bounds of the time to come back, in seconds.
    """

    useful_latency_factor: float = USEFUL_LATENCY_FACTOR
    max_useful_share: float = 0.67
    min_retry_s: float = 1.0
    max_retry_s: float = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadEstimate:
    """What an entry sees of the fleet's load for one step.

    Attributes
    ----------
    capacity_milli : float
        Processor room of the agents that may run it.
    has_room : bool
        Whether one of them has room now.
    waiting_milli_ms : float
        Work that goes before it, at agents and entries, in thousandths of
        a processor times milliseconds.
    fastest_ms : float
        Expected run time on the fastest agent.
    meeting_ms : float or None
        Expected time until agents know their backend servers, right after a
        start; None later.
    """

    capacity_cpu_milli: float
    has_free_capacity: bool
    queued_cpu_milli_ms: float
    fastest_ms: float
    discovery_wait_ms: float | None = None

    @property
    def wait_ms(self) -> float:
        """Expected time until a task may start."""
        if self.has_free_capacity:
            return 0.0
        if self.capacity_cpu_milli > 0:
            return self.queued_cpu_milli_ms / self.capacity_cpu_milli
        return (
            math.inf
            if self.discovery_wait_ms is None
            else self.discovery_wait_ms
        )


def estimate_load(
    step: Step,
    views: Iterable[AgentView],
    *,
    queued_cpu_milli_ms: float,
    far_factor: float,
    discovery_wait_ms: float | None = None,
) -> LoadEstimate:
    """Return the load that a step meets.

    While agents meet their backend servers, those that know none yet are
    taken to bring as much room as the others have on average.

    Parameters
    ----------
    step : Step
    views : iterable of AgentView
    waiting_milli_ms : float
        Work that waits at the entries and goes first.
    far_factor : float
        How much longer a task takes on another rack than its data's.
    meeting_ms : float, optional
        See `Load`.
    """
    views = list(views)
    usable = [view for view in views if view.may_run(step)]
    room = max(1, step.room.cpu_milli)
    capacity_cpu_milli = float(sum(view.status.cpu_milli for view in usable))
    if usable and discovery_wait_ms is not None:
        undiscovered = sum(not view.knows_backend for view in views)
        capacity_cpu_milli *= 1 + undiscovered / len(usable)
    return LoadEstimate(
        capacity_cpu_milli=capacity_cpu_milli,
        discovery_wait_ms=discovery_wait_ms,
        has_free_capacity=any(view.free.can_fit(step.room) for view in usable),
        queued_cpu_milli_ms=queued_cpu_milli_ms
        + sum(view.status.queued_ms * room for view in usable),
        fastest_ms=min(
            (view.run_ms(step, far_factor) for view in usable),
            default=step.estimate_ms,
        ),
    )


def retry_after_s(
    load: LoadEstimate,
    useful_ms: float,
    limits: AdmissionLimits,
    *,
    is_accepted: bool = False,
) -> float | None:
    """Return when to come back; None if the job can be served in time.

    Parameters
    ----------
    load : Load
    useful_ms : float
        Time in which an answer is of use, in milliseconds.
    limits : AdmissionLimits
    is_held : bool, optional
        Whether the job was taken in already; it is given up only when it
        can't be served, not when that is doubtful. Nor is a job refused
        for doubts while agents meet their backend servers.
    """
    may_refuse_on_estimate = not is_accepted and load.discovery_wait_ms is None
    allowed_ms = useful_ms * (
        limits.max_useful_share if may_refuse_on_estimate else 1.0
    )
    excess_ms = load.wait_ms + load.fastest_ms - allowed_ms
    if load.has_free_capacity or excess_ms <= 0:
        return None
    return min(limits.max_retry_s, max(limits.min_retry_s, excess_ms / 1000))
