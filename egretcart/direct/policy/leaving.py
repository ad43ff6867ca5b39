"""Leaving: whether a run is moved before its server leaves. Free of I/O.

This handles backend servers that leave with a short notice: every run that
lasts longer is lost as a whole. A server may stay a little longer than it
says, so that a run is moved only where it starts anew at once and its caller
gains by it. Two runs of a task are never active in parallel: the run is
stopped first, and its progress is lost.
"""

import msgspec

from egretcart.direct.policy.rescue import ReschedulingLimits


class ThreatenedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run at a server that leaves before the run is expected to end.

    Attributes
    ----------
    whole_ms : float
        Total run time at its current agent, in milliseconds.
    completed_share : float
        Completed share of the run, 0 to 1.
    leaves_in_ms : float
        Shortest time until the server leaves, in milliseconds.
    slowdown : float
        Ratio of run times at the current agent to the callers' estimates.
    elsewhere_slowdown : float or None
        Ratio of run times to the callers' estimates at the fastest other
        agent with free capacity for the task; None if there is no such
        agent.
    objective_ms : float
        Latency objective of the job, in milliseconds.
    job_age_ms : float
        Time since the job was accepted, in milliseconds.
    """

    whole_ms: float
    completed_share: float
    leaves_in_ms: float
    slowdown: float
    elsewhere_slowdown: float | None
    objective_ms: float
    job_age_ms: float


def should_move(run: ThreatenedRun, limits: ReschedulingLimits) -> bool:
    """Whether a run should be stopped and started again elsewhere.

    It isn't moved if its caller gains nothing: if the answer would be on time
    even if the run were cut off and started again then, or of no use although
    it is moved. Nor is it moved if it ends so soon after the time that is left
    that staying is better at even odds of being cut off.
    """
    if run.elsewhere_slowdown is None:
        return False
    remaining_ms = run.whole_ms * (1 - run.completed_share)
    if remaining_ms <= run.leaves_in_ms:
        return False
    moved_ms = (
        run.whole_ms * run.elsewhere_slowdown / run.slowdown
        + limits.restart_overhead_ms
    )
    cut_off_ms = run.leaves_in_ms + moved_ms
    if run.job_age_ms + cut_off_ms <= run.objective_ms:
        return False
    useful_ms = limits.useful_latency_factor * run.objective_ms
    if run.job_age_ms + moved_ms > useful_ms:
        return False
    return (remaining_ms + cut_off_ms) / 2 > moved_ms
