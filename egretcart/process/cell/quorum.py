"""Which agents count for a term, and which stamps a majority has proven.

The lease rule: an agent's stamp is proven once a majority of the roster
has confirmed the term in a round that was opened after the stamp arrived.
Any later leader's majority shares a member with that majority, and that
member promised the later term after the stamp was taken; so whatever the
agent starts within the lease after the stamp ends at most one lease after
the later leader's majority.
"""

import dataclasses

from egretcart.connection.messages import Roster


def majority_of(size: int) -> int:
    """Return how many members make a majority.

    Parameters
    ----------
    size : int
        Members of the roster.

    Returns
    -------
    int
    """
    return size // 2 + 1


def confirmations_needed(size: int) -> int:
    """Return how many other members must vouch for a joining member.

    That many others share a member with every majority, even when the
    joining member had been part of it and has forgotten its promise, and
    when the other leader's roster differs by one member.

    Parameters
    ----------
    size : int
        Members of the roster, with the joining one.

    Returns
    -------
    int
    """
    return size - majority_of(size + 1) + 2


@dataclasses.dataclass(frozen=True, slots=True)
class PendingStamp:
    """A stamp, and the first round that can prove it.

    Attributes
    ----------
    provable_from_round : int
    stamp_us : int
        The agent's clock.
    received : float
        The leader's monotonic clock when the stamp arrived.
    """

    provable_from_round: int
    stamp_us: int
    received_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class QuorumMember:
    """What the leader knows of one agent that promised its term.

    Attributes
    ----------
    agent_id : str
    incarnation : int
    counted : bool
        Whether the member counts towards majorities.
    promised_at : float
        The leader's monotonic clock when it learnt of the promise.
    vouched_from_round : int
        First round whose confirmations by others vouch for the member.
    confirmed_round : int
        Newest round that the member has confirmed.
    roster_version : int
        Newest roster that the member has confirmed to know.
    pending : list of PendingStamp
    proven_stamp_us : int
        Newest stamp that a majority has proven.
    proven_received : float
        The leader's monotonic clock when that stamp arrived.
    granted_received : float
        The leader's monotonic clock when the newest stamp arrived that the
        member was told to be proven.
    asked_round : int
        Newest round that travelled to the member on a start.
    confirms_by_results : bool
        Whether the member has confirmed a round that came with a start.
    """

    agent_id: str
    incarnation: int
    counted: bool
    promised_at: float
    confirmable_from_round: int = 0
    confirmed_round: int = 0
    roster_version: int = 0
    pending_stamps: list[PendingStamp] = dataclasses.field(
        default_factory=list
    )
    proven_stamp_us: int = 0
    proven_stamp_received_at: float = float("-inf")
    granted_stamp_received_at: float = float("-inf")
    requested_round: int = 0
    supports_piggyback: bool = False


