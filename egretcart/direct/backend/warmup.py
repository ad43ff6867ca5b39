"""Run times of a backend server that is cold at first. Free of I/O.

After its start, a server may run tasks more slowly for some time. The ratios
of run times that are measured meanwhile say nothing about it later, so they
are kept apart and dropped once it is warm. Times without a unit in their name
are in seconds on the agent's monotonic clock.
"""

from egretcart.direct.request.progress import ProgressLimits
from egretcart.direct.request.progress import SlowdownEstimate

MS_PER_S = 1000


class Warmup:
    """The cold time of a server, and its slowdown while cold and warm.

    Parameters
    ----------
    limits : ProgressLimits

    Attributes
    ----------
    warm_slowdown : SlowdownEstimate
        Ratio of run times to the callers' estimates while it is warm.
    cold_slowdown : SlowdownEstimate
        The same for the current cold time, or for the last one.
    cold_from, cold_until : float
        When the current cold time, or the last one, began and ends; 0 if
        there was none.
    """

    def __init__(self, *, limits: ProgressLimits) -> None:
        self.limits = limits
        self.warm_slowdown = SlowdownEstimate(limits=limits)
        self.cold_slowdown = self.warm_slowdown
        self.cold_from = 0.0
        self.cold_until = 0.0

    def update(self, cold_for_ms: int, now: float) -> None:
        """Apply a report of how much longer the server is cold."""
        if cold_for_ms <= 0:
            self.cold_until = min(self.cold_until, now)
            return
        if not self.is_cold(now):
            self.cold_from = now
            self.cold_slowdown = SlowdownEstimate(
                limits=self.limits, prior_percent=self.warm_slowdown.percent()
            )
        self.cold_until = now + cold_for_ms / MS_PER_S

    def end(self, now: float) -> None:
        """Forget the cold time of a server that has ended."""
        self.cold_until = min(self.cold_until, now)

    def is_cold(self, now: float) -> bool:
        """Whether the server is cold."""
        return now < self.cold_until

    def left_ms(self, now: float) -> int:
        """Return how much longer it is cold, in milliseconds."""
        return max(0, round((self.cold_until - now) * MS_PER_S))

    def passed_share(self, now: float) -> float:
        """Return the share of the cold time that has passed; 1 if all has."""
        if not self.is_cold(now):
            return 1.0
        return (now - self.cold_from) / (self.cold_until - self.cold_from)

    def record(
        self,
        job_id: str,
        run_ms: float,
        estimate_ms: float,
        *,
        since: float,
        now: float,
    ) -> None:
        """Record a run time that was measured from `since` until now.

        One that was measured both while the server was cold and while it
        was warm belongs to neither, and is left out.
        """
        if not self.is_cold(now):
            if since >= self.cold_until:
                self.warm_slowdown.record(job_id, run_ms, estimate_ms)
        elif since >= self.cold_from:
            self.cold_slowdown.record(job_id, run_ms, estimate_ms)

    def slowdown_percent(self, now: float) -> int:
        """Return the slowdown that runs have now, in percent."""
        if self.is_cold(now):
            return self.cold_slowdown.percent()
        return self.warm_slowdown.percent()
