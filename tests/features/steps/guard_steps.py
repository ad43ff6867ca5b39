"""Rules of the cell's machine in a fixed order, with and without a guard."""

import dataclasses
import functools
import itertools
from unittest import mock

from behave import then
from behave import when
from cell_machine import CellMachine

from egretcart.connection.messages import Roster
from egretcart.connection.messages import RosterMember
from egretcart.process.agent.agent import Agent
from egretcart.process.cell.leadership import Leadership
from egretcart.process.cell.ledger_queries import LedgerQueries
from egretcart.process.cell.quorum import Quorum
from egretcart.process.cell.recovery import Recovery
from egretcart.process.cell.roster_changes import RosterChanges
from egretcart.process.cell.takeover import Takeover
from egretcart.process.entry.pending import READ


def endanger(machine, agent, *, faults, ahead_s=0.0, **chosen):
    """Run the rule with what does not matter to the story left out."""
    machine.endanger(
        mend=False, faults=faults, agent=agent,
        lose_leader="kill", ahead_s=ahead_s,
        **{
            "lose_agent": "cut", "platform": "up", "seconds": 0.3,
            "between": None, "ask": False, "others": agent, **chosen,
        },
    )  # fmt: skip
    machine.world.run(1.0)


def join_and_part(machine, agent):
    machine.add_agents(2, True, "slow", 0.1)
    machine.part_leader(
        reach=["former", "both", "both", "former", "former"],
        stall="from leader", platform="up", freeze=False, before=False,
        after=True, ahead_s=0.0, idempotent=False, seconds=6.0,
    )  # fmt: skip


def delay(machine, agent):
    machine.delay_starts(agent=agent, freeze=False, finish=False, seconds=7.0)


STORIES = {
    "removal, leader": functools.partial(
        endanger, faults=("agent", "leader"), lose_agent="cut for long"
    ),
    "restart, leader": functools.partial(
        endanger, faults=("agent", "leader"), lose_agent="restart",
        seconds=2.5,
    ),
    "join, leader": functools.partial(
        endanger, faults=("join", "leader"), seconds=2.5
    ),
    "join twice, part": join_and_part,
    "leader": functools.partial(
        endanger, faults=("leader",), ahead_s=1.4, seconds=2.5
    ),
    "leader, cut": functools.partial(endanger, faults=("leader", "agent")),
    "leader, read, break": functools.partial(
        endanger, faults=("leader", "agent"), lose_agent="break",
        between=READ, seconds=1.0,
    ),
    "leader, cut for good": functools.partial(
        endanger, faults=("leader", "agent"), seconds=2.5
    ),
    "leader, ask, break": functools.partial(
        endanger, faults=("leader", "agent"), lose_agent="break", ask=True
    ),
    "delayed starts": delay,
}  # fmt: skip


def keep_barrier(write):
    """Return a roster change that leaves the barrier as it is."""

    def change(self, *arguments):
        roster = write(self, *arguments)
        uncertain_before_ms = self.quorum.roster.lost_before_ms
        return roster and dataclasses.replace(
            roster, lost_before_ms=uncertain_before_ms
        )

    return change


def forget_roster(receive):
    def fence_reply(self, agent_id, reply):
        told = dataclasses.replace(reply, roster=Roster())
        return receive(self, agent_id, told)

    return fence_reply


def change_early(change):
    def change_roster(self, now):
        with mock.patch.object(
            Quorum, "is_roster_recorded", return_value=True
        ):
            return change(self, now)

    return change_roster


def wait_for_none(hold):
    return lambda self, job_id, request, *, lost: hold(
        self, job_id, request, lost=()
    )


def keep_learnt(connected):
    def connect(self, agent_id, job_ids):
        resolved_job_ids = set(self.resolved_job_ids)
        effects = connected(self, agent_id, job_ids)
        self.resolved_job_ids |= resolved_job_ids
        return effects

    return connect


def skip_held(connected):
    def connect(self, agent_id, job_ids):
        held, self.open = self.open, {}
        effects = connected(self, agent_id, job_ids)
        self.open = held
        for lookup in held.values():
            lookup.awaited_agents.discard(agent_id)
        return effects + self._resume_resolved(list(held))

    return connect


def join_all(write):
    def change(self):
        roster = write(self)
        if roster is None:
            return None
        joined = tuple(
            RosterMember(agent_id=name, incarnation=member.incarnation)
            for name, member in self.quorum.members.items()
            if name not in roster.agent_ids
        )
        return dataclasses.replace(roster, members=roster.members + joined)

    return change


def constant(value):
    return lambda _: property(lambda _: value, lambda _, __: None)


BROKEN = {
    "barrier raised on removal": (
        RosterChanges, "_roster_without_lost", keep_barrier,
    ),
    "barrier raised on a renewed incarnation": (
        RosterChanges, "renewed_roster", keep_barrier,
    ),
    "roster in the fence reply": (Leadership, "_fence_reply", forget_roster),
    "roster changed only after the last is recorded": (
        Leadership, "_change_roster", change_early,
    ),
    "roster changed by one member a time": (
        RosterChanges, "_roster_with_joined", join_all,
    ),
    "asking a returned agent about held requests": (
        LedgerQueries, "connected", skip_held,
    ),
    "newest job in the fence reply": (
        Takeover, "query_before_ms", lambda _: lambda _: 0,
    ),
    "waiting for lost agents": (LedgerQueries, "defer_request", wait_for_none),
    "asking anew what a reconnected agent told": (
        LedgerQueries, "connected", keep_learnt,
    ),
    "barrier when an agent is given up": (
        Recovery, "uncertain_before_ms",
        lambda _: property(lambda self: self.takeover_uncertain_before_ms),
    ),
    "lease check at the agent": (Agent, "lease_until", constant(1e9)),
}  # fmt: skip


def breaks_promise(story):
    """Return whether the story breaks a promise in any small cell."""
    cells = itertools.product((2, 3), (3, 4), ([0.5, -0.5], [-0.5, 0.5]))
    for entries, agents, skews in cells:
        for agent in range(agents):
            machine = CellMachine()
            machine.begin(
                entries=entries, agents=agents, skews=skews, rates=[1.0],
                former=(), calm_s=5.0,
            )  # fmt: skip
            try:
                STORIES[story](machine, agent)
            except AssertionError:
                return True
    return False


@when("these rules run, no promise breaks: {rules}")
def check_kept(context, rules):
    context.rules = rules
    assert not breaks_promise(rules)


@then('without "{guard}" one does')
def check_broken(context, guard):
    kind, name, change = BROKEN[guard]
    patch = mock.patch.object(
        kind, name, change(getattr(kind, name, None)), create=True
    )
    with patch:
        assert breaks_promise(context.rules)
