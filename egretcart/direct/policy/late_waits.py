"""Waits of jobs that can't be on time any more. Free of I/O.

This handles overload that lasts for seconds: tasks that can be on time take
all capacity that comes free, and a job that has not begun by then waits in
vain. Its caller is told as soon as that is nearly certain.
"""

from collections import deque
import dataclasses

from egretcart.direct.request.job import TaskKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LateWaitLimits:
    """When a late job that has not begun counts as one that never will.

    Attributes
    ----------
    window_s : float
        Time over which starts are counted, in seconds: shorter than a burst.
    min_observed_s : float
        Time for which tasks must have waited within it, in seconds; the
        starts of a shorter time say little.
    wait_doubt : float
        Factor by which an expected wait may be too long. A refused caller
        loses an answer that is late but of use, so only waits that are too
        long even then count.
    max_gap_s : float
        Time between two observations, in seconds, after which the earlier
        ones do not count: the process was stalled.
    retry_spread : float
        Most that is added at random to the time after which to retry,
        relative to it, so that callers that are refused together don't
        return together.
    """

    window_s: float = 1.0
    min_observed_s: float = 0.2
    wait_doubt: float = 2.0
    max_gap_s: float = 0.2
    retry_spread: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskStart:
    """A task that was sent to an agent with free capacity for it.

    Attributes
    ----------
    at : float
    is_late : bool
        Whether its job could not be on time any more, and went last.
    """

    at: float
    is_late: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaitObservation:
    """Whether tasks have waited since the observation before.

    Attributes
    ----------
    at : float
    duration_s : float
        Time since the observation before, in seconds.
    tasks_wait : bool
        Whether any task waits.
    late_tasks_wait : bool
        Whether a task of a late job waits.
    """

    at: float
    duration_s: float
    tasks_wait: bool
    late_tasks_wait: bool


class StartRates:
    """Measures how quickly waiting tasks of an entry begin.

    Only times in which tasks have waited count, as otherwise few starts are
    no sign of scarce capacity.

    Parameters
    ----------
    limits : LateWaitLimits

    Attributes
    ----------
    starts : dict of (TaskKey, int) to TaskStart
        Starts within the window by task and run, in the order of their times.
    observations : deque of WaitObservation
        Those within the window, in the order of their times.
    observed_at : float or None
        Time of the last observation; None if there is none that counts.
    """

    def __init__(self, *, limits: LateWaitLimits) -> None:
        self.limits = limits
        self.starts: dict[tuple[TaskKey, int], TaskStart] = {}
        self.observations: deque[WaitObservation] = deque()
        self.observed_at: float | None = None

    def clear(self) -> None:
        """Forget what was observed, as it says nothing about the future."""
        self.starts.clear()
        self.observations.clear()
        self.observed_at = None

    def record_start(
        self, key: TaskKey, run: int, *, is_late: bool, now: float
    ) -> None:
        """Record that a task was sent to free capacity."""
        self.starts[key, run] = TaskStart(at=now, is_late=is_late)

    def record_not_run(self, key: TaskKey, run: int) -> None:
        """Record that a task has come back without having begun."""
        self.starts.pop((key, run), None)

    def observe(
        self, *, tasks_wait: bool, late_tasks_wait: bool, now: float
    ) -> None:
        """Record whether tasks wait; called at each tick."""
        before = self.observed_at
        if before is not None and now - before > self.limits.max_gap_s:
            self.clear()
            before = None
        self.observed_at = now
        if before is not None:
            self.observations.append(
                WaitObservation(
                    at=now,
                    duration_s=now - before,
                    tasks_wait=tasks_wait,
                    late_tasks_wait=late_tasks_wait,
                )
            )
        begin = now - self.limits.window_s
        while self.observations and self.observations[0].at <= begin:
            self.observations.popleft()
        for key, start in list(self.starts.items()):
            if start.at > begin:
                break
            del self.starts[key]

    @property
    def late_observed_s(self) -> float:
        """Time within the window in which late tasks waited, in seconds."""
        return sum(
            one.duration_s for one in self.observations if one.late_tasks_wait
        )

    def late_wait_s(self, tasks_ahead: int) -> float | None:
        """Return how long the next late task waits; None if not known.

        Parameters
        ----------
        tasks_ahead : int
            Tasks of late jobs that go before it.

        Returns
        -------
        float or None
            In seconds. A start that is just about to come is counted, so a
            time without any start is no endless wait.
        """
        starts = sum(start.is_late for start in self.starts.values())
        return self._wait_s(tasks_ahead, starts, self.late_observed_s)

    def wait_s(self, tasks_ahead: int) -> float | None:
        """Return how long the next task waits, by all starts, in seconds."""
        observed_s = sum(
            one.duration_s for one in self.observations if one.tasks_wait
        )
        return self._wait_s(tasks_ahead, len(self.starts), observed_s)

    def _wait_s(
        self, tasks_ahead: int, starts: int, observed_s: float
    ) -> float | None:
        if observed_s < self.limits.min_observed_s:
            return None
        return (tasks_ahead + 1) * observed_s / (starts + 1)

    def is_hopeless(self, tasks_ahead: int, time_left_s: float) -> bool:
        """Whether a late job will almost certainly not begin in time.

        Nothing is said of a time that is longer than what was observed, as
        the overload may end within it.

        Parameters
        ----------
        tasks_ahead : int
            Tasks of late jobs that go before it.
        time_left_s : float
            Time until it has to begin, in seconds.
        """
        wait_s = self.late_wait_s(tasks_ahead)
        return (
            wait_s is not None
            and time_left_s <= self.late_observed_s
            and wait_s > self.limits.wait_doubt * time_left_s
        )
