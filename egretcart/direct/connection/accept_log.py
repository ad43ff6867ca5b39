"""Logs when a process can't accept connections, and when it can again."""

from collections.abc import Callable

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged


def accept_logger(log: DecisionLog, name: str) -> Callable[[str], None]:
    """Return what an `AcceptState` calls to log its changes.

    Parameters
    ----------
    log : DecisionLog
    name : str
        What the listener's address is for.
    """

    def write_change(error: str) -> None:
        log.write(
            DependencyChanged(
                name=f"{name} listener",
                state="lost" if error else "back",
                cause=error,
            )
        )

    return write_change
