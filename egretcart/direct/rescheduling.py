"""Whether a late run is worth running elsewhere. Free of I/O.

Answers the load of a backend server that has turned slow or stands still
while others are sound. Copies never run side by side: the run is stopped
first, and what it has done is thrown away.
"""

import dataclasses

from egretcart.direct.configuration import USEFUL_LATENCY_FACTOR


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReschedulingLimits:
    """When a run is moved.

    Attributes
    ----------
    late_margin : float
        The remaining time must be so many times the time that is left, as
        paces are known to a quarter only.
    gain_factor : float
        The remaining time must be so many times the time elsewhere.
    overhead_ms : float
        Time for stopping and starting, in milliseconds.
    useful_factor : float
        Multiple of the latency objective up to which an answer is of use.
    """

    min_overrun_factor: float = 1.25
    min_speedup: float = 1.5
    restart_overhead_ms: float = 60.0
    useful_latency_factor: float = USEFUL_LATENCY_FACTOR


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LateRun:
    """A run that may be worth moving.

    Attributes
    ----------
    whole_ms : float
        Its whole run time where it is; negative if it stands still.
    done_share : float
        How much of it is done, 0 to 1.
    pace : float
        Run times there beside the callers' estimates.
    elsewhere_pace : float or None
        The same at the fastest agent that has room; None if none has.
    stretch, slack_ms : float
        The route's latency objective.
    passed_ms : float
        Time since the job was taken in.
    """

    whole_ms: float
    completed_share: float
    pace: float
    elsewhere_pace: float | None
    stretch: float
    slack_ms: float
    job_age_ms: float

    @property
    def objective_ms(self) -> float:
        """The job's objective, from the work that its progress shows.

        A wrong estimate makes a run late everywhere, so the estimate does
        not count here.
        """
        return self.stretch * self.whole_ms / self.pace + self.slack_ms


def should_reschedule(run: LateRun, limits: ReschedulingLimits) -> bool:
    """Whether a run should be stopped and begun again elsewhere.

    Only if its caller gains: it would be late where it is and on time
    elsewhere, or of no use and of some.
    """
    if run.whole_ms < 0:
        return True
    if run.elsewhere_pace is None:
        return False
    remaining_ms = run.whole_ms * (1 - run.completed_share)
    elsewhere_ms = (
        run.whole_ms * run.elsewhere_pace / run.pace
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
