"""What an entry process tells those that connect to it of other entries."""

from behave import then
from behave import when
import trio

from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import EntryPeers
from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.connection.wire import DIRECT_PROTOCOL

LATE_ENTRY = PeerAddress(host="127.0.0.99", port=9, failure_domain="zone-2")
WAIT_S = 5.0


@when("an entry is reported after an agent has connected, before its hello")
def report_late(context):
    context.told = context.deployment.stand_ins.call(
        hear_of_entry, context.deployment
    )


async def hear_of_entry(deployment):
    """Return whether an agent is told of an entry that is reported late."""
    told = trio.Event()
    host, port = deployment.hosts["entry-1"], deployment.peer_port

    def handle(message):
        if isinstance(message, EntryPeers) and LATE_ENTRY in message.entries:
            told.set()

    async with trio.open_nursery() as nursery:
        agent_link = await open_link(host, port, nursery, handle, first=[])
        hello = EntryHello(
            entry_id="entry-9", incarnation=1, address=LATE_ENTRY
        )
        await open_link(host, port, nursery, lambda _: None, first=[hello])
        # The entry has handled the other hello once it answers a new link.
        await trio.sleep(0.5)
        agent_link.send(AgentHello(status=AgentStatus(agent_id="agent-9")))
        with trio.move_on_after(WAIT_S):
            await told.wait()
        nursery.cancel_scope.cancel()
    return told.is_set()


async def open_link(host, port, nursery, handle, *, first):
    stream = await trio.open_tcp_stream(host, port)
    link = PeerLink(
        stream=stream, protocol=DIRECT_PROTOCOL, traffic=TrafficCounters()
    )

    async def run():
        await link.run(handle, first=first)

    nursery.start_soon(run)
    return link


@then("the agent is told of that entry")
def check_told(context):
    assert context.told