class Quorum:
    """Counts promises and confirmations for one term.

    Parameters
    ----------
    roster : Roster
        The newest known roster of the cell.

    Attributes
    ----------
    members : dict of str to QuorumMember
        Connected agents that promised the term.
    opened_round : int
        Newest round that was opened.
    proven_round : int
        Newest round that a majority has confirmed.
    recorded_ids : frozenset of str
        Members of the newest roster that a majority has recorded. Only
        they are given starts: any later leader learns of them.
    """

    def __init__(self, *, roster: Roster) -> None:
        self.roster = roster
        self.members: dict[str, QuorumMember] = {}
        self.opened_round = 0
        self.proven_round = 0
        self.recorded_ids: frozenset[str] = frozenset()

    @property
    def roster(self) -> Roster:
        """The newest known roster of the cell."""
        return self._roster

    @roster.setter
    def roster(self, roster: Roster) -> None:
        self._roster = roster
        # Asked for with every confirmation, so not worked out each time.
        self.agent_ids = roster.agent_ids

    @property
    def size(self) -> int:
        """Members of the roster."""
        return len(self.roster.members)

    def has_majority(self) -> bool:
        """Return whether counted members make a majority."""
        return self.size > 0 and self._counted() >= majority_of(self.size)

    def is_complete(self) -> bool:
        """Return whether every member of the roster is counted."""
        return self.size > 0 and self._counted() == self.size

    def restarted(self) -> list[QuorumMember]:
        """Return members that have forgotten what the roster's did."""
        incarnations = {
            member.agent_id: member.incarnation
            for member in self.roster.members
        }
        return [
            member
            for member in self._counting()
            if member.incarnation != incarnations[member.agent_id]
        ]

    def has_unrestarted_majority(self) -> bool:
        """Return whether a majority has not forgotten newer rosters.

        A newer roster was recorded by a majority of its members. All but
        one of them are in this roster, and one of them is in each of its
        majorities. So if a majority remembers, none has recorded a newer
        roster than those that they report. Who was restarted may have.
        """
        remembering = self._counted() - len(self.restarted())
        return self.size > 0 and remembering >= majority_of(self.size)

    def has_unconfirmed_member(self) -> bool:
        """Return whether a member of the roster waits to be counted."""
        return any(
            not member.counted and member.agent_id in self.agent_ids
            for member in self.members.values()
        )

    def add_fenced(
        self,
        agent_id: str,
        *,
        incarnation: int,
        stamp_us: int,
        now: float,
    ) -> None:
        """Add a member that promised the term during the takeover."""
        member = QuorumMember(
            agent_id=agent_id,
            incarnation=incarnation,
            counted=True,
            promised_at=now,
        )
        self.members[agent_id] = member
        self._add_stamp(member, stamp_us, now)

    def add_joining(
        self,
        agent_id: str,
        *,
        incarnation: int,
        stamp_us: int,
        now: float,
    ) -> None:
        """Add a member that promised the term after the takeover.

        It counts once enough others have confirmed the term in a round
        that is opened from now on.
        """
        member = QuorumMember(
            agent_id=agent_id,
            incarnation=incarnation,
            counted=False,
            promised_at=now,
            confirmable_from_round=self.opened_round + 1,
        )
        self.members[agent_id] = member
        self._add_stamp(member, stamp_us, now)

    def remove(self, agent_id: str) -> None:
        """Remove a member whose connection is lost."""
        self.members.pop(agent_id, None)

    def open_round(self) -> int:
        """Open a round and return its number."""
        self.opened_round += 1
        return self.opened_round

    def confirm(
        self,
        agent_id: str,
        *,
        round_number: int,
        stamp_us: int,
        roster_version: int,
        now: float,
    ) -> None:
        """Record that a member confirmed the term in a round."""
        member = self.members.get(agent_id)
        if member is None or round_number > self.opened_round:
            return
        member.confirmed_round = max(member.confirmed_round, round_number)
        member.roster_version = max(member.roster_version, roster_version)
        self._add_stamp(member, stamp_us, now)
        self._count_confirmed_members()
        self._update_proven_round()
        if self.is_roster_recorded():
            self.recorded_ids = self.agent_ids

    def is_roster_recorded(self) -> bool:
        """Return whether a majority has confirmed the newest roster."""
        version = self.roster.version
        recorded = sum(
            member.roster_version >= version for member in self._counting()
        )
        return recorded >= majority_of(self.size)

    def is_counted(self, agent_id: str) -> bool:
        """Return whether an agent may be given starts."""
        member = self.members.get(agent_id)
        return (
            member is not None
            and member.counted
            and agent_id in self.agent_ids
            and agent_id in self.recorded_ids
        )

    def _counting(self) -> list[QuorumMember]:
        agent_ids = self.agent_ids
        return [
            member
            for member in self.members.values()
            if member.counted and member.agent_id in agent_ids
        ]

    def _counted(self) -> int:
        return len(self._counting())

    def _add_stamp(
        self, member: QuorumMember, stamp_us: int, now: float
    ) -> None:
        pending_stamps = PendingStamp(self.opened_round + 1, stamp_us, now)
        if (
            member.pending_stamps
            and member.pending_stamps[-1].provable_from_round
            == pending_stamps.provable_from_round
        ):
            member.pending_stamps[-1] = pending_stamps
        else:
            member.pending_stamps.append(pending_stamps)

    def _count_confirmed_members(self) -> None:
        needed = confirmations_needed(self.size)
        for member in self.members.values():
            if member.counted or member.agent_id not in (self.agent_ids):
                continue
            witnesses = sum(
                other.confirmed_round >= member.confirmable_from_round
                for other in self._counting()
            )
            if witnesses >= needed:
                member.counted = True

    def _update_proven_round(self) -> None:
        rounds = sorted(
            (member.confirmed_round for member in self._counting()),
            reverse=True,
        )
        needed = majority_of(self.size)
        if len(rounds) < needed:
            return
        self.proven_round = max(self.proven_round, rounds[needed - 1])
        for member in self._counting():
            self._prove_stamps(member)

    def _prove_stamps(self, member: QuorumMember) -> None:
        while (
            member.pending_stamps
            and member.pending_stamps[0].provable_from_round
            <= self.proven_round
        ):
            stamp = member.pending_stamps.pop(0)
            if stamp.stamp_us > member.proven_stamp_us:
                member.proven_stamp_us = stamp.stamp_us
                member.proven_stamp_received_at = stamp.received_at
