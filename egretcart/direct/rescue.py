"""Whether a late run is worth running elsewhere. Free of I/O.

Answers the load of a backend server that has turned slow or stands still
while others are sound. Copies never run side by side: the run is stopped
first, and what it has done is thrown away.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RescueLimits:
    """When a run is moved.

    Attributes
    ----------
    gain_factor : float
        The remaining time must be so many times the time elsewhere, as
        paces are only estimates.
    overhead_ms : float
        Time for stopping and starting, in milliseconds.
    """

    gain_factor: float = 1.5
    overhead_ms: float = 60.0


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
    time_left_ms : float
        Until the job's latency objective.
    """

    whole_ms: float
    done_share: float
    pace: float
    elsewhere_pace: float | None
    time_left_ms: float


def is_worth_moving(run: LateRun, limits: RescueLimits) -> bool:
    """Whether a run should be stopped and begun again elsewhere.

    A wrong estimate makes a run late everywhere, so the two agents' paces
    are compared, not the run and its estimate. A run that is on time stays:
    its caller would gain nothing.
    """
    if run.whole_ms < 0:
        return True
    left_ms = run.whole_ms * (1 - run.done_share)
    if run.elsewhere_pace is None or left_ms <= run.time_left_ms:
        return False
    elsewhere_ms = run.whole_ms * run.elsewhere_pace / run.pace
    return left_ms > limits.gain_factor * elsewhere_ms + limits.overhead_ms
