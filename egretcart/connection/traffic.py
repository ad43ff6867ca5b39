"""Counts of the messages that a process exchanges with others."""

from collections import Counter
from collections.abc import Iterable

from egretcart.connection.messages import AgentConfig
from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import ConfigDocument
from egretcart.connection.messages import ConfigRequest
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import EntryHello
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import Fence
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import Heartbeat
from egretcart.connection.messages import HeartbeatReply
from egretcart.connection.messages import LedgerQuery
from egretcart.connection.messages import LedgerReply
from egretcart.connection.messages import Message

CONTROL_TYPES = frozenset(
    message_type.__name__
    for message_type in (
        AgentConfig,
        AgentHello,
        ConfigDocument,
        ConfigRequest,
        EntryBeat,
        EntryHello,
        EntryList,
        Fence,
        FenceReply,
        Heartbeat,
        HeartbeatReply,
        LedgerQuery,
        LedgerReply,
    )
)


class Traffic:
    """Plain counts, shared by all links of a process.

    Attributes
    ----------
    messages : Counter of type
        Messages sent, by their class.
    frames_sent, bytes_sent, bytes_received : int
    """

    def __init__(self) -> None:
        self.messages: Counter[type] = Counter()
        self.frames_sent = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def sent(self, batch: Iterable[Message], size: int) -> None:
        """Count a frame that is sent.

        Parameters
        ----------
        batch : iterable of Message
        size : int
            Bytes of the frame.
        """
        self.messages.update(map(type, batch))
        self.frames_sent += 1
        self.bytes_sent += size
