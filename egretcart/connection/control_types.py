"""Class names of the messages that count as control traffic.

All other messages start, cancel, answer, fetch or forward callers' work.
"""

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
