"""An entry's own lag: how late it handles its input. Free of I/O.

This handles load that lasts for seconds: more requests than the entry's
processor can carry. Its loop then takes long turns, and every request waits
unread for a turn, as do the results of its tasks and its answer. A job that
can't be on time for that alone is refused at once while the entry is behind,
so that the others are on time. An entry that stays behind tells the balancer
that it is not ready. Without lag nothing is refused here.
"""

import dataclasses
import math
import random


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnLoadLimits:
    """When an entry counts as behind, and what it then does.

    Attributes
    ----------
    smoothing_s : float
        Time constant over which the lag is smoothed, in seconds.
    slack_weight : float
        Weight of a new job in the mean slack of jobs.
    turns_to_answer : float
        Turns of the loop, in the mean, that a job waits for after its
        admission: for its last result to be read and for its answer.
    max_slack_share : float
        Share of the time that a job can wait and be on time, up to which
        the lag may take it while the entry is behind.
    caught_up_share : float
        Share of the lag from which the entry is behind, below which it is
        not behind any more; well below `max_slack_share`, which bounds the
        lag while the load lasts.
    not_ready_after_s : float
        Time, in seconds, for which the entry is behind before it is not
        ready: the balancer takes about that long to notice it.
    ready_after_s : float
        Time, in seconds, for which the entry has caught up before it is
        ready again. It is doubled each time that the entry falls behind
        within `relapse_s` of that.
    max_ready_after_s : float
        Upper bound of that time, in seconds.
    relapse_s : float
        See `ready_after_s`, in seconds.
    min_retry_s, max_retry_s : float
        Bounds of the time after which a refused caller may retry, in
        seconds.
    retry_spread : float
        Share of that time by which it is prolonged at most, at random, so
        that refused callers do not come back together.
    """

    smoothing_s: float = 0.3
    slack_weight: float = 0.05
    turns_to_answer: float = 1.5
    max_slack_share: float = 0.7
    caught_up_share: float = 0.2
    not_ready_after_s: float = 2.0
    ready_after_s: float = 2.0
    max_ready_after_s: float = 16.0
    relapse_s: float = 10.0
    min_retry_s: float = 1.0
    max_retry_s: float = 10.0
    retry_spread: float = 1.0


