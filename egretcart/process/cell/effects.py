"""Effects: the actions that the leader's decision logic requests.

The decision logic does no I/O itself; the process that runs it performs the
effects.
"""

import dataclasses

from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import Term
from egretcart.connection.leader_messages import LeaderMessage
from egretcart.request.reply import Reply


@dataclasses.dataclass(frozen=True, slots=True)
class RequestToken:
    """Identifies a request at an entry, so that the reply is routed to it.

    Attributes
    ----------
    entry_id : str
        Entry that has the caller's connection.
    request_id : int
        Number that this entry assigned to the request.
    """

    entry_id: str
    request_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendToAgent:
    """Effect: send a message to an agent."""

    agent_id: str
    message: LeaderMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendReply:
    """Effect: send the reply to a request."""

    token: RequestToken
    reply: Reply


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRoster:
    """Effect: write a roster by compare-and-swap on its predecessor."""

    roster: Roster


@dataclasses.dataclass(frozen=True, slots=True)
class StepDown:
    """Effect: end this leadership.

    Attributes
    ----------
    seen : Term
        Highest known term; the term of a later takeover must be higher.
    reason : str
    retry : bool
        Whether this entry should soon try to lead again with a higher term.
    """

    seen: Term
    reason: str
    retry: bool


LeaderEffect = SendToAgent | SendReply | WriteRoster | StepDown
