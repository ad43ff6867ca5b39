"""Crash scores of tasks, as entries tell them to each other. Free of I/O.

A caller whose entry dies asks another one, which must not try a task anew
under which backend servers have crashed.

A task that is given up explains the crashes that count in full against it:
they no longer count against the other runs that ended with those servers.
"""

from collections import OrderedDict
import dataclasses

from egretcart.direct.policy.crashes import crashes_servers
from egretcart.direct.policy.crashes import CrashLimits
from egretcart.direct.policy.crashes import RECENT_WEIGHT
from egretcart.direct.request.job import TaskKey


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskCrashes:
    """The crashes of backend servers under one task.

    Attributes
    ----------
    job_id : str
    step, index : int
        Number of the step in its job, and of the task in its step.
    route : str
        Name of the route by which the job was accepted.
    crashes : tuple of str
        Names of the crashes; the same for all runs that one has ended.
    weights : tuple of int
        What each of them counts against the task, see
        `egretcart.direct.policy.crashes`.
    """

    job_id: str = ""
    step: int = 0
    index: int = 0
    route: str = ""
    crashes: tuple[str, ...] = ()
    weights: tuple[int, ...] = ()

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)

    def with_crash(self, crash: str, weight: int) -> "TaskCrashes":
        """Return the same with one more crash."""
        if crash in self.crashes:
            return self
        return dataclasses.replace(
            self,
            crashes=(*self.crashes, crash),
            weights=(*self.weights, weight),
        )


class CrashScores:
    """Crashes under tasks lately, and which tasks are given up for them.

    Parameters
    ----------
    limits : CrashLimits
    retention_s : float
        Time after its last crash for which a task is remembered, in
        seconds: longer than any caller continues to submit its job again.

    Attributes
    ----------
    known : OrderedDict of TaskKey to (TaskCrashes, float)
        Crashes under each task, and when the last one was recorded; the
        oldest first.
    explained : OrderedDict of str to (TaskKey, float)
        Task that was given up for each crash, and when; the oldest first.
    unreported : dict of TaskKey to TaskCrashes
        Tasks of this entry whose last crash was not reported to others yet.
    """

    def __init__(self, *, limits: CrashLimits, retention_s: float) -> None:
        self.limits = limits
        self.retention_s = retention_s
        self.known: OrderedDict[TaskKey, tuple[TaskCrashes, float]] = (
            OrderedDict()
        )
        self.explained: OrderedDict[str, tuple[TaskKey, float]] = OrderedDict()
        self.unreported: dict[TaskKey, TaskCrashes] = {}

    def record(
        self, key: TaskKey, route: str, crash: str, weight: int, now: float
    ) -> None:
        """Record a crash under a task of this entry."""
        known = self.known.get(key)
        former = (
            known[0]
            if known is not None
            else TaskCrashes(
                job_id=key.job_id, step=key.step, index=key.index, route=route
            )
        )
        self._remember(former.with_crash(crash, weight), now)
        self.unreported[key] = self.known[key][0]

    def learn(self, reported: TaskCrashes, now: float) -> None:
        """Remember what another entry has reported, if it is more."""
        known = self.known.get(reported.key)
        if known is None or len(reported.crashes) > len(known[0].crashes):
            self._remember(reported, now)

    def _remember(self, task: TaskCrashes, now: float) -> None:
        self.known.pop(task.key, None)
        self.known[task.key] = (task, now)
        if not self.is_given_up(task.key):
            return
        for crash, weight in zip(task.crashes, task.weights, strict=False):
            if weight >= RECENT_WEIGHT:
                self.explained.setdefault(crash, (task.key, now))

    def score_of(self, key: TaskKey) -> int:
        """Return what the crashes under a task that no other explains count.

        0 if none is known.
        """
        known = self.known.get(key)
        if known is None:
            return 0
        return sum(
            weight
            for crash, weight in zip(
                known[0].crashes, known[0].weights, strict=False
            )
            if self.explained.get(crash, (key, 0.0))[0] == key
        )

    def is_given_up(self, key: TaskKey) -> bool:
        """Whether a task is given up, as it crashes its servers."""
        known = self.known.get(key)
        return known is not None and crashes_servers(
            self.score_of(key), len(known[0].crashes), self.limits
        )

    def all_tasks(self) -> tuple[TaskCrashes, ...]:
        """Return all tasks under which crashes are known."""
        return tuple(task for task, _ in self.known.values())

    def pop_unreported(self) -> tuple[TaskCrashes, ...]:
        """Return what was not yet reported, and clear it."""
        unreported = tuple(self.unreported.values())
        self.unreported.clear()
        return unreported

    def remove_expired(self, now: float) -> None:
        """Forget what is older than the retention time."""
        oldest = now - self.retention_s
        while self.known and next(iter(self.known.values()))[1] < oldest:
            self.known.popitem(last=False)
        while (
            self.explained and next(iter(self.explained.values()))[1] < oldest
        ):
            self.explained.popitem(last=False)
