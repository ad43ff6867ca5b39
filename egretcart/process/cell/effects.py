"""What a leader asks its shell to do."""

import dataclasses

from egretcart.connection.messages import LeaderMessage
from egretcart.connection.messages import Roster
from egretcart.connection.messages import Term
from egretcart.request.reply import Reply


@dataclasses.dataclass(frozen=True, slots=True)
class RequestToken:
    """Names one request at one entry, so that its reply finds back.

    Attributes
    ----------
    entry_id : str
        Entry that holds the caller's connection.
    request_id : int
        Number that this entry gave to the request.
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
        Highest term known; a later takeover must exceed it.
    reason : str
    retry : bool
        Whether this entry should soon try again under a higher term.
    """

    seen: Term
    reason: str
    retry: bool


LeaderEffect = SendToAgent | SendReply | WriteRoster | StepDown
