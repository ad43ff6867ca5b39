"""Logs of a process: one line for each change of state."""

import sys
from typing import Protocol

import eliot

from egretcart.process.transitions import StateChange


class EventLog(Protocol):
    """Where changes of state are written."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Write one change of the named process."""


class NullLog:
    """An `EventLog` that writes nothing, for embedders and tests."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Drop the change."""


class EliotLog:
    """An `EventLog` that writes JSON lines through eliot."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Write one change of the named process."""
        eliot.log_message(
            message_type=f"egretcart:{change.kind.value}",
            process=process_id,
            subject=change.subject,
        )


def log_to_stderr() -> EliotLog:
    """Return a log whose lines go to the process's standard error."""
    eliot.to_file(sys.stderr)
    return EliotLog()
