"""When an attempt that may have run is made again."""

import dataclasses
from typing import Protocol

from egretcart.request.verdict import Verdict
from egretcart.version.document import RetryPolicy

# Pauses of a task that agents refuse again and again, in seconds.
INITIAL_REFUSAL_BACKOFF_S = 0.02
MAX_REFUSAL_BACKOFF_S = 0.5
# Healthy agents that a task fails on, with verdict ran, before it counts
# as a task that fails everywhere.
MAX_FAILED_AGENTS = 3


class TokenBudget:
    """Extra attempts as a share of the attempts that succeeded.

    Parameters
    ----------
    share : float
        What each success adds.
    reserve : float
        What may be spent before the first success, and the most saved.

    Attributes
    ----------
    saved : float
    spent : int
    """

    def __init__(self, *, share: float, max_tokens: float) -> None:
        self.share = share
        self.max_tokens = max_tokens
        self.tokens = max_tokens
        self.consumed = 0

    def credit(self) -> None:
        """Count a success."""
        self.tokens = min(self.max_tokens, self.tokens + self.share)

    def try_consume(self) -> bool:
        """Take one attempt out of the budget, if there is one."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        self.consumed += 1
        return True


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FailedAttempt:
    """What decides on another try.

    Attributes
    ----------
    verdict : Verdict
    idempotent : bool
    attempts : int
        Attempts that may have run, this one included.
    ran_on : int
        Healthy agents on which the task has failed with verdict ran.
    earliest : float
        Monotonic time before which another try may not start.
    expected_s : float
        Expected run time of another try.
    deadline : float
        Monotonic time of the job's deadline.
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
        """Whether another try is expected to end before the deadline."""
        return self.earliest_at + self.expected_run_s <= self.deadline


class Retries(Protocol):
    """Decides on further attempts."""

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Put a policy in force for a cell of some slots."""

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to try again; a yes is counted."""

    def refusal_backoff_s(self, refusals: int) -> float:
        """Return the pause after a task's n-th refusal as not run."""


class BudgetedRetries:
    """Retries by verdict, within a budget and the job's deadline."""

    def __init__(self) -> None:
        self.policy = RetryPolicy()
        self.budget = TokenBudget(share=self.policy.budget_share, max_tokens=1)

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Put a policy in force; the reserve covers one loss of all slots."""
        self.policy = policy
        former = self.budget
        max_tokens = max(1, slots) if policy.budget_share else 0
        self.budget = TokenBudget(
            share=policy.budget_share, max_tokens=max_tokens
        )
        self.budget.consumed = former.consumed
        grown = max(0.0, max_tokens - former.max_tokens)
        self.budget.tokens = min(max_tokens, former.tokens + grown)

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""
        self.budget.credit()

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to try again; a yes is counted."""
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
        """Return the pause after a task's n-th refusal as not run."""
        if refusals <= 1:
            return 0.0
        pause_s = INITIAL_REFUSAL_BACKOFF_S * 2.0 ** min(refusals - 2, 10)
        return min(MAX_REFUSAL_BACKOFF_S, pause_s)
