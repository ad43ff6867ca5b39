"""How far runs have come, and how fast a backend server is."""

from collections import deque
import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProgressLimits:
    """When a run counts as late.

    Attributes
    ----------
    stall_s : float
        Time without progress after which a run stands still, in seconds.
    stall_share : float
        The same, as a share of the estimated run time, if that is longer:
        a slow run shows its progress in steps of one percent.
    late_factor : float
        Remaining time, as a multiple of the estimated run time, from which
        the entry is asked whether to run it elsewhere.
    sample_s : float
        Time of a run from which the pace is sampled, in seconds: long
        enough for several percent of a task of a second.
    pace_runs : int
        Samples from which the server's pace is learned.
    max_pace : float
        Bound of the pace.
    """

    stall_s: float = 0.35
    stall_share: float = 0.15
    late_factor: float = 1.6
    sample_s: float = 0.15
    pace_runs: int = 16
    max_pace: float = 20.0


class RunProgress:
    """The progress of one run.

    Parameters
    ----------
    limits : ProgressLimits
    estimate_ms : float
    began : float
        When the run was started.
    """

    def __init__(
        self, *, limits: ProgressLimits, estimate_ms: float, began: float
    ) -> None:
        self.limits = limits
        self.estimate_ms = estimate_ms
        self.began = began
        self.percent = 0.0
        self.moved_at = began
        self.sampled_percent = 0.0
        self.sampled_at = began

    def note(self, percent: float, now: float) -> None:
        """Take the progress that the server lists."""
        if percent > self.percent:
            self.percent = percent
            self.moved_at = now

    def sample_ms(self) -> float | None:
        """Return a whole run time at the pace since the last sample.

        None if that is too short ago, or nothing has moved.
        """
        passed_s = self.moved_at - self.sampled_at
        gained = self.percent - self.sampled_percent
        if passed_s < self.limits.sample_s or gained <= 0:
            return None
        self.sampled_at = self.moved_at
        self.sampled_percent = self.percent
        return passed_s * 1000 * 100 / gained

    def is_stalled(self, now: float) -> bool:
        """Whether the run stands still."""
        share_s = self.limits.stall_share * self.estimate_ms / 1000
        limit_s = max(self.limits.stall_s, share_s)
        return now - self.moved_at > limit_s

    def whole_ms(self) -> float | None:
        """Return the whole run time at this pace; None if unknown."""
        if self.percent <= 0:
            return None
        return (self.moved_at - self.began) * 1000 * 100 / self.percent

    def is_late(self) -> bool:
        """Whether the rest takes far longer than the whole should."""
        whole_ms = self.whole_ms()
        if whole_ms is None:
            return False
        left_ms = whole_ms * (1 - self.percent / 100)
        return left_ms > self.limits.late_factor * self.estimate_ms


class Pace:
    """Run times at a server beside the callers' estimates.

    Parameters
    ----------
    limits : ProgressLimits
    """

    def __init__(self, *, limits: ProgressLimits) -> None:
        self.limits = limits
        self.ratios: deque[float] = deque(maxlen=limits.pace_runs)

    def note(self, run_ms: float, estimate_ms: float) -> None:
        """Take the run time of a task that was done."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        ratio = run_ms / estimate_ms
        bound = self.limits.max_pace
        self.ratios.append(math.log(min(bound, max(1 / bound, ratio))))

    def percent(self) -> int:
        """Return the geometric mean of the last ratios, in percent.

        One run at the estimated time is added, so that a single one does
        not decide.
        """
        mean = sum(self.ratios) / (len(self.ratios) + 1)
        return max(1, round(100 * math.exp(mean)))
