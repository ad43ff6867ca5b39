"""Admission: whether a job can still be served in time. Free of I/O.

This handles overload that lasts for seconds: more work than all agents can
do. A job whose answer would come too late to be of any use is refused at
once, as not run, with a realistic time after which to retry. A job is never
refused while there is free capacity for it.
"""

from collections.abc import Iterable
import math

import msgspec

from egretcart.direct.connection.views import AgentView
from egretcart.direct.request.job import Step
from egretcart.direct.version.configuration import MAX_USEFUL_SHARE
from egretcart.direct.version.configuration import USEFUL_LATENCY_FACTOR


class AdmissionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a job is refused.

    Attributes
    ----------
    useful_latency_factor : float
        Multiple of the latency objective up to which an answer is still of
        use to its caller.
    least_run_share : float
        Share of the estimated run time that a job takes at least: estimates
        are wrong by two fifths at times, and servers differ in speed.
    max_useful_share : float
        Share of that time up to which a job is accepted: estimates are at
        times wrong by a factor of 1.5, and a caller that waits in vain is
        worse off than one that is refused.
    min_retry_s, max_retry_s : float
        Bounds of the time after which a refused caller may retry, in
        seconds.
    """

    useful_latency_factor: float = USEFUL_LATENCY_FACTOR
    least_run_share: float = 0.5
    max_useful_share: float = MAX_USEFUL_SHARE
    min_retry_s: float = 1.0
    max_retry_s: float = 10.0


class LoadEstimate(msgspec.Struct, frozen=True, kw_only=True):
    """An entry's estimate of the load of a service's agents, for one step.

    Attributes
    ----------
    capacity_cpu_milli : float
        Processor capacity of the agents that may run the step, in
        thousandths of a processor.
    has_free_capacity : bool
        Whether one of them has free capacity for a task now.
    queued_cpu_milli_ms : float
        Estimated work that is queued ahead of the step, at agents and
        entries, in thousandths of a processor times milliseconds.
    fastest_ms : float
        Expected run time of a task on the fastest agent, in milliseconds.
    discovery_wait_ms : float or None
        Expected time until agents know their backend servers, right after a
        start, in milliseconds; None later.
    """

    capacity_cpu_milli: float
    has_free_capacity: bool
    queued_cpu_milli_ms: float
    fastest_ms: float
    discovery_wait_ms: float | None = None

    @property
    def wait_ms(self) -> float:
        """Expected time until a task may start, in milliseconds."""
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
    service: str,
    queued_cpu_milli_ms: float,
    far_factor: float,
    discovery_wait_ms: float | None = None,
) -> LoadEstimate:
    """Return an estimate of the load of a service's agents, for one step.

    Parameters
    ----------
    step : Step
    views : iterable of AgentView
    service : str
        Service whose backend servers run the step.
    queued_cpu_milli_ms : float
        Estimated work that waits at the entries ahead of the step for the
        same service, in thousandths of a processor times milliseconds.
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data.
    discovery_wait_ms : float, optional
        See `LoadEstimate`.
    """
    usable = [view for view in views if view.may_run(step, service)]
    task_cpu_milli = max(1, step.room.cpu_milli)
    capacity_cpu_milli = float(sum(view.status.cpu_milli for view in usable))
    return LoadEstimate(
        capacity_cpu_milli=capacity_cpu_milli,
        discovery_wait_ms=discovery_wait_ms,
        has_free_capacity=any(view.free.can_fit(step.room) for view in usable),
        queued_cpu_milli_ms=queued_cpu_milli_ms
        + sum(view.status.queued_ms * task_cpu_milli for view in usable),
        fastest_ms=min(
            (view.run_ms(step, far_factor) for view in usable),
            default=step.estimate_ms,
        ),
    )


def can_end_in_time(
    wait_left_ms: float, run_ms: float, limits: AdmissionLimits
) -> bool:
    """Whether a job that begins now may end while its caller waits.

    Parameters
    ----------
    wait_left_ms : float
        Time for which its caller still waits, in milliseconds.
    run_ms : float
        Run time of the job with enough capacity, from its estimates, in
        milliseconds.
    limits : AdmissionLimits
    """
    return wait_left_ms > run_ms * limits.least_run_share


def retry_after_s(
    load: LoadEstimate,
    useful_ms: float,
    limits: AdmissionLimits,
    *,
    is_accepted: bool = False,
) -> float | None:
    """Return when to retry; None if the job can be served in time.

    Parameters
    ----------
    load : LoadEstimate
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
    may_refuse_on_estimate = not is_accepted and load.discovery_wait_ms is None
    allowed_ms = useful_ms * (
        limits.max_useful_share if may_refuse_on_estimate else 1.0
    )
    excess_ms = load.wait_ms + load.fastest_ms - allowed_ms
    if load.has_free_capacity or excess_ms <= 0:
        return None
    return min(limits.max_retry_s, max(limits.min_retry_s, excess_ms / 1000))
