"""A dispatcher for floods of sub-second tasks.

The public names of this module are the library: decision logic that does
no I/O. The host program passes in messages, times and the outcomes of
exchanges with the backend server, and carries out the effects that are
returned; docs/embedding.md shows how.

Each name is imported when it is first used, so that a process loads only
the parts that it runs.
"""

import importlib
from typing import Any
from typing import TYPE_CHECKING

import egretcart.bootstrap  # noqa: F401
from egretcart.version.release import RELEASE

if TYPE_CHECKING:
    from egretcart.connection.cell_types import Term
    from egretcart.connection.entry_address import EntryAddress
    from egretcart.process.agent.agent import Agent
    from egretcart.process.agent.agent_types import AbortExchange
    from egretcart.process.agent.agent_types import AgentIdentity
    from egretcart.process.agent.agent_types import AgentLimits
    from egretcart.process.agent.agent_types import BeginExchange
    from egretcart.process.agent.agent_types import ExchangeOutcome
    from egretcart.process.agent.agent_types import SendToEntry
    from egretcart.process.agent.ledger import Ledger
    from egretcart.process.cell.effects import SendToAgent
    from egretcart.process.cell.leadership import Leadership
    from egretcart.process.cell.limits import LeaderLimits
    from egretcart.process.cell.quorum import Quorum
    from egretcart.process.clock import Clock
    from egretcart.process.clock import SystemClock
    from egretcart.process.entry.entry import Entry
    from egretcart.process.entry.entry_effects import ReplyToCaller
    from egretcart.process.entry.entry_effects import SendToPeer
    from egretcart.process.entry.entry_effects import WriteCellRoster
    from egretcart.process.entry.entry_limits import EntryLimits
    from egretcart.request.identity import JobId
    from egretcart.request.identity import new_job_id
    from egretcart.request.reply import Reply
    from egretcart.request.verdict import Verdict
    from egretcart.version.document import Configuration
    from egretcart.version.document import Service

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

_MODULES = {
    "EntryAddress": "egretcart.connection.entry_address",
    "Term": "egretcart.connection.cell_types",
    "Agent": "egretcart.process.agent.agent",
    "AbortExchange": "egretcart.process.agent.agent_types",
    "AgentIdentity": "egretcart.process.agent.agent_types",
    "AgentLimits": "egretcart.process.agent.agent_types",
    "BeginExchange": "egretcart.process.agent.agent_types",
    "ExchangeOutcome": "egretcart.process.agent.agent_types",
    "SendToEntry": "egretcart.process.agent.agent_types",
    "Clock": "egretcart.process.clock",
    "SystemClock": "egretcart.process.clock",
    "SendToAgent": "egretcart.process.cell.effects",
    "Entry": "egretcart.process.entry.entry",
    "ReplyToCaller": "egretcart.process.entry.entry_effects",
    "SendToPeer": "egretcart.process.entry.entry_effects",
    "WriteCellRoster": "egretcart.process.entry.entry_effects",
    "EntryLimits": "egretcart.process.entry.entry_limits",
    "Leadership": "egretcart.process.cell.leadership",
    "Ledger": "egretcart.process.agent.ledger",
    "LeaderLimits": "egretcart.process.cell.limits",
    "Quorum": "egretcart.process.cell.quorum",
    "JobId": "egretcart.request.identity",
    "new_job_id": "egretcart.request.identity",
    "Reply": "egretcart.request.reply",
    "Verdict": "egretcart.request.verdict",
    "Configuration": "egretcart.version.document",
    "Service": "egretcart.version.document",
}


def __getattr__(name: str) -> Any:
    """Import a public name when it is first used."""
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no name {name!r}")
    value = getattr(importlib.import_module(_MODULES[name]), name)
    globals()[name] = value
    return value


def __dir__() -> list[str]:
    """Return the names of the module, also those that are not imported yet."""
    return sorted({*globals(), *__all__})
