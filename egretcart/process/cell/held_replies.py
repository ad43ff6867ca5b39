"""Replies that say not run, held until the term is confirmed."""

import dataclasses

from egretcart.process.agent.leases import LeaseManager
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.clock import Clock

# Shortest time between two rounds that replies wait for, in seconds.
CONFIRM_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReply:
    """A reply that says not run, until the term is confirmed.

    Attributes
    ----------
    effect : SendReply
    round_number : int
        First round whose confirmation releases the reply.
    since : float
        Monotonic time from which it waits.
    """

    effect: SendReply
    round_number: int
    since: float


class HeldReplies:
    """Holds back the replies that only an unfenced leader may give.

    A later leader may have begun the job unless a majority confirms the
    term in a round that is opened after the reply was made.

    Parameters
    ----------
    leases : Leases
    clock : Clock

    Attributes
    ----------
    waiting : list of HeldReply
        In the order in which they were made.
    """

    def __init__(self, *, leases: LeaseManager, clock: Clock) -> None:
        self.leases = leases
        self.quorum = leases.quorum
        self.clock = clock
        self.waiting: list[HeldReply] = []

    def hold_unconfirmed(
        self, effects: list[LeaderEffect]
    ) -> list[LeaderEffect]:
        """Keep back what says not run and return the other effects."""
        now = self.clock.monotonic()
        passed: list[LeaderEffect] = []
        for effect in effects:
            if isinstance(effect, SendReply) and effect.reply.not_run:
                first = self.quorum.opened_round + 1
                self.waiting.append(HeldReply(effect, first, now))
            else:
                passed.append(effect)
        return passed + self._confirm(now)

    def release(self) -> list[LeaderEffect]:
        """Return the replies that a proven round releases."""
        proven = self.quorum.proven_round
        released = [h for h in self.waiting if h.round_number <= proven]
        self.waiting = [h for h in self.waiting if h.round_number > proven]
        return [held.effect for held in released]

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Return whether the oldest reply has waited for too long."""
        return bool(self.waiting) and now >= self.waiting[0].since + limit_s

    def end(self) -> list[RequestToken]:
        """Drop all replies and return whose they were."""
        tokens = [held.effect.token for held in self.waiting]
        self.waiting = []
        return tokens

    def _confirm(self, now: float) -> list[LeaderEffect]:
        """Open the round that the newest replies wait for."""
        if not self.waiting:
            return []
        if self.waiting[-1].round_number <= self.quorum.opened_round:
            return []
        if now < self.leases.last_round_at + CONFIRM_INTERVAL_S:
            return []
        return self.leases.open_round(now)
