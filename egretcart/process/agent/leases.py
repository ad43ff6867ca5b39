"""Leader's renewal of the leases of its cell's agents.

In a round the leader asks every member of the cell to confirm its term. A
confirmation contains a stamp, which is a reading of the agent's clock. Once a
stamp is proven (see `egretcart.process.cell.quorum`), the leader sends it back
to the agent as a proof, and the agent counts its lease from it.

Without work a leader opens a round only once per idle interval, to detect
lost agents, and the leases expire. With work it keeps every lease valid. This
costs one heartbeat and one reply per interval and agent, unless rounds and
proofs are piggybacked on starts and confirmations on results.
"""

from collections.abc import Iterable

import msgspec

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import Start
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.quorum import QuorumMember

# Fraction of the lease during which the leader sends starts under it. The
# rest is a margin, so that the lease has not expired when a start arrives.
USABLE_LEASE_FRACTION = 0.8
# Fraction of the lease after which a new proof is sent at once instead of with
# the next round.
RENEWAL_LEASE_FRACTION = 0.7
# Wait for confirmations of a round before another one is opened for members
# whose lease has expired, in seconds.
ROUND_RETRY_DELAY_S = 0.25
# Time during which a round is piggybacked on starts, in seconds. After it, the
# round is sent by heartbeats to the members that have not confirmed it.
PIGGYBACK_TIMEOUT_S = 0.4
# Fraction of the members that must have been sent a start since the last round
# for the next round to be piggybacked.
MIN_PIGGYBACK_FRACTION = 0.5