class OwnLoad:
    """Measures the lag of an entry and decides by it.

    Parameters
    ----------
    limits : OwnLoadLimits
    source : random.Random
        Random source of the times after which to retry.

    Attributes
    ----------
    lag_s : float
        Smoothed time that input waits before it is handled, in seconds.
    slack_s : float
        Mean time, in seconds, that recent jobs can wait and be on time;
        infinite before the first job.
    is_behind : bool
        Whether the usual job would be late for the lag alone.
    changed_at : float
        When `is_behind` has changed; minus infinity at first.
    is_ready : bool
        Whether callers should be sent here, as far as the lag goes.
    """

    def __init__(
        self, *, limits: OwnLoadLimits, source: random.Random
    ) -> None:
        self.limits = limits
        self.source = source
        self.lag_s = 0.0
        self.slack_s = math.inf
        self.is_behind = False
        self.changed_at = -math.inf
        self.is_ready = True
        self._turn_began_at: float | None = None
        self._unread_s = 0.0
        self._wait_began_at: float | None = None
        self._wait_due_at = 0.0
        self._ready_at = -math.inf
        self._ready_after_s = limits.ready_after_s

    # Turns of the loop.

    def end_turn(self, now: float, timeout_s: float) -> None:
        """Record that a turn of the loop has ended.

        Parameters
        ----------
        now : float
        timeout_s : float
            How long the loop waits for input at most, in seconds; 0 if it
            has more to do.
        """
        self._unread_s = 0.0
        if self._turn_began_at is not None:
            self._unread_s = now - self._turn_began_at
            self._smooth(self._unread_s, self._unread_s)
        self._wait_began_at = now
        self._wait_due_at = now + timeout_s

    def begin_turn(self, now: float) -> None:
        """Record that the loop has got its input and begins a turn.

        A turn counts from the moment at which it was due.
        """
        self._turn_began_at = now
        if self._wait_began_at is None:
            return
        self._turn_began_at = min(now, self._wait_due_at)
        idle_s = self._turn_began_at - self._wait_began_at
        if idle_s > 0:
            self._unread_s = 0.0
            self._smooth(0.0, idle_s)

    def _smooth(self, lag_s: float, duration_s: float) -> None:
        """Count a lag that input has met for a time."""
        kept = math.exp(-duration_s / self.limits.smoothing_s)
        self.lag_s = kept * self.lag_s + (1 - kept) * lag_s

    def lag_age_s(self, now: float) -> float:
        """Return the time since `lag_s` was updated, in seconds."""
        if self._turn_began_at is None:
            return 0.0
        return now - self._turn_began_at

    def request_age_s(self, now: float) -> float:
        """Return how long a request that is handled now has waited.

        It came before this turn and, unless the loop was idle, during the
        turn before; its half is the mean.
        """
        return self.lag_age_s(now) + self._unread_s / 2

    # Decisions.

    def retry_after_s(
        self, *, objective_s: float, useful_s: float, run_s: float, now: float
    ) -> float | None:
        """Return when to retry a job; None if it is admitted now.

        While the entry is behind, a job is refused if it can't be on time
        for the lag; else only if its answer would be of no use.

        Parameters
        ----------
        objective_s : float
            Latency objective of the job, in seconds.
        useful_s : float
            Time in which an answer is of use, in seconds.
        run_s : float
            Expected run time of the job, in seconds.
        now : float
        """
        self._record_slack(objective_s - run_s)
        lag_s = (
            self.request_age_s(now) + self.limits.turns_to_answer * self.lag_s
        )
        allowed_s = useful_s - run_s
        if self.is_behind:
            allowed_s = self.limits.max_slack_share * (objective_s - run_s)
        if lag_s <= allowed_s:
            return None
        return self._expected_end_s(now)

    def _record_slack(self, slack_s: float) -> None:
        if self.slack_s == math.inf:
            self.slack_s = slack_s
        self.slack_s += self.limits.slack_weight * (slack_s - self.slack_s)

    def _expected_end_s(self, now: float) -> float:
        """Return in how many seconds the load is expected to end.

        It is expected to last for as long as it has lasted already.
        """
        lasted_s = now - self.changed_at if self.is_behind else 0.0
        retry_s = max(self.limits.min_retry_s, lasted_s)
        spread = self.limits.retry_spread * self.source.random()
        return min(self.limits.max_retry_s, retry_s * (1 + spread))

    # State.

    def update(self, now: float) -> bool:
        """Update the state; return whether it has changed."""
        former = (self.is_behind, self.is_ready)
        self._update_behind(now)
        self._update_ready(now)
        return former != (self.is_behind, self.is_ready)

    def _update_behind(self, now: float) -> None:
        job_lag_s = (0.5 + self.limits.turns_to_answer) * self.lag_s
        bound_s = self.slack_s
        if self.is_behind:
            bound_s *= self.limits.caught_up_share
        if self.is_behind != (job_lag_s > bound_s):
            self.is_behind = not self.is_behind
            self.changed_at = now

    def _update_ready(self, now: float) -> None:
        lasted_s = now - self.changed_at
        if not self.is_ready:
            if not self.is_behind and lasted_s >= self._ready_after_s:
                self.is_ready = True
                self._ready_at = now
        elif self.is_behind and lasted_s >= self.limits.not_ready_after_s:
            self.is_ready = False
            relapsed = now - self._ready_at < self.limits.relapse_s
            self._ready_after_s = (
                min(self.limits.max_ready_after_s, 2 * self._ready_after_s)
                if relapsed
                else self.limits.ready_after_s
            )
