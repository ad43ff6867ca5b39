"""Graceful shutdown of a process on SIGTERM or SIGINT."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import signal
from typing import Protocol

import trio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
ABORT_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.02


class Stoppable(Protocol):
    """A process that can shut down without interrupting a request.

    Attributes
    ----------
    stop_limit_s : float
        Longest time that `stop` may take, in seconds; `abort` is called
        if it has not returned by then.
    """

    stop_limit_s: float

    async def stop(self) -> None:
        """Hand over and finish all work; return when none is left."""

    async def abort(self) -> None:
        """End the remaining work at once and answer its callers.

        The answers state by a `Verdict` whether the work may have run.
        """


async def poll_until(condition: Callable[[], bool]) -> None:
    """Return once a condition is true, which is checked repeatedly."""
    while True:
        if condition():
            return
        await trio.sleep(POLL_INTERVAL_S)


@contextlib.contextmanager
def receive_stop_signals() -> Iterator[AsyncIterator[int]]:
    """Receive the signals that ask a process to stop.

    If the program has blocked them for its start, those that have come since
    are received first.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
        yield signals


async def run_until_signal(
    start: Callable[[trio.Nursery], Awaitable[Stoppable]],
) -> None:
    """Start a process, stop it at the first signal, abort it at the second.

    A signal that comes before the process has started ends it at once.

    Parameters
    ----------
    start : callable
        Returns the process once it has started; the nursery runs its tasks.
    """
    async with trio.open_nursery() as nursery:
        with receive_stop_signals() as signals:
            async with trio.open_nursery() as starting:
                starting.start_soon(
                    _cancel_at_next_signal, signals, nursery.cancel_scope
                )
                process = await start(nursery)
                starting.cancel_scope.cancel()
            await _stop_at_signal(process, signals)
        nursery.cancel_scope.cancel()


async def stop_on_signal(process: Stoppable, scope: trio.CancelScope) -> None:
    """Stop a process at the first signal, abort it at the second.

    Parameters
    ----------
    process : Stoppable
    scope : trio.CancelScope
        Scope of the process's tasks; cancelled once it has stopped or
        aborted.
    """
    with receive_stop_signals() as signals:
        await _stop_at_signal(process, signals)
    scope.cancel()


async def _stop_at_signal(
    process: Stoppable, signals: AsyncIterator[int]
) -> None:
    await anext(signals)
    is_stopped = False
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_at_next_signal, signals, nursery.cancel_scope
        )
        with trio.move_on_after(process.stop_limit_s):
            await process.stop()
            is_stopped = True
        nursery.cancel_scope.cancel()
    if not is_stopped:
        with trio.move_on_after(ABORT_TIMEOUT_S):
            await process.abort()


async def _cancel_at_next_signal(
    signals: AsyncIterator[int], scope: trio.CancelScope
) -> None:
    await anext(signals)
    scope.cancel()
