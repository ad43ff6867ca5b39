"""Effects that an entry's decision logic returns; its process applies them."""

import dataclasses

from egretcart.connection.cell_types import Roster
from egretcart.connection.entry_messages import AgentConfig
from egretcart.connection.entry_messages import ConfigDocument
from egretcart.connection.entry_messages import ConfigRequest
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.entry.directory import Cell
from egretcart.request.reply import Reply

PeerMessage = (
    EntryBeat
    | EntryList
    | Forward
    | ForwardReply
    | ConfigRequest
    | ConfigDocument
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Effect: send a message to another entry."""

    entry_id: str
    message: PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendEntryList:
    """Effect: send the list of live entries to an agent."""

    agent_id: str
    message: EntryList


@dataclasses.dataclass(frozen=True, slots=True)
class SendAgentConfig:
    """Effect: send an agent its part of the configuration."""

    agent_id: str
    message: AgentConfig


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyToCaller:
    """Effect: answer the caller of a request."""

    request_id: int
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCellRoster:
    """Effect: write a cell's roster to the platform's store."""

    cell: Cell
    roster: Roster


EntryEffect = (
    SendToPeer
    | SendToAgent
    | SendEntryList
    | SendAgentConfig
    | ReplyToCaller
    | WriteCellRoster
)
