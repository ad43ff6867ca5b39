"""Confirmations of a leader's term by its cell, and leases that they prove.

In a round the leader asks all agents that promised its term to confirm it;
rounds are numbered from 1. A member is counted if it may be a part of a
majority. A stamp is a reading of an agent's clock that the agent sends to the
leader. The lease rule: a stamp is proven once a majority of the roster has
confirmed the term in a round that was opened after the stamp arrived. The
majority of any later leader shares a member with that majority, and this
member promised the later term after the stamp was taken. So whatever the
agent starts within its lease, which is counted from the stamp, is started
at most one lease after the later leader had its majority.
"""

import dataclasses

from egretcart.connection.cell_types import Roster


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
    """Return how many others must confirm the term for a joining member.

    So many others share a member with every majority of another leader,
    even if the joining member had been part of that majority and has lost
    its promise in a restart, and even if the other leader's roster differs
    by one member.

    Parameters
    ----------
    size : int
        Members of the roster, including the joining one.

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
        First round opened after the stamp arrived.
    stamp_us : int
        The agent's monotonic clock, in microseconds.
    received_at : float
        The leader's monotonic time, in seconds, when the stamp arrived.
    """

    provable_from_round: int
    stamp_us: int
    received_at: float


@dataclasses.dataclass(kw_only=True, slots=True)
class QuorumMember:
    """State of one agent that promised the leader's term.

    Attributes
    ----------
    agent_id : str
    incarnation : int
    counted : bool
        Whether the member counts towards majorities. One that joins after
        the takeover does so only once others have confirmed the term.
    promised_at : float
        The leader's monotonic time, in seconds, when the promise arrived.
    confirmable_from_round : int
        First round whose confirmations by others let a joining member
        count; 0 for a member that promised during the takeover.
    confirmed_round : int
        Newest round that the member has confirmed; 0 if none.
    roster_version : int
        Newest roster version that the member has confirmed to have
        recorded; 0 if none.
    pending_stamps : list of PendingStamp
        Stamps that are not proven yet, oldest first.
    proven_stamp_us : int
        Newest stamp that a majority has proven, in microseconds of the
        agent's clock; 0 if none.
    proven_stamp_received_at : float
        The leader's monotonic time, in seconds, when the proven stamp
        arrived; minus infinity if none was proven.
    granted_stamp_received_at : float
        The leader's monotonic time, in seconds, when the newest proven stamp
        that was sent to the member had arrived. Sending it grants the member
        a lease; minus infinity if none was sent.
    requested_round : int
        Newest round that was piggybacked on a start to the member; 0 if
        none.
    supports_piggyback : bool
        Whether the member has confirmed a round that was piggybacked on a
        start.
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
    """Tracks promises and confirmations of one term.

    Parameters
    ----------
    roster : Roster
        The newest known roster of the cell.

    Attributes
    ----------
    members : dict of str to QuorumMember
        Connected agents that promised the term.
    opened_round : int
        Newest round that was opened; 0 if none.
    proven_round : int
        Newest round that a majority has confirmed; 0 if none.
    recorded_ids : frozenset of str
        Members of the newest roster that a majority has recorded. Starts
        are sent only to them, because any later leader is sure to receive
        this roster.
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
        # Stored because every confirmation needs it.
        self.agent_ids = roster.agent_ids

    @property
    def size(self) -> int:
        """Number of members of the roster."""
        return len(self.roster.members)

    def has_majority(self) -> bool:
        """Return whether counted members make a majority."""
        return self.size > 0 and self._counted_total() >= majority_of(
            self.size
        )

    def is_complete(self) -> bool:
        """Return whether every member of the roster is counted."""
        return self.size > 0 and self._counted_total() == self.size

    def restarted(self) -> list[QuorumMember]:
        """Return the counted members that have restarted.

        Their incarnation differs from the one in the roster and has lost
        what the former one knew.
        """
        incarnations = {
            member.agent_id: member.incarnation
            for member in self.roster.members
        }
        return [
            member
            for member in self._counted_members()
            if member.incarnation != incarnations[member.agent_id]
        ]

    def has_unrestarted_majority(self) -> bool:
        """Return whether a majority of the roster has not restarted.

        If so, there is no newer roster than those that its members report.
        A newer roster would have been recorded by a majority of its own
        members. All but one of these are in this roster, and each majority
        of this roster contains one of them. A restarted member may have
        recorded a newer roster and lost it.
        """
        unrestarted = self._counted_total() - len(self.restarted())
        return self.size > 0 and unrestarted >= majority_of(self.size)

    def has_unconfirmed_member(self) -> bool:
        """Return whether a connected member of the roster is not counted."""
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

        It counts once enough other members have confirmed the term in a
        round that is opened from now on.
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
            member.roster_version >= version
            for member in self._counted_members()
        )
        return recorded >= majority_of(self.size)

    def is_counted(self, agent_id: str) -> bool:
        """Return whether starts may be sent to an agent.

        The agent must count towards majorities, and both the newest roster
        and the newest recorded one must contain it.
        """
        member = self.members.get(agent_id)
        return (
            member is not None
            and member.counted
            and agent_id in self.agent_ids
            and agent_id in self.recorded_ids
        )

    def _counted_members(self) -> list[QuorumMember]:
        agent_ids = self.agent_ids
        return [
            member
            for member in self.members.values()
            if member.counted and member.agent_id in agent_ids
        ]

    def _counted_total(self) -> int:
        return len(self._counted_members())

    def _add_stamp(
        self, member: QuorumMember, stamp_us: int, now: float
    ) -> None:
        pending_stamp = PendingStamp(self.opened_round + 1, stamp_us, now)
        if (
            member.pending_stamps
            and member.pending_stamps[-1].provable_from_round
            == pending_stamp.provable_from_round
        ):
            member.pending_stamps[-1] = pending_stamp
        else:
            member.pending_stamps.append(pending_stamp)

    def _count_confirmed_members(self) -> None:
        needed = confirmations_needed(self.size)
        for member in self.members.values():
            if member.counted or member.agent_id not in (self.agent_ids):
                continue
            confirmations = sum(
                other.confirmed_round >= member.confirmable_from_round
                for other in self._counted_members()
            )
            if confirmations >= needed:
                member.counted = True

    def _update_proven_round(self) -> None:
        confirmed_rounds = sorted(
            (member.confirmed_round for member in self._counted_members()),
            reverse=True,
        )
        needed = majority_of(self.size)
        if len(confirmed_rounds) < needed:
            return
        self.proven_round = max(
            self.proven_round, confirmed_rounds[needed - 1]
        )
        for member in self._counted_members():
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
