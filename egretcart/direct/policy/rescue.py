"""Rescheduling: whether a late run is moved to another agent. Free of I/O.

This handles a backend server that has become slow or has stalled while
others work normally. Two runs of a task are never active in parallel: the
late run is stopped first, and its progress is lost.
"""

import msgspec

from egretcart.direct.version.configuration import USEFUL_LATENCY_FACTOR


class ReschedulingLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a run is rescheduled.

    Attributes
    ----------
    min_overrun_factor : float
        The remaining run time must exceed this multiple of the time that is
        left for the job: slowdowns are known to within 25 % only.
    min_speedup : float
        The remaining run time must exceed this multiple of the time that
        the run takes elsewhere.
    restart_overhead_ms : float
        Time for stopping the run and starting it again, in milliseconds.
    useful_latency_factor : float
        Multiple of the latency objective up to which an answer is of use to
        its caller.
    """

    min_overrun_factor: float = 1.25
    min_speedup: float = 1.5
    restart_overhead_ms: float = 60.0
    useful_latency_factor: float = USEFUL_LATENCY_FACTOR


class LateRun(msgspec.Struct, frozen=True, kw_only=True):
    """A late run that may be rescheduled.

    Attributes
    ----------
    whole_ms : float
        Total run time at its current agent, in milliseconds; negative if
        the run is stalled.
    completed_share : float
        Completed share of the run, 0 to 1.
    slowdown : float
        Ratio of run times at the current agent to the callers' estimates.
    elsewhere_slowdown : float or None
        Ratio of run times to the callers' estimates at the fastest other
        agent with free capacity for the task; None if there is no such
        agent.
    stretch, slack_ms : float
        The route's latency objective: a multiple of the run time, and an
        addition to it in milliseconds.
    job_age_ms : float
        Time since the job was accepted, in milliseconds.
    """

    whole_ms: float
    completed_share: float
    slowdown: float
    elsewhere_slowdown: float | None
    stretch: float
    slack_ms: float
    job_age_ms: float

    @property
    def objective_ms(self) -> float:
        """Latency objective, derived from the progress; in milliseconds.

        The caller's estimate is not used: if it is wrong, the run would be
        late at every agent.
        """
        return self.stretch * self.whole_ms / self.slowdown + self.slack_ms


def should_reschedule(run: LateRun, limits: ReschedulingLimits) -> bool:
    """Whether a run should be stopped and started again elsewhere.

    A stalled run always should. Any other run should only if its caller
    gains, which is so in two cases: the job would miss its latency objective
    if the run stayed and meet it if the run started again elsewhere, or its
    answer would be of no use any more if the run stayed and still be of use
    if it started again elsewhere.
    """
    if run.whole_ms < 0:
        return True
    if run.elsewhere_slowdown is None:
        return False
    remaining_ms = run.whole_ms * (1 - run.completed_share)
    elsewhere_ms = (
        run.whole_ms * run.elsewhere_slowdown / run.slowdown
        + limits.restart_overhead_ms
    )
    if remaining_ms <= limits.min_speedup * elsewhere_ms:
        return False
    objective_ms = run.objective_ms
    for limit_ms in (
        objective_ms,
        limits.useful_latency_factor * objective_ms,
    ):
        time_left_ms = limit_ms - run.job_age_ms
        if elsewhere_ms <= time_left_ms:
            return remaining_ms > limits.min_overrun_factor * time_left_ms
    return False
