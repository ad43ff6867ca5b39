"""Progress of runs, and how much slower than estimated a server runs them."""

from collections import OrderedDict
import math

import msgspec


class ProgressLimits(msgspec.Struct, frozen=True, kw_only=True):
    """When a run counts as late.

    Attributes
    ----------
    stall_s : float
        Time without progress after which a run counts as stalled, in
        seconds.
    stall_fraction : float
        Time without progress after which a run counts as stalled, as a
        fraction of the estimated run time, if that is longer than
        `stall_s`: a slow run shows its progress in steps of one percent.
    late_factor : float
        Remaining run time, as a multiple of the estimated run time, above
        which a run is late and its entry decides whether to reschedule it.
    min_sample_s : float
        Shortest time over which a run's slowdown is sampled, in seconds:
        long enough for several percent of a task of one second.
    slowdown_jobs : int
        Number of the last jobs from which the server's slowdown is
        estimated; with estimates wrong by a factor of 1.5 their mean is
        wrong by a factor of 1.1.
    min_percent : float
        Smallest progress, in percent, from which the whole run time is
        extrapolated, as progress is listed in whole percents.
    estimate_doubt : float
        Factor by which a run may be shorter than its estimate and the
        server's slowdown tell: slowdowns are known to within 25 % only.
    max_slowdown : float
        Upper bound of a job's slowdown; the lower bound is its inverse.
    change_jobs : int
        Number of jobs in a row that tell that the server's speed has
        changed.
    change_factor : float
        Factor by which the ratio of each of them differs from that of the
        jobs before: estimates are wrong by two fifths at times.
    """

    stall_s: float = 0.35
    stall_fraction: float = 0.15
    late_factor: float = 1.6
    min_sample_s: float = 0.25
    slowdown_jobs: int = 20
    min_percent: float = 8
    estimate_doubt: float = 1.25
    max_slowdown: float = 20.0
    change_jobs: int = 3
    change_factor: float = 2.0


class RunProgress:
    """The progress of one run.

    Parameters
    ----------
    limits : ProgressLimits
    estimate_ms : float
        The caller's estimate of the run time, in milliseconds.
    started_at : float
        When the run was received, in seconds on the agent's clock; the
        agent sets the attribute again when it starts the run.

    Attributes
    ----------
    percent : float
        Highest progress that the server has listed.
    last_progress_at : float
        When `percent` last rose, in seconds; the start if it never did.
    sampled_percent : float
        Progress at the last sample of the slowdown; 0 before the first.
    sampled_at : float
        Time of that sample, in seconds; the time of receipt before the
        first.
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
        """Record the progress that the server lists."""
        if percent > self.percent:
            self.percent = percent
            self.last_progress_at = now

    def sample_run_time_ms(self) -> float | None:
        """Return the whole run time at the speed since the last sample.

        None if that sample is too recent or there was no progress since.
        """
        interval_s = self.last_progress_at - self.sampled_at
        gained_percent = self.percent - self.sampled_percent
        if interval_s < self.limits.min_sample_s or gained_percent <= 0:
            return None
        self.sampled_at = self.last_progress_at
        self.sampled_percent = self.percent
        return interval_s * 1000 * 100 / gained_percent

    def is_stalled(self, now: float) -> bool:
        """Whether the run is stalled."""
        fraction_limit_s = self.limits.stall_fraction * self.estimate_ms / 1000
        limit_s = max(self.limits.stall_s, fraction_limit_s)
        return now - self.last_progress_at > limit_s

    def whole_ms(self) -> float | None:
        """Return the whole run time at the speed so far; None if unknown."""
        if self.percent < self.limits.min_percent:
            return None
        return (
            (self.last_progress_at - self.started_at)
            * 1000
            * 100
            / self.percent
        )

    def least_remaining_ms(self, now: float) -> float | None:
        """Return the shortest remaining run time at the speed so far.

        Progress is listed in whole percents, so that the run may be almost
        one percent further. None if it has listed too little progress.
        """
        if self.percent < self.limits.min_percent:
            return None
        elapsed_s = self.last_progress_at - self.started_at
        least_whole_s = elapsed_s * 100 / (self.percent + 1)
        return max(0.0, (self.started_at + least_whole_s - now) * 1000)

    def is_late(self) -> bool:
        """Whether the rest takes far longer than the estimated run time."""
        whole_ms = self.whole_ms()
        if whole_ms is None:
            return False
        remaining_ms = whole_ms * (1 - self.percent / 100)
        return remaining_ms > self.limits.late_factor * self.estimate_ms


class SlowdownEstimate:
    """Ratio of run times at a server to the callers' estimates.

    A caller's estimate is wrong for all tasks of its job alike, so each of
    the last jobs counts once, by its newest samples.

    Parameters
    ----------
    limits : ProgressLimits
    prior_percent : int, optional
        The ratio that is expected before there is any sample, in percent.

    Attributes
    ----------
    log_ratios : OrderedDict of str to float
        Logarithm of the ratio for each of the last jobs, by job id.
    """

    def __init__(
        self, *, limits: ProgressLimits, prior_percent: int = 100
    ) -> None:
        self.limits = limits
        self.prior_log_ratio = math.log(prior_percent / 100)
        self.log_ratios: OrderedDict[str, float] = OrderedDict()

    def record(self, job_id: str, run_ms: float, estimate_ms: float) -> None:
        """Record a task's run time, measured or extrapolated."""
        if run_ms <= 0 or estimate_ms <= 0:
            return
        bound = self.limits.max_slowdown
        ratio = min(bound, max(1 / bound, run_ms / estimate_ms))
        log_ratio = math.log(ratio)
        former = self.log_ratios.pop(job_id, log_ratio)
        self.log_ratios[job_id] = (former + log_ratio) / 2
        while len(self.log_ratios) > self.limits.slowdown_jobs:
            self.log_ratios.popitem(last=False)
        self._forget_before_change()

    def _forget_before_change(self) -> None:
        """Drop the jobs from before a change of the server's speed."""
        ratios = list(self.log_ratios.values())
        count = self.limits.change_jobs
        former, recent = ratios[:-count], ratios[-count:]
        if not former:
            return
        mean = sum(former) / len(former)
        change = max(min(recent) - mean, mean - max(recent))
        if change > math.log(self.limits.change_factor):
            for _ in former:
                self.log_ratios.popitem(last=False)

    def percent(self) -> int:
        """Return the geometric mean of the last ratios, in percent.

        One job with the prior ratio is added, so that the result does not
        depend on a single job.
        """
        total = sum(self.log_ratios.values()) + self.prior_log_ratio
        mean = total / (len(self.log_ratios) + 1)
        return max(1, round(100 * math.exp(mean)))