class LeaseManager:
    """Opens the rounds of a term and sends proofs to the agents.

    Parameters
    ----------
    term : Term
        Term that the agents are asked to confirm.
    quorum : Quorum
        Members of the cell, with their confirmations and stamps.
    limits : LeaderLimits

    Attributes
    ----------
    config_version : int
        Version of the active configuration, sent in every heartbeat; 0 if
        there is none yet.
    last_round_at : float
        Monotonic time of the newest round, in seconds; negative infinity
        before the first one.
    last_heartbeats_at : float
        Monotonic time of the newest round that was sent to every member by
        a heartbeat, in seconds; negative infinity before the first one.
    piggyback_ends_at : float
        Monotonic time, in seconds, at which the newest round is sent by
        heartbeats to the members that have not confirmed it; infinite if
        heartbeats with it were sent already.
    started_agent_ids : set of str
        Agents that were sent a start since the newest round was opened.
    """

    def __init__(
        self, *, term: Term, quorum: Quorum, limits: LeaderLimits
    ) -> None:
        self.term = term
        self.quorum = quorum
        self.limits = limits
        self.config_version = 0
        self.last_round_at = float("-inf")
        self.last_heartbeats_at = float("-inf")
        self.piggyback_ends_at = float("inf")
        self.started_agent_ids: set[str] = set()

    def open_round(self, now: float) -> list[LeaderEffect]:
        """Ask every member by a heartbeat to confirm the term."""
        self.last_round_at = now
        self.last_heartbeats_at = now
        self.piggyback_ends_at = float("inf")
        self.started_agent_ids.clear()
        round_number = self.quorum.open_round()
        return [
            SendToAgent(
                member.agent_id, self._build_heartbeat(member, round_number)
            )
            for member in self.quorum.members.values()
        ]

    # Rounds that are piggybacked on starts.

    def open_piggybacked_round(self, now: float) -> list[LeaderEffect]:
        """Open a round that is piggybacked on starts and results at first.

        Starts carry the round and results confirm it. It is sent by
        heartbeats if too few agents were sent starts, and in any case once
        per idle interval, as only heartbeat replies report the state of the
        agents.
        """
        min_started = MIN_PIGGYBACK_FRACTION * len(self.quorum.members)
        next_heartbeats_at = (
            self.last_heartbeats_at + self.limits.idle_heartbeat_interval_s
        )
        if (
            now >= next_heartbeats_at
            or len(self.started_agent_ids) < min_started
        ):
            return self.open_round(now)
        self.started_agent_ids.clear()
        self.last_round_at = now
        self.piggyback_ends_at = now + PIGGYBACK_TIMEOUT_S
        self.quorum.open_round()
        return []

    def tick(self, now: float) -> list[LeaderEffect]:
        """Send by heartbeats what was not piggybacked on a start in time."""
        # The newest round was sent to every member by a heartbeat.
        if self.last_round_at == self.last_heartbeats_at:
            return []
        effects = self.send_proofs(now)
        if now >= self.piggyback_ends_at:
            effects += self.flush_piggybacked_round()
        return effects

    def flush_piggybacked_round(self) -> list[LeaderEffect]:
        """Send heartbeats to the members that have not confirmed the round.

        Does nothing unless the newest round is piggybacked.
        """
        if self.piggyback_ends_at == float("inf"):
            return []
        self.piggyback_ends_at = float("inf")
        round_number = self.quorum.opened_round
        return [
            SendToAgent(
                member.agent_id, self._build_heartbeat(member, round_number)
            )
            for member in self.quorum.members.values()
            if member.confirmed_round < round_number
        ]

    def piggyback(self, effects: Iterable[LeaderEffect]) -> list[LeaderEffect]:
        """Add the piggybacked round and new proofs to the starts.

        Effects other than starts are returned unchanged.
        """
        return [self._piggyback(effect) for effect in effects]

    def _piggyback(self, effect: LeaderEffect) -> LeaderEffect:
        if not isinstance(effect, SendToAgent):
            return effect
        if not isinstance(effect.message, Start):
            return effect
        member = self.quorum.members.get(effect.agent_id)
        if member is None:
            return effect
        self.started_agent_ids.add(effect.agent_id)
        round_number = self._round_to_piggyback(member)
        proven_stamp_us = 0
        # Agents of an earlier release ignore proofs in starts, so they get
        # them by heartbeats only.
        if (
            member.supports_piggyback
            and member.granted_stamp_received_at
            < member.proven_stamp_received_at
        ):
            proven_stamp_us = member.proven_stamp_us
            member.granted_stamp_received_at = member.proven_stamp_received_at
        if not round_number and not proven_stamp_us:
            return effect
        start = msgspec.structs.replace(
            effect.message,
            round=round_number,
            proven_stamp_us=proven_stamp_us,
        )
        return SendToAgent(effect.agent_id, start)

    def _round_to_piggyback(self, member: QuorumMember) -> int:
        """Return the piggybacked round to add to a start, else 0.

        It is added to one start per member, unless the member has confirmed
        it already.
        """
        round_number = self.quorum.opened_round
        if (
            self.piggyback_ends_at == float("inf")
            or member.requested_round == round_number
            or member.confirmed_round >= round_number
        ):
            return 0
        member.requested_round = round_number
        return round_number

    def handle_result_confirmation(
        self, agent_id: str, result: TaskResult, now: float
    ) -> list[LeaderEffect]:
        """Record the confirmation that came with a result, if any."""
        member = self.quorum.members.get(agent_id)
        if member is None or not result.round or result.term != self.term:
            return []
        member.supports_piggyback = True
        self.quorum.confirm(
            agent_id,
            round_number=result.round,
            stamp_us=result.stamp_us,
            roster_version=member.roster_version,
            now=now,
        )
        return self.send_proofs(now)

    # When rounds are due.

    def is_round_due(self, now: float, *, has_work: bool) -> bool:
        """Return whether the next periodic round should be opened.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        has_work : bool
            Whether any job is unfinished or any change of members is under
            way.

        Returns
        -------
        bool
        """
        interval_s = self.limits.idle_heartbeat_interval_s
        if has_work:
            interval_s = self.limits.heartbeat_interval_s
        return now >= self.last_round_at + interval_s

    def send_proofs(self, now: float) -> list[LeaderEffect]:
        """Send proofs to the members whose lease is due for renewal.

        Members without a newer proof than the last one sent are left out.
        """
        renewed_before = now - self.limits.lease_s * RENEWAL_LEASE_FRACTION
        return [
            SendToAgent(member.agent_id, self._build_heartbeat(member, 0))
            for member in self.quorum.members.values()
            if member.granted_stamp_received_at
            < renewed_before
            < member.proven_stamp_received_at
        ]

    def renew_expired(self, now: float) -> list[LeaderEffect]:
        """Open the rounds that renew expired leases without delay.

        A stamp is proven by the round after the one whose confirmation
        contained it, so a leader that was idle needs two rounds. A
        piggybacked round is sent by heartbeats first. A new round is opened
        if the newest one is older than `ROUND_RETRY_DELAY_S`, or if a
        majority has confirmed the newest one and the new one can prove a
        recent stamp.
        """
        usable_after = now - self.limits.lease_s * USABLE_LEASE_FRACTION
        expired = [
            member
            for agent_id, member in self.quorum.members.items()
            if member.granted_stamp_received_at <= usable_after
            and self.quorum.is_counted(agent_id)
        ]
        if not expired:
            return []
        if self.piggyback_ends_at < float("inf"):
            return self.flush_piggybacked_round()
        if now >= self.last_round_at + ROUND_RETRY_DELAY_S:
            return self.open_round(now)
        if self.quorum.proven_round < self.quorum.opened_round:
            return []
        provable = any(
            member.pending_stamps
            and member.pending_stamps[-1].received_at > usable_after
            for member in expired
        )
        return self.open_round(now) if provable else []

    def leased_agents(self, now: float) -> set[str]:
        """Return the agents whose lease will be valid for a start sent now."""
        usable_after = now - self.limits.lease_s * USABLE_LEASE_FRACTION
        return {
            agent_id
            for agent_id, member in self.quorum.members.items()
            if member.granted_stamp_received_at > usable_after
            and self.quorum.is_counted(agent_id)
        }

    def _build_heartbeat(
        self, member: QuorumMember, round_number: int
    ) -> Heartbeat:
        """Return a heartbeat and record that its proof was sent.

        Round number 0 asks for no confirmation.
        """
        member.granted_stamp_received_at = member.proven_stamp_received_at
        roster = self.quorum.roster
        return Heartbeat(
            term=self.term,
            round=round_number,
            proven_stamp_us=member.proven_stamp_us,
            roster=roster if member.roster_version < roster.version else None,
            config_version=self.config_version,
        )
