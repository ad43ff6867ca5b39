"""Receives signals that a program may have blocked for its start."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import signal

import trio


@contextlib.contextmanager
def receive_signals(*numbers: int) -> Iterator[AsyncIterator[int]]:
    """Receive signals inside a ``with`` block.

    Those that the program has blocked are unblocked for the block, so that
    the ones that have come before are received first. They are blocked again
    at its end, where they would have their default effect: to end a process
    that is about to end by itself.

    Parameters
    ----------
    numbers : int
        The signals.
    """
    with trio.open_signal_receiver(*numbers) as signals:
        blocked = signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
        try:
            yield signals
        finally:
            blocked.intersection_update(numbers)
            signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
