"""Log of a process's state changes, one line for each change."""

import sys
from typing import Protocol

import eliot

from egretcart.process.transitions import StateChange


class EventLog(Protocol):
    """Destination of the state changes of processes."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Write one state change of the process `process_id`."""


class NullLog:
    """An `EventLog` that writes nothing, for embedders and tests."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Ignore the state change."""


class EliotLog:
    """An `EventLog` that writes JSON lines through eliot."""

    def record(self, process_id: str, change: StateChange) -> None:
        """Write one state change of the process `process_id`."""
        eliot.log_message(
            message_type=f"egretcart:{change.kind.value}",
            process=process_id,
            subject=change.subject,
        )


def log_to_stderr() -> EliotLog:
    """Return a log that writes its lines to standard error."""
    eliot.to_file(sys.stderr)
    return EliotLog()
