"""A dispatcher for floods of sub-second tasks.

The names below are the library: decision logic that is free of I/O. Pass
in messages, times and ended exchanges; carry out the effects that come
back. docs/embedding.md shows how.
"""

import egretcart.bootstrap  # noqa: F401
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import Term
from egretcart.process.agent import Agent
from egretcart.process.agent_types import AbortExchange
from egretcart.process.agent_types import AgentIdentity
from egretcart.process.agent_types import AgentLimits
from egretcart.process.agent_types import BeginExchange
from egretcart.process.agent_types import ExchangeOutcome
from egretcart.process.agent_types import SendToEntry
from egretcart.process.clock import Clock
from egretcart.process.clock import SystemClock
from egretcart.process.effects import SendToAgent
from egretcart.process.entry import Entry
from egretcart.process.entry_effects import ReplyToCaller
from egretcart.process.entry_effects import SendToPeer
from egretcart.process.entry_effects import WriteCellRoster
from egretcart.process.entry_limits import EntryLimits
from egretcart.process.leadership import Leadership
from egretcart.process.ledger import Ledger
from egretcart.process.limits import LeaderLimits
from egretcart.process.quorum import Quorum
from egretcart.request.identity import JobId
from egretcart.request.identity import new_job_id
from egretcart.request.reply import Reply
from egretcart.request.verdict import Verdict
from egretcart.version.document import Configuration
from egretcart.version.document import Service
from egretcart.version.release import RELEASE

__version__ = RELEASE

__all__ = [
    "AbortExchange",
    "Agent",
    "AgentIdentity",
    "AgentLimits",
    "BeginExchange",
    "Clock",
    "Configuration",
    "Entry",
    "EntryAddress",
    "EntryLimits",
    "ExchangeOutcome",
    "JobId",
    "LeaderLimits",
    "Leadership",
    "Ledger",
    "Quorum",
    "Reply",
    "ReplyToCaller",
    "SendToAgent",
    "SendToEntry",
    "SendToPeer",
    "Service",
    "SystemClock",
    "Term",
    "Verdict",
    "WriteCellRoster",
    "new_job_id",
]
