"""When an attempt that may have run is made again."""

import dataclasses
from typing import Protocol

from egretcart.request.verdict import Verdict
from egretcart.version.document import RetryPolicy

# Pauses of a task that agents refuse again and again, in seconds.
FIRST_REFUSAL_PAUSE_S = 0.02
MAX_REFUSAL_PAUSE_S = 0.5
# Healthy agents that a task fails on, with verdict ran, before it counts
# as a task that fails everywhere.
FAILS_EVERYWHERE_AFTER = 3


class ShareBudget:
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

    def __init__(self, *, share: float, reserve: float) -> None:
        self.share = share
        self.reserve = reserve
        self.saved = reserve
        self.spent = 0

    def earn(self) -> None:
        """Count a success."""
        self.saved = min(self.reserve, self.saved + self.share)

    def spend(self) -> bool:
        """Take one attempt out of the budget, if there is one."""
        if self.saved < 1:
            return False
        self.saved -= 1
        self.spent += 1
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
    ran_on: int
    earliest: float
    expected_s: float
    deadline: float

    @property
    def may_end_in_time(self) -> bool:
        """Whether another try is expected to end before the deadline."""
        return self.earliest + self.expected_s <= self.deadline


class Retries(Protocol):
    """Decides on further attempts."""

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Put a policy in force for a cell of some slots."""

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to try again; a yes is counted."""

    def refusal_pause_s(self, refusals: int) -> float:
        """Return the pause after a task's n-th refusal as not run."""


class BudgetedRetries:
    """Retries by verdict, within a budget and the job's deadline."""

    def __init__(self) -> None:
        self.policy = RetryPolicy()
        self.budget = ShareBudget(share=self.policy.budget_share, reserve=1)

    def configure(self, policy: RetryPolicy, slots: int) -> None:
        """Put a policy in force; the reserve covers one loss of all slots."""
        self.policy = policy
        former = self.budget
        reserve = max(1, slots) if policy.budget_share else 0
        self.budget = ShareBudget(share=policy.budget_share, reserve=reserve)
        self.budget.spent = former.spent
        grown = max(0.0, reserve - former.reserve)
        self.budget.saved = min(reserve, former.saved + grown)

    def succeeded(self) -> None:
        """Count an attempt that succeeded."""
        self.budget.earn()

    def allows(self, failed: FailedAttempt) -> bool:
        """Return whether to try again; a yes is counted."""
        if not failed.idempotent:
            return False
        if failed.attempts >= self.policy.max_attempts:
            return False
        if failed.ran_on >= FAILS_EVERYWHERE_AFTER:
            return False
        if not failed.may_end_in_time:
            return False
        return self.budget.spend()

    def refusal_pause_s(self, refusals: int) -> float:
        """Return the pause after a task's n-th refusal as not run."""
        if refusals <= 1:
            return 0.0
        pause_s = FIRST_REFUSAL_PAUSE_S * 2.0 ** min(refusals - 2, 10)
        return min(MAX_REFUSAL_PAUSE_S, pause_s)
