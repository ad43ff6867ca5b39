"""A decision log of JSON lines on standard output that never blocks."""

from collections import Counter
from collections import deque
import dataclasses
import json
import os
from typing import Any

import eliot
import trio

from egretcart.direct.log.decisions import Decision
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.process.clock import Clock

STDOUT = 1
# Most lines of each kind in a second. The mean size of a line is 250 bytes,
# so that all kinds of a busy process together stay below 2 MB a minute.
MAX_LINES_PER_KIND = 30
# Lines that report how a request ended take precedence over all others.
MAX_FINAL_LINES_PER_KIND = 100
FINAL_KINDS = (JobAnswered, JobCancelled, JobRefused, ProcessChanged)
MAX_WAITING_LINES = 2000
# Time over which lines of a kind are counted for these limits.
WINDOW_S = 1.0


class JsonDecisionLog:
    """A `DecisionLog` that writes bounded JSON lines through eliot.

    Parameters
    ----------
    process_id : str
    clock : Clock

    Attributes
    ----------
    waiting : deque of bytes
        Encoded lines that are not yet written.
    written : Counter of str
        Lines of each kind that were accepted in the current window.
    dropped : Counter of str
        Lines of each kind that were dropped since the last line that
        reported their number.
    window_ends_at : float
        When the current window ends, in seconds on the monotonic clock.
    lines_available : trio.Event
        Set if there are waiting lines.
    """

    def __init__(self, *, process_id: str, clock: Clock) -> None:
        self.process_id = process_id
        self.clock = clock
        self.waiting: deque[bytes] = deque()
        self.written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        self.window_ends_at = 0.0
        self.lines_available = trio.Event()
        eliot.add_destinations(self._enqueue_line)

    def write(self, decision: Decision) -> None:
        """Write one decision, or drop it if a limit is reached."""
        kind = type(decision).__name__
        self._start_window_if_due()
        final = isinstance(decision, FINAL_KINDS)
        limit = MAX_FINAL_LINES_PER_KIND if final else MAX_LINES_PER_KIND
        full = len(self.waiting) >= MAX_WAITING_LINES
        if self.written[kind] >= limit or full:
            self.dropped[kind] += 1
            return
        self.written[kind] += 1
        eliot.log_message(
            message_type=f"egretcart:{kind}",
            process=self.process_id,
            **{
                field.name: getattr(decision, field.name)
                for field in dataclasses.fields(decision)
            },
        )

    def _start_window_if_due(self) -> None:
        """Begin a new window if the last is over; report dropped lines."""
        now = self.clock.monotonic()
        if now < self.window_ends_at:
            return
        self.window_ends_at = now + WINDOW_S
        self.written.clear()
        if self.dropped:
            dropped, self.dropped = self.dropped, Counter()
            eliot.log_message(
                message_type="egretcart:LinesLeftOut",
                process=self.process_id,
                lines=dict(dropped),
            )

    def _enqueue_line(self, message: dict[str, Any]) -> None:
        self.waiting.append(json.dumps(message).encode() + b"\n")
        self.lines_available.set()

    async def run(self) -> None:
        """Write waiting lines to standard output until cancelled.

        It also returns if standard output has no reader any more.
        """
        os.set_blocking(STDOUT, False)
        while True:
            await self.lines_available.wait()
            self.lines_available = trio.Event()
            while self.waiting:
                lines = b"".join(self.waiting)
                self.waiting.clear()
                try:
                    await self._write_all(lines)
                except OSError:
                    # Nothing reads the output any more, and there is no
                    # other place to report the error.
                    self.dropped["broken output"] += 1
                    return

    async def _write_all(self, lines: bytes) -> None:
        """Write to standard output; wait while its reader does not read."""
        while lines:
            try:
                lines = lines[os.write(STDOUT, lines) :]
            except BlockingIOError:
                await trio.lowlevel.wait_writable(STDOUT)
