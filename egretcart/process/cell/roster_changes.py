"""Changes of a cell's roster: the next one that its leader writes."""

import msgspec

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.process.cell.agent_load import AgentLoad
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.cell.quorum import Quorum
from egretcart.process.clock import Clock

MS_PER_S = 1000


class RosterChanges:
    """Determines roster changes; each adds, renews or removes one member.

    Parameters
    ----------
    quorum : Quorum
    agents : dict of str to AgentHello
        Connected agents.
    loads : dict of str to AgentLoad
        Agents that promised the term.
    limits : LeaderLimits
    clock : Clock

    Attributes
    ----------
    absent_since : dict of str to float
        Monotonic time, in seconds, at which each absent agent was lost, by
        agent id.
    """

    def __init__(
        self,
        *,
        quorum: Quorum,
        agents: dict[str, AgentHello],
        loads: dict[str, AgentLoad],
        limits: LeaderLimits,
        clock: Clock,
    ) -> None:
        self.quorum = quorum
        self.agents = agents
        self.loads = loads
        self.limits = limits
        self.clock = clock
        self.absent_since: dict[str, float] = {}

    def record_absent_members(self, now: float) -> None:
        """Record the members that did not promise the term as absent."""
        for member in self.quorum.roster.members:
            if member.agent_id not in self.quorum.members:
                self.absent_since.setdefault(member.agent_id, now)

    def next_roster(self, now: float) -> Roster | None:
        """Return the roster after the next change, or None for no change."""
        return (
            self._roster_with_joined()
            or self.renewed_roster()
            or self._roster_without_lost(now)
        )

    def renewed_roster(self) -> Roster | None:
        """Return the roster with one restarted member's new incarnation.

        Returns
        -------
        Roster or None
            None if no counted member has restarted since the roster was
            written.
        """
        roster = self.quorum.roster
        restarted = self.quorum.restarted()
        if not restarted:
            return None
        renewed = RosterMember(
            agent_id=restarted[0].agent_id,
            incarnation=restarted[0].incarnation,
        )
        return msgspec.structs.replace(
            roster,
            version=roster.version + 1,
            members=tuple(
                renewed if m.agent_id == renewed.agent_id else m
                for m in roster.members
            ),
            lost_before_ms=max(
                roster.lost_before_ms,
                self.lost_incarnation_before_ms(renewed.agent_id),
            ),
        )

    def lost_incarnation_before_ms(self, agent_id: str) -> int:
        """Return the Unix time, in ms, before which unknown jobs may have run.

        Unknown jobs are those that no ledger reports. The lost incarnation
        is the one before the agent's present one. Leases that were proven
        with its confirmations may have lasted on, so that a former leader
        may have started jobs at other agents until they expired.
        """
        lease_ms = int(self.limits.takeover_wait_s * MS_PER_S)
        started_ms = self.agents[agent_id].started_ms
        return started_ms + lease_ms + self.limits.id_horizon_ms

    def _roster_with_joined(self) -> Roster | None:
        roster = self.quorum.roster
        for agent_id, member in self.quorum.members.items():
            if agent_id in self.quorum.agent_ids or self._is_draining(
                agent_id
            ):
                continue
            joined = RosterMember(
                agent_id=agent_id, incarnation=member.incarnation
            )
            return msgspec.structs.replace(
                roster,
                version=roster.version + 1,
                members=(*roster.members, joined),
            )
        return None

    def _roster_without_lost(self, now: float) -> Roster | None:
        roster = self.quorum.roster
        for lost in roster.members:
            if not self._is_to_be_removed(lost.agent_id, now):
                continue
            kept = tuple(m for m in roster.members if m != lost)
            now_ms = self.clock.unix_ms()
            return msgspec.structs.replace(
                roster,
                version=roster.version + 1,
                members=kept,
                lost_before_ms=now_ms + self.limits.id_horizon_ms,
            )
        return None

    def _is_to_be_removed(self, agent_id: str, now: float) -> bool:
        """Return whether a member has drained or was lost for too long."""
        if self._is_draining(agent_id):
            load = self.loads[agent_id]
            is_done = load.ledger_complete and not load.in_flight
            return is_done and self.quorum.size > 1
        if agent_id in self.quorum.members:
            return False
        absent_since = self.absent_since.get(agent_id)
        if absent_since is None:
            return False
        return now >= absent_since + self.limits.member_removal_s

    def _is_draining(self, agent_id: str) -> bool:
        load = self.loads.get(agent_id)
        return load is not None and load.draining
