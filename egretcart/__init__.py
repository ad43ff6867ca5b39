"""A dispatcher for floods of sub-second tasks."""

import egretcart.bootstrap  # noqa: F401
from egretcart.process.agent import Agent
from egretcart.process.clock import Clock
from egretcart.process.clock import SystemClock
from egretcart.process.entry import Entry
from egretcart.process.leadership import Leadership
from egretcart.process.quorum import Quorum
from egretcart.request.verdict import Verdict
from egretcart.version.release import RELEASE

__version__ = RELEASE

__all__ = [
    "Agent",
    "Clock",
    "Entry",
    "Leadership",
    "Quorum",
    "SystemClock",
    "Verdict",
]
