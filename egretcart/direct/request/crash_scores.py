"""Crash scores of tasks, as entries tell them to each other. Free of I/O.

A caller whose entry dies asks another one, which must not try a task anew
under which backend servers have crashed.
"""

from collections import OrderedDict

import msgspec

from egretcart.direct.request.bounds import Amount
from egretcart.direct.request.bounds import Name
from egretcart.direct.request.job import TaskKey


class CrashScore(msgspec.Struct, frozen=True, kw_only=True):
    """What crashes of backend servers count against a task.

    Attributes
    ----------
    job_id : str
    step, index : int
        Number of the step in its job, and of the task in its step.
    score : int
        Sum of the weights of all crashes under the task, see
        `egretcart.direct.policy.crashes`.
    route : str
        Name of the route by which the job was accepted.
    """

    job_id: Name = ""
    step: Amount = 0
    index: Amount = 0
    score: Amount = 0
    route: Name = ""

    @property
    def key(self) -> TaskKey:
        """The task."""
        return TaskKey(self.job_id, self.step, self.index)


class CrashScores:
    """Crash scores of the tasks that were under crashes lately.

    Parameters
    ----------
    retention_s : float
        Time after its last crash for which a score is remembered, in
        seconds: longer than any caller continues to submit its job again.

    Attributes
    ----------
    known : OrderedDict of TaskKey to (CrashScore, float)
        Scores and when each has risen last, the oldest first.
    unreported : dict of TaskKey to CrashScore
        Scores that this entry has raised and not reported to others yet.
    """

    def __init__(self, *, retention_s: float) -> None:
        self.retention_s = retention_s
        self.known: OrderedDict[TaskKey, tuple[CrashScore, float]] = (
            OrderedDict()
        )
        self.unreported: dict[TaskKey, CrashScore] = {}

    def raise_score(
        self, key: TaskKey, weight: int, route: str, now: float
    ) -> int:
        """Add the weight of a crash under a task; return the new score."""
        score = CrashScore(
            job_id=key.job_id,
            step=key.step,
            index=key.index,
            score=self.score_of(key) + weight,
            route=route,
        )
        self._remember(score, now)
        self.unreported[key] = score
        return score.score

    def learn(self, score: CrashScore, now: float) -> None:
        """Remember what another entry has reported, if it is higher."""
        if score.score > self.score_of(score.key):
            self._remember(score, now)

    def _remember(self, score: CrashScore, now: float) -> None:
        self.known.pop(score.key, None)
        self.known[score.key] = (score, now)

    def score_of(self, key: TaskKey) -> int:
        """Return the score of a task; 0 if no crash under it is known."""
        known = self.known.get(key)
        return known[0].score if known is not None else 0

    def all_scores(self) -> tuple[CrashScore, ...]:
        """Return all scores that are known."""
        return tuple(score for score, _ in self.known.values())

    def pop_unreported(self) -> tuple[CrashScore, ...]:
        """Return the scores that were not yet reported, and clear them."""
        unreported = tuple(self.unreported.values())
        self.unreported.clear()
        return unreported

    def remove_expired(self, now: float) -> None:
        """Forget the scores that are older than the retention time."""
        oldest = now - self.retention_s
        while self.known and next(iter(self.known.values()))[1] < oldest:
            self.known.popitem(last=False)
