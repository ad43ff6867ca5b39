"""The link between entries and agents of cells, with its protocol."""

import operator

import trio

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.codec import CODEC
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.connection.leader_messages import Start
from egretcart.connection.messages import Message
from egretcart.connection.peer_link import HELLO_TIMEOUT_S
from egretcart.connection.peer_link import LinkProtocol
from egretcart.connection.peer_link import PeerLink
from egretcart.connection.traffic import TrafficCounters
from egretcart.connection.validation import find_violation

MESSAGE_OVERHEAD_BYTES = 256
BODY_FIELDS = {
    Start: operator.attrgetter("payload"),
    TaskResult: operator.attrgetter("body"),
    Forward: operator.attrgetter("body"),
    ForwardReply: operator.attrgetter("body"),
}


def message_bytes(message: Message) -> int:
    """Return roughly how much memory a message takes, in bytes."""
    body_of = BODY_FIELDS.get(type(message))
    if body_of is None:
        return MESSAGE_OVERHEAD_BYTES
    return MESSAGE_OVERHEAD_BYTES + len(body_of(message))


CELL_PROTOCOL = LinkProtocol(
    codec=CODEC, message_bytes=message_bytes, find_violation=find_violation
)


class Link(PeerLink):
    """A `PeerLink` that exchanges `egretcart.connection.messages`."""

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        traffic: TrafficCounters | None = None,
        hello_timeout_s: float = HELLO_TIMEOUT_S,
    ) -> None:
        super().__init__(
            stream=stream,
            protocol=CELL_PROTOCOL,
            traffic=traffic,
            hello_timeout_s=hello_timeout_s,
        )
