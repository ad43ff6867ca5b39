"""The rounds of a term, and the leases that they prove to the agents.

Without work a leader opens a round only now and then, to notice lost
agents, and the leases lapse. With work it keeps every lease alive, at one
heartbeat and one reply an interval and agent.
"""

from egretcart.connection.messages import Heartbeat
from egretcart.connection.messages import Term
from egretcart.process.effects import LeaderEffect
from egretcart.process.effects import SendToAgent
from egretcart.process.limits import LeaderLimits
from egretcart.process.quorum import Quorum
from egretcart.process.quorum import QuorumMember

# Share of the lease up to which the leader counts on it, so that a start
# that travels does not find it lapsed.
USABLE_SHARE = 0.8
# Share of the lease from which a proof is sent on at once and does not wait
# for the next round.
RENEW_SHARE = 0.55
# Wait for members that do not confirm before another round is opened for
# their sake, in seconds.
ROUND_RETRY_S = 0.25


class Leases:
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
    """

    def __init__(
        self, *, term: Term, quorum: Quorum, limits: LeaderLimits
    ) -> None:
        self.term = term
        self.quorum = quorum
        self.limits = limits
        self.config_version = 0
        self.last_round_at = float("-inf")

    def open_round(self, now: float) -> list[LeaderEffect]:
        """Ask every member to confirm the term."""
        self.last_round_at = now
        round_number = self.quorum.open_round()
        return [
            SendToAgent(member.agent_id, self._heartbeat(member, round_number))
            for member in self.quorum.members.values()
        ]

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

    def pass_on(self, now: float) -> list[LeaderEffect]:
        """Send proofs to the members whose lease is far gone."""
        oldest = now - self.limits.lease_s * RENEW_SHARE
        return [
            SendToAgent(member.agent_id, self._heartbeat(member, 0))
            for member in self.quorum.members.values()
            if member.granted_received < oldest < member.proven_received
        ]

    def renew(self, now: float) -> list[LeaderEffect]:
        """Open the rounds that bring lapsed leases back without delay.

        A stamp is proven by the round after the one that brought it, so a
        leader that was idle needs two.
        """
        oldest = now - self.limits.lease_s * USABLE_SHARE
        lapsed = [
            member
            for agent_id, member in self.quorum.members.items()
            if member.granted_received <= oldest
            and self.quorum.is_counted(agent_id)
        ]
        if not lapsed:
            return []
        if now >= self.last_round_at + ROUND_RETRY_S:
            return self.open_round(now)
        if self.quorum.proven_round < self.quorum.opened_round:
            return []
        provable = any(
            member.pending and member.pending[-1].received > oldest
            for member in lapsed
        )
        return self.open_round(now) if provable else []

    def usable(self, now: float) -> set[str]:
        """Return the agents whose lease is surely still valid."""
        oldest = now - self.limits.lease_s * USABLE_SHARE
        return {
            agent_id
            for agent_id, member in self.quorum.members.items()
            if member.granted_received > oldest
            and self.quorum.is_counted(agent_id)
        }

    def _heartbeat(self, member: QuorumMember, round_number: int) -> Heartbeat:
        member.granted_received = member.proven_received
        roster = self.quorum.roster
        return Heartbeat(
            term=self.term,
            round=round_number,
            proven_stamp_us=member.proven_stamp_us,
            roster=roster if member.roster_version < roster.version else None,
            config_version=self.config_version,
        )
