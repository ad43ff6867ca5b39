"""Retries: whether and when a task is tried again after a failed attempt."""

import dataclasses
from typing import Protocol

from egretcart.request.verdict import Verdict
from egretcart.version.document import RetryPolicy

# Bounds of the pause of a task that agents refuse repeatedly, in seconds; the
# pause doubles with each refusal after the second.
INITIAL_REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 0.5
# A task that has failed with the verdict `RAN` on this many healthy agents is
# expected to fail on every agent and is not retried.
MAX_FAILED_AGENTS = 3


class TokenBudget:
    """Limits extra attempts to a share of the attempts that succeeded.

    Parameters
    ----------
    share : float
        Tokens that each success credits.
    max_tokens : float
        Tokens available before the first success, and the most that can
        be saved.

    Attributes
    ----------
    tokens : float
        Tokens available now; an extra attempt consumes one.
    consumed : int
        Number of extra attempts made so far.
    """

    def __init__(self, *, share: float, max_tokens: float) -> None:
        self.share = share
        self.max_tokens = max_tokens
        self.tokens = max_tokens
        self.consumed = 0

    def credit(self) -> None:
        """Credit a success."""
        self.tokens = min(self.max_tokens, self.tokens + self.share)

    def try_consume(self) -> bool:
        """Consume one token; return whether there was one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.consumed += 1
        return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailedAttempt:
    """A failed attempt at a task, with what decides on a retry.

    Attributes
    ----------
    verdict : Verdict
    idempotent : bool
        Whether the job is idempotent.
    attempts : int
        Number of attempts that may have run, including this one.
    failed_agent_count : int
        Number of healthy agents on which the task has failed; 0 unless the
        verdict of this attempt is `RAN`.
    earliest_at : float
        Monotonic time, in seconds, before which a retry may not start.
    expected_run_s : float
        Expected run time of a retry, in seconds.
    deadline : float
        Monotonic time of the job's deadline, in seconds.
    """

    verdict: Verdict
    idempotent: bool
    attempts: int
    failed_agent_count: int
    earliest_at: float
    expected_run_s: float
    deadline: float

    @property
    def can_meet_deadline(self) -> bool:
        """Whether a retry is expected to end before the deadline."""
        return self.earliest_at + self.expected_run_s <= self.deadline


class Retries(Protocol):
    """Decides whether failed attempts are retried."""

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Apply a policy to a cell with a number of slots."""

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to retry; if so, consume a token of the budget."""

    def refusal_backoff_s(self, refusals: int) -> float:
        """Return the pause of a task that agents refuse, in seconds."""


class BudgetedRetries:
    """Retries idempotent work within a budget and the job's deadline.

    Attributes
    ----------
    policy : RetryPolicy
    budget : TokenBudget
        Credited by successes; each retry consumes one token.
    """

    def __init__(self) -> None:
        self.policy = RetryPolicy()
        self.budget = TokenBudget(share=self.policy.budget_share, max_tokens=1)

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Apply a policy to a cell with a number of slots.

        The budget saves at most one token per slot, which covers one loss
        of the attempts on all slots, and none if its share is 0.
        """
        self.policy = policy
        former_budget = self.budget
        max_tokens = max(1, slots) if policy.budget_share else 0
        self.budget = TokenBudget(
            share=policy.budget_share, max_tokens=max_tokens
        )
        self.budget.consumed = former_budget.consumed
        added_tokens = max(0.0, max_tokens - former_budget.max_tokens)
        self.budget.tokens = min(
            max_tokens, former_budget.tokens + added_tokens
        )

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""
        self.budget.credit()

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to retry; if so, consume a token of the budget."""
        if not failed.idempotent:
            return False
        if failed.attempts >= self.policy.max_attempts:
            return False
        if failed.failed_agent_count >= MAX_FAILED_AGENTS:
            return False
        if not failed.can_meet_deadline:
            return False
        return self.budget.try_consume()

    def refusal_backoff_s(self, refusals: int) -> float:
        """Return the pause of a task that agents refuse, in seconds.

        Parameters
        ----------
        refusals : int
            Number of consecutive refusals of the task, the latest included.

        Returns
        -------
        float
            0 after the first refusal.
        """
        if refusals <= 1:
            return 0.0
        pause_s = INITIAL_REFUSAL_BACKOFF_S * 2.0 ** min(refusals - 2, 10)
        return min(MAX_REFUSAL_BACKOFF_S, pause_s)
