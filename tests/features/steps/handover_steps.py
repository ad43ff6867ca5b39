from behave import given
from behave import then
from behave import when

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.cell_types import Term
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import CellLeader
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.leader_messages import Fence
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.testing import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service


@given("an entry with an agent and a peer that leads by term {counter:d}")
def peer_leads(context, counter):
    clock = ManualClock()
    context.entry = Entry(
        address=EntryAddress(entry_id="own"),
        incarnation=2,
        configuration=Configuration(
            version=1, services=(Service(name="snapcheck"),)
        ),
        limits=EntryLimits(),
        leader_limits=LeaderLimits(),
        clock=clock,
    )
    clock.advance(1.0)
    context.entry.peer_connected(EntryAddress(entry_id="peer"), 1)
    claim = CellLeader(service_name="snapcheck", cell=0, term=Term(counter, 1))
    context.entry.peer_message("peer", EntryBeat(leading=(claim,)))
    context.entry.agent_connected(
        AgentHello(agent_id="a", service_name="snapcheck", slots=1)
    )


@when("the peer resigns")
def peer_resigns(context):
    heartbeat = EntryBeat(leaving=True)
    context.effects = context.entry.peer_message("peer", heartbeat)


@then("the entry fences the agent with term {counter:d} at once")
def check_fence(context, counter):
    fences = [
        effect.message
        for effect in context.effects
        if isinstance(effect, SendToAgent)
        and isinstance(effect.message, Fence)
    ]
    assert [fence.term for fence in fences] == [Term(counter, 2)], fences
