"""Class names of the messages that count as control traffic.

All other messages start, cancel, answer, fetch or forward callers' work.
"""

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.entry_messages import ConfigDocument
from egretcart.connection.entry_messages import ConfigRequest
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.leader_messages import Fence
from egretcart.connection.leader_messages import Heartbeat
from egretcart.connection.leader_messages import LedgerQuery

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
