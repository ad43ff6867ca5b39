"""Replies that say "not run", held until the leader's term is confirmed."""

import dataclasses

from egretcart.process.agent.leases import LeaseManager
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import RequestToken
from egretcart.process.cell.effects import SendReply
from egretcart.process.clock import Clock

# Least time between two rounds that are opened for held replies, in seconds.
CONFIRM_INTERVAL_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class HeldReply:
    """A reply with the verdict "not run" that waits for a confirmation.

    Attributes
    ----------
    effect : SendReply
    round_number : int
        First round whose confirmation releases the reply.
    held_since : float
        Monotonic time, in seconds, since which the reply is held.
    """

    effect: SendReply
    round_number: int
    held_since: float


class HeldReplies:
    """Holds the replies that only a leader of a confirmed term may send.

    Only a majority that confirms the term, in a round opened after the reply
    was made, shows that no later leader had begun the job.

    Parameters
    ----------
    leases : LeaseManager
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
        """Hold replies that say "not run" and return the other effects.

        The returned effects include the round that the held replies need,
        if it can be opened now.
        """
        now = self.clock.monotonic()
        other_effects: list[LeaderEffect] = []
        for effect in effects:
            if isinstance(effect, SendReply) and effect.reply.not_run:
                first_round = self.quorum.opened_round + 1
                self.waiting.append(HeldReply(effect, first_round, now))
            else:
                other_effects.append(effect)
        return other_effects + self._open_confirming_round(now)

    def release(self) -> list[LeaderEffect]:
        """Return the replies whose round is confirmed, and remove them."""
        proven = self.quorum.proven_round
        released = [h for h in self.waiting if h.round_number <= proven]
        self.waiting = [h for h in self.waiting if h.round_number > proven]
        return [held.effect for held in released]

    def is_overdue(self, now: float, limit_s: float) -> bool:
        """Return whether the oldest reply was held for `limit_s` or longer."""
        return (
            bool(self.waiting) and now >= self.waiting[0].held_since + limit_s
        )

    def end(self) -> list[RequestToken]:
        """Discard all replies and return the tokens of their requests."""
        tokens = [held.effect.token for held in self.waiting]
        self.waiting = []
        return tokens

    def _open_confirming_round(self, now: float) -> list[LeaderEffect]:
        """Open the round that the newest reply needs, unless it is open."""
        if not self.waiting:
            return []
        if self.waiting[-1].round_number <= self.quorum.opened_round:
            return []
        if now < self.leases.last_round_at + CONFIRM_INTERVAL_S:
            return []
        return self.leases.open_round(now)
