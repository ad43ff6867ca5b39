"""Work that arrives at an entry, by priority. Free of I/O.

This handles overload that lasts for seconds: a job waits not only for the
work that is ahead of it now, but also for more urgent work that arrives
while it waits.
"""

import math


class ArrivalRates:
    """Work that callers request, as an average over the recent past.

    Parameters
    ----------
    window_s : float
        Time over which the average is taken, in seconds; older work counts
        less, by an exponential weight.

    Attributes
    ----------
    work_cpu_milli_ms : dict of int to float
        Weighted work by priority, in thousandths of a processor times
        milliseconds, as of `updated_at`.
    updated_at : dict of int to float
        When the work of a priority was last updated.
    """

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self.work_cpu_milli_ms: dict[int, float] = {}
        self.updated_at: dict[int, float] = {}

    def record(
        self, priority: int, work_cpu_milli_ms: float, now: float
    ) -> None:
        """Record a job that a caller requests, accepted or not."""
        self.work_cpu_milli_ms[priority] = (
            self._work(priority, now) + work_cpu_milli_ms
        )
        self.updated_at[priority] = now

    def cpu_milli(self, now: float, *, before: float = math.inf) -> float:
        """Return the processors that arriving work would keep busy.

        Parameters
        ----------
        now : float
        before : float, optional
            Only priorities below this number, which are more urgent, are
            counted; all by default.

        Returns
        -------
        float
            In thousandths of a processor.
        """
        work = sum(
            self._work(priority, now)
            for priority in self.work_cpu_milli_ms
            if priority < before
        )
        return work / (self.window_s * 1000)

    def _work(self, priority: int, now: float) -> float:
        work = self.work_cpu_milli_ms.get(priority, 0.0)
        age_s = now - self.updated_at.get(priority, now)
        return work * math.exp(-age_s / self.window_s)
