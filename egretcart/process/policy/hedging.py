"""Hedging: when a straggler gets a second attempt on another agent."""

import heapq
from typing import Protocol

from egretcart.process.cell.agent_load import TaskKey
from egretcart.process.policy.retries import TokenBudget
from egretcart.version.document import HedgePolicy

MS_PER_S = 1000
# Hedges that are allowed before successes have credited any to the budget, and
# the most that the budget can save.
INITIAL_HEDGE_TOKENS = 4

# Monotonic time from which an attempt is a straggler, its task and its number.
WatchedAttempt = tuple[float, TaskKey, int]


class Hedging(Protocol):
    """Decides on second attempts at stragglers."""

    def configure(self, policy: HedgePolicy) -> None:
        """Apply a policy from now on."""

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""

    def watch(
        self, key: TaskKey, attempt: int, *, expected_ms: float, now: float
    ) -> None:
        """Watch an attempt that may be hedged."""

    def has_due(self, now: float) -> bool:
        """Return whether `pop_due` would return any attempts."""

    def pop_due(self, now: float) -> list[tuple[TaskKey, int]]:
        """Remove and return the watched attempts that are stragglers now."""

    def try_consume(self) -> bool:
        """Consume one hedge of the budget; return whether there was one."""


class BudgetedHedging:
    """Hedges attempts that exceed a multiple of the expected run time.

    Attributes
    ----------
    policy : HedgePolicy
    budget : TokenBudget
        Limits the hedges; empty and not refilled if the policy's share is 0.
    watched : list of WatchedAttempt
        Heap of the attempts that may be hedged, by the time from which each
        is a straggler.
    """

    def __init__(self) -> None:
        self.policy = HedgePolicy()
        self.budget = TokenBudget(
            share=self.policy.budget_share, max_tokens=INITIAL_HEDGE_TOKENS
        )
        self.watched: list[WatchedAttempt] = []

    def configure(self, policy: HedgePolicy) -> None:
        """Apply a policy from now on."""
        self.policy = policy
        self.budget.share = policy.budget_share
        if not policy.budget_share:
            self.budget.tokens = 0.0

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""
        self.budget.credit()

    def watch(
        self, key: TaskKey, attempt: int, *, expected_ms: float, now: float
    ) -> None:
        """Watch an attempt that may be hedged.

        Parameters
        ----------
        key : TaskKey
        attempt : int
            Number of the attempt at the task.
        expected_ms : float
            Expected run time on its agent, in milliseconds.
        now : float
            Monotonic time in seconds.
        """
        after_s = self.policy.after_factor * expected_ms / MS_PER_S
        heapq.heappush(self.watched, (now + after_s, key, attempt))

    def has_due(self, now: float) -> bool:
        """Return whether `pop_due` would return any attempts."""
        return bool(self.watched) and self.watched[0][0] <= now

    def pop_due(self, now: float) -> list[tuple[TaskKey, int]]:
        """Remove and return the watched attempts that are stragglers now."""
        stragglers: list[tuple[TaskKey, int]] = []
        while self.watched and self.watched[0][0] <= now:
            _, key, attempt = heapq.heappop(self.watched)
            stragglers.append((key, attempt))
        return stragglers

    def try_consume(self) -> bool:
        """Consume one hedge of the budget; return whether there was one."""
        return self.budget.try_consume()
