"""How far runs have come, and how fast a backend server is."""

from collections import OrderedDict
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
    pace_jobs : int
        Last jobs from which the server's pace is learned; with estimates
        wrong by a factor of 1.5 their mean is wrong by one of 1.1.
    min_percent : float
        Progress from which a run's whole time is told: it is listed in
        whole percents.
    max_pace : float
        Bound of the pace.
    """

    stall_s: float = 0.35
    stall_share: float = 0.15
    late_factor: float = 1.6
    sample_s: float = 0.25
    slowdown_jobs: int = 20
    min_percent: float = 8
    max_slowdown: float = 20.0


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
        self, *, limits: ProgressLimits, estimate_ms: float, started_at: float
    ) -> None:
        self.limits = limits
        self.estimate_ms = estimate_ms
        self.started_at = started_at
        self.percent = 0.0
        self.last_progress_at = started_at
        self.sampled_percent = 0.0
        self.sampled_at = started_at

    def record(self, percent: float, now: float) -> None:
        """Take the progress that the server lists."""
        if percent > self.percent:
            self.percent = percent
            self.last_progress_at = now

    def sample_run_time_ms(self) -> float | None:
        """Return a whole run time at the pace since the last sample.

        None if that is too short ago, or nothing has moved.
        """
        passed_s = self.last_progress_at - self.sampled_at
        gained_percent = self.percent - self.sampled_percent
        if passed_s < self.limits.sample_s or gained_percent <= 0:
            return None
        self.sampled_at = self.last_progress_at
        self.sampled_percent = self.percent
        return passed_s * 1000 * 100 / gained_percent

    def is_stalled(self, now: float) -> bool:
        """Whether the run stands still."""
        share_s = self.limits.stall_share * self.estimate_ms / 1000
        limit_s = max(self.limits.stall_s, share_s)
        return now - self.last_progress_at > limit_s

    def whole_ms(self) -> float | None:
        """Return the whole run time at this pace; None if unknown."""
        if self.percent < self.limits.min_percent:
            return None
        return (
            (self.last_progress_at - self.started_at)
            * 1000
            * 100
            / self.percent
        )

    def is_late(self) -> bool:
        """Whether the rest takes far longer than the whole should."""
        whole_ms = self.whole_ms()
        if whole_ms is None:
            return False
        left_ms = whole_ms * (1 - self.percent / 100)
        return left_ms > self.limits.late_factor * self.estimate_ms


class SlowdownEstimate:
    """Run times at a server beside the callers' estimates.

    A caller's estimate is wrong for all tasks of its job alike, so each of
    the last jobs counts once, by its newest samples.

    Parameters
    ----------
    limits : ProgressLimits
    """

    def __init__(self, *, limits: ProgressLimits) -> None:
        self.limits = limits
        self.log_ratios: OrderedDict[str, float] = OrderedDict()

    def record(self, job_id: str, run_ms: float, estimate_ms: float) -> None:
        """Take the run time of a task, as it is or as it will be."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        bound = self.limits.max_slowdown
        ratio = min(bound, max(1 / bound, run_ms / estimate_ms))
        newest = math.log(ratio)
        former = self.log_ratios.pop(job_id, newest)
        self.log_ratios[job_id] = (former + newest) / 2
        while len(self.log_ratios) > self.limits.slowdown_jobs:
            self.log_ratios.popitem(last=False)

    def percent(self) -> int:
        """Return the geometric mean of the last ratios, in percent.

        One job at the estimated time is added, so that a single one does
        not decide.
        """
        mean = sum(self.log_ratios.values()) / (len(self.log_ratios) + 1)
        return max(1, round(100 * math.exp(mean)))
