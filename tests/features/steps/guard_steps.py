"""Steps that run rules of the cell machine with and without a guard."""

import functools
import itertools
from unittest import mock

from behave import then
from behave import when
from cell_machine import CellMachine
import msgspec

from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import RosterMember
from egretcart.process.agent.agent import Agent
from egretcart.process.cell.leadership import Leadership
from egretcart.process.cell.ledger_queries import LedgerQueries
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.recovery import Recovery
from egretcart.process.cell.roster_changes import RosterChanges
from egretcart.process.cell.takeover import Takeover
from egretcart.process.entry.pending import READ


def endanger(machine, agent, *, faults, ahead_s=0.0, **options):
    """Run the rule `endanger` with defaults for choices that do not matter."""
    machine.endanger(
        mend=False, faults=faults, agent=agent,
        lose_leader="kill", ahead_s=ahead_s,
        **{
            "lose_agent": "cut", "platform": "up", "seconds": 0.3,
            "between": None, "ask": False, "others": agent, **options,
        },
    )  # fmt: skip
    machine.world.run(1.0)


def run_join_and_partition(machine, agent):
    machine.add_agents(2, True, "slow", 0.1)
    machine.part_leader(
        reach=["former", "both", "both", "former", "former"],
        stall="from leader", platform="up", freeze=False, before=False,
        after=True, ahead_s=0.0, idempotent=False, seconds=6.0,
    )  # fmt: skip


def run_delayed_starts(machine, agent):
    machine.delay_starts(agent=agent, freeze=False, finish=False, seconds=7.0)


RULES_BY_NAME = {
    "agent removed, leader killed": functools.partial(
        endanger, faults=("agent", "leader"), lose_agent="cut for long"
    ),
    "agent restarted, leader killed": functools.partial(
        endanger, faults=("agent", "leader"), lose_agent="restart",
        seconds=2.5,
    ),
    "agent added, leader killed": functools.partial(
        endanger, faults=("join", "leader"), seconds=2.5
    ),
    "two agents added, leader partitioned": run_join_and_partition,
    "job id ahead of time, leader killed": functools.partial(
        endanger, faults=("leader",), ahead_s=1.4, seconds=2.5
    ),
    "leader killed, agent cut off for 0.3 s": functools.partial(
        endanger, faults=("leader", "agent")
    ),
    "leader killed, job read, agent disconnected": functools.partial(
        endanger, faults=("leader", "agent"), lose_agent="break",
        between=READ, seconds=1.0,
    ),
    "leader killed, agent cut off for 2.5 s": functools.partial(
        endanger, faults=("leader", "agent"), seconds=2.5
    ),
    "leader killed, agent disconnected while asked": functools.partial(
        endanger, faults=("leader", "agent"), lose_agent="break", ask=True
    ),
    "starts delayed": run_delayed_starts,
}  # fmt: skip


def keep_uncertain_before(write):
    """Return a roster change that leaves `lost_before_ms` as it is."""

    def change(self, *arguments):
        roster = write(self, *arguments)
        uncertain_before_ms = self.quorum.roster.lost_before_ms
        return roster and msgspec.structs.replace(
            roster, lost_before_ms=uncertain_before_ms
        )

    return change


def drop_roster(receive):
    def fence_reply(self, agent_id, reply):
        without_roster = msgspec.structs.replace(reply, roster=Roster())
        return receive(self, agent_id, without_roster)

    return fence_reply


def skip_recorded_check(change):
    def change_roster(self, now):
        with mock.patch.object(
            Quorum, "is_roster_recorded", return_value=True
        ):
            return change(self, now)

    return change_roster


def skip_lost_agents(defer):
    return lambda self, job_id, request, *, lost: defer(
        self, job_id, request, lost=()
    )


def keep_resolved_jobs(connected):
    def connect(self, agent_id, job_ids):
        resolved_job_ids = set(self.resolved_job_ids)
        effects = connected(self, agent_id, job_ids)
        self.resolved_job_ids |= resolved_job_ids
        return effects

    return connect


def skip_deferred_requests(connected):
    def connect(self, agent_id, job_ids):
        held, self.open = self.open, {}
        effects = connected(self, agent_id, job_ids)
        self.open = held
        for lookup in held.values():
            lookup.awaited_agents.discard(agent_id)
        return effects + self._resume_resolved(list(held))

    return connect


def join_all_at_once(write):
    def change(self):
        roster = write(self)
        if roster is None:
            return None
        joined = tuple(
            RosterMember(agent_id=name, incarnation=member.incarnation)
            for name, member in self.quorum.members.items()
            if name not in roster.agent_ids
        )
        return msgspec.structs.replace(roster, members=roster.members + joined)

    return change


def constant(value):
    return lambda _: property(lambda _: value, lambda _, __: None)


# For each guard the class and attribute to patch, and a function that returns
# the replacement for the original attribute.
GUARD_REMOVALS = {
    "uncertain-before time raised when a member is removed": (
        RosterChanges, "_roster_without_lost", keep_uncertain_before,
    ),
    "uncertain-before time raised when a member has restarted": (
        RosterChanges, "renewed_roster", keep_uncertain_before,
    ),
    "roster in the fence reply": (Leadership, "_fence_reply", drop_roster),
    "roster changed only after the last change is recorded": (
        Leadership, "_change_roster", skip_recorded_check,
    ),
    "roster changed by one member at a time": (
        RosterChanges, "_roster_with_joined", join_all_at_once,
    ),
    "querying a reconnected agent for waiting requests": (
        LedgerQueries, "connected", skip_deferred_requests,
    ),
    "newest job in the fence reply": (
        Takeover, "query_before_ms", lambda _: lambda _: 0,
    ),
    "waiting for the reports of lost agents": (
        LedgerQueries, "defer_request", skip_lost_agents,
    ),
    "querying a reconnected agent again": (
        LedgerQueries, "connected", keep_resolved_jobs,
    ),
    "uncertain-before time raised for unreachable agents": (
        Recovery, "uncertain_before_ms",
        lambda _: property(lambda self: self.takeover_uncertain_before_ms),
    ),
    "lease check at the agent": (Agent, "lease_until", constant(1e9)),
}  # fmt: skip


def breaks_promise(rules_name):
    """Return whether the rules break a promise in any small cell."""
    cells = itertools.product((2, 3), (3, 4), ([0.5, -0.5], [-0.5, 0.5]))
    for entries, agents, skews in cells:
        for agent in range(agents):
            machine = CellMachine()
            machine.begin(
                entries=entries, agents=agents, skews=skews, rates=[1.0],
                former=(), calm_s=5.0,
            )  # fmt: skip
            try:
                RULES_BY_NAME[rules_name](machine, agent)
            except AssertionError:
                return True
    return False


@when("these rules run, no promise breaks: {rules}")
def check_kept(context, rules):
    context.rules = rules
    assert not breaks_promise(rules)


@then('without "{guard}" a promise breaks')
def check_broken(context, guard):
    kind, name, change = GUARD_REMOVALS[guard]
    patch = mock.patch.object(
        kind, name, change(getattr(kind, name, None)), create=True
    )
    with patch:
        assert breaks_promise(context.rules)
