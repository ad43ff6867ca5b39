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
        The remaining time must be so many times the time elsewhere: half
        of the work that is thrown away was then still to come.
    overhead_ms : float
        Time for stopping and starting, in milliseconds.
    """

    gain_factor: float = 1.5
    overhead_ms: float = 60.0


def is_worth_moving(
    remaining_ms: float, elsewhere_ms: float, limits: RescueLimits
) -> bool:
    """Whether a run should be stopped and begun again elsewhere.

    Parameters
    ----------
    remaining_ms : float
        Expected where it runs; negative if it stands still.
    elsewhere_ms : float
        Expected whole time where there is room now.
    limits : RescueLimits
    """
    if remaining_ms < 0:
        return True
    needed_ms = limits.gain_factor * elsewhere_ms + limits.overhead_ms
    return remaining_ms > needed_ms
