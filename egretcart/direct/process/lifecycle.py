"""Log lines about the start and the end of a process."""

from collections.abc import Iterator
import os
import platform
import sys
import time
import traceback
from types import TracebackType

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.log.decisions import ProcessStarted
from egretcart.direct.log.log_lines import JsonDecisionLog
from egretcart.version.release import RELEASE

MS_PER_S = 1000
MAX_CAUSE_LENGTH = 1000


def log_start(log: DecisionLog) -> None:
    """Write that the process listens, and what it runs on."""
    log.write(
        ProcessStarted(
            pid=os.getpid(),
            release=RELEASE,
            python=platform.python_version(),
            machine=platform.machine(),
            cpu_ms=round(time.process_time() * MS_PER_S),
        )
    )


def log_end(log: JsonDecisionLog) -> None:
    """Write that the process ends as it was told to, and all that waits."""
    log.write(ProcessChanged(state="stopped"))
    log.flush()


def log_unhandled_errors(log: JsonDecisionLog) -> None:
    """Let an error that ends the process be the last line of its log.

    The interpreter still prints the traceback.
    """
    print_traceback = sys.excepthook

    def handle_error(
        kind: type[BaseException],
        error: BaseException,
        trace: TracebackType | None,
    ) -> None:
        cause = describe_error(error)
        log.write(ProcessChanged(state="failed", cause=cause))
        log.flush()
        print_traceback(kind, error, trace)

    sys.excepthook = handle_error


def describe_error(error: BaseException) -> str:
    """Return an error and the line that has raised it.

    Of a group, each of its errors is described.
    """
    described = "; ".join(
        f"{''.join(traceback.format_exception_only(leaf)).strip()}"
        f" at {_origin(leaf)}"
        for leaf in _leaves(error)
    )
    return described[:MAX_CAUSE_LENGTH]


def _leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for part in error.exceptions:
        yield from _leaves(part)


def _origin(error: BaseException) -> str:
    """Return file and line of the innermost call."""
    calls = traceback.extract_tb(error.__traceback__)
    if not calls:
        return "no call"
    return f"{calls[-1].filename}:{calls[-1].lineno}"
