"""The rounds of a term, and the leases that they prove to the agents.

Without work a leader opens a round only now and then, to notice lost
agents, and the leases lapse. With work it keeps every lease alive, at one
heartbeat and one reply an interval and agent, or with what rides on starts
and results.
"""

from collections.abc import Iterable
import dataclasses

from egretcart.connection.messages import Heartbeat
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult
from egretcart.connection.messages import Term
from egretcart.process.cell.effects import LeaderEffect
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.quorum import QuorumMember

# Share of the lease up to which the leader counts on it, so that a start
# that travels does not find it lapsed.
USABLE_LEASE_FRACTION = 0.8
# Share of the lease from which a proof is sent on at once and does not wait
# for the next round.
RENEWAL_LEASE_FRACTION = 0.7
# Wait for members that do not confirm before another round is opened for
# their sake, in seconds.
ROUND_RETRY_DELAY_S = 0.25
# Time that a round may take to travel on starts and results before it is
# sent by heartbeats to those who have not confirmed it.
PIGGYBACK_TIMEOUT_S = 0.4
# Share of the members that must have had a start since the last round for the
# next one to ride.
MIN_PIGGYBACK_FRACTION = 0.5


class LeaseManager:
    """Opens rounds and passes proofs on.

    Parameters
    ----------
    term : Term
    quorum : Quorum
    limits : LeaderLimits

    Attributes
    ----------
    config_version : int
        Told to the agents in every heartbeat.
    last_round_at : float
        Monotonic time of the newest round.
    last_heartbeats_at : float
        Monotonic time of the newest round that was sent to every member by
        a heartbeat.
    ride_ends_at : float
        Monotonic time at which the newest round is sent to those who have
        not confirmed it; infinite if it was sent to every member.
    started_ids : set of str
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
        """Ask every member to confirm the term."""
        self.last_round_at = now
        self.last_heartbeats_at = now
        self.piggyback_ends_at = float("inf")
        self.started_agent_ids.clear()
        round_number = self.quorum.open_round()
        return [
            SendToAgent(member.agent_id, self._heartbeat(member, round_number))
            for member in self.quorum.members.values()
        ]

    # Rounds that ride on starts.

    def open_piggybacked_round(self, now: float) -> list[LeaderEffect]:
        """Open a round that starts carry, and results confirm, for a while.

        It is sent by heartbeats if few starts go out, and now and then all
        the same, as only their replies tell how the agents are.
        """
        needed = MIN_PIGGYBACK_FRACTION * len(self.quorum.members)
        heartbeats_at = (
            self.last_heartbeats_at + self.limits.idle_heartbeat_interval_s
        )
        if now >= heartbeats_at or len(self.started_agent_ids) < needed:
            return self.open_round(now)
        self.started_agent_ids.clear()
        self.last_round_at = now
        self.piggyback_ends_at = now + PIGGYBACK_TIMEOUT_S
        self.quorum.open_round()
        return []

    def tick(self, now: float) -> list[LeaderEffect]:
        """Send by heartbeats what has not found a start to ride on."""
        if self.last_round_at == self.last_heartbeats_at:
            return []
        effects = self.send_proofs(now)
        if now >= self.piggyback_ends_at:
            effects += self.flush_piggybacked_round()
        return effects

    def flush_piggybacked_round(self) -> list[LeaderEffect]:
        """Send the riding round to the members that have not confirmed it."""
        if self.piggyback_ends_at == float("inf"):
            return []
        self.piggyback_ends_at = float("inf")
        round_number = self.quorum.opened_round
        return [
            SendToAgent(member.agent_id, self._heartbeat(member, round_number))
            for member in self.quorum.members.values()
            if member.confirmed_round < round_number
        ]

    def piggyback(self, effects: Iterable[LeaderEffect]) -> list[LeaderEffect]:
        """Let the riding round and new proofs travel on starts."""
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
        # An agent of an earlier release overlooks what rides on a start.
        if (
            member.supports_piggyback
            and member.granted_stamp_received_at
            < member.proven_stamp_received_at
        ):
            proven_stamp_us = member.proven_stamp_us
            member.granted_stamp_received_at = member.proven_stamp_received_at
        if not round_number and not proven_stamp_us:
            return effect
        start = dataclasses.replace(
            effect.message,
            round=round_number,
            proven_stamp_us=proven_stamp_us,
        )
        return SendToAgent(effect.agent_id, start)

    def _round_to_piggyback(self, member: QuorumMember) -> int:
        """Return the riding round if a member should get it, else 0."""
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
        """Take in the confirmation that came with a result, if any."""
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
            Monotonic time.
        has_work : bool
            Whether any job is open or any change of members under way.

        Returns
        -------
        bool
        """
        interval_s = self.limits.idle_heartbeat_interval_s
        if has_work:
            interval_s = self.limits.heartbeat_interval_s
        return now >= self.last_round_at + interval_s

    def send_proofs(self, now: float) -> list[LeaderEffect]:
        """Send proofs to the members whose lease is far gone."""
        oldest = now - self.limits.lease_s * RENEWAL_LEASE_FRACTION
        return [
            SendToAgent(member.agent_id, self._heartbeat(member, 0))
            for member in self.quorum.members.values()
            if member.granted_stamp_received_at
            < oldest
            < member.proven_stamp_received_at
        ]

    def renew_expired(self, now: float) -> list[LeaderEffect]:
        """Open the rounds that bring lapsed leases back without delay.

        A stamp is proven by the round after the one that brought it, so a
        leader that was idle needs two.
        """
        oldest = now - self.limits.lease_s * USABLE_LEASE_FRACTION
        lapsed = [
            member
            for agent_id, member in self.quorum.members.items()
            if member.granted_stamp_received_at <= oldest
            and self.quorum.is_counted(agent_id)
        ]
        if not lapsed:
            return []
        if self.piggyback_ends_at < float("inf"):
            return self.flush_piggybacked_round()
        if now >= self.last_round_at + ROUND_RETRY_DELAY_S:
            return self.open_round(now)
        if self.quorum.proven_round < self.quorum.opened_round:
            return []
        provable = any(
            member.pending_stamps
            and member.pending_stamps[-1].received_at > oldest
            for member in lapsed
        )
        return self.open_round(now) if provable else []

    def leased_agents(self, now: float) -> set[str]:
        """Return the agents whose lease is surely still valid."""
        oldest = now - self.limits.lease_s * USABLE_LEASE_FRACTION
        return {
            agent_id
            for agent_id, member in self.quorum.members.items()
            if member.granted_stamp_received_at > oldest
            and self.quorum.is_counted(agent_id)
        }

    def _heartbeat(self, member: QuorumMember, round_number: int) -> Heartbeat:
        member.granted_stamp_received_at = member.proven_stamp_received_at
        roster = self.quorum.roster
        return Heartbeat(
            term=self.term,
            round=round_number,
            proven_stamp_us=member.proven_stamp_us,
            roster=roster if member.roster_version < roster.version else None,
            config_version=self.config_version,
        )
