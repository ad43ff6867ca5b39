"""A decision log of JSON lines on standard output that never blocks."""

from collections import Counter
from collections import deque
import contextlib
import os
import select
import time
from typing import Any
import uuid

import eliot
import msgspec
import trio

from egretcart.direct.log.decisions import Decision
from egretcart.direct.log.decisions import JobAccepted
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import JobCancelled
from egretcart.direct.log.decisions import JobRefused
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.log.decisions import ProcessStarted
from egretcart.direct.log.job_lines import JobLines
from egretcart.process.clock import Clock

STDOUT = 1
# Most lines of each kind in any span of a second, but for the lines of jobs
# that `JobLines` releases.
MAX_LINES_PER_KIND = 24
# Lines that report how a request begins or ends take precedence over others.
MAX_FINAL_LINES_PER_KIND = 100
FINAL_KINDS = (
    JobAccepted,
    JobAnswered,
    JobCancelled,
    JobRefused,
    ProcessChanged,
    ProcessStarted,
)
MAX_WAITING_LINES = 2000
# Counted as if it were a kind: jobs that went wrong without all their lines.
WRONG_JOBS = "jobs that went wrong"
# Length of the spans for which these limits hold, and least time between two
# reports of dropped lines.
SPAN_S = 1.0


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
    unwritten : bytes
        Rest of the lines of which a part is written.
    jobs : JobLines
        Lines of jobs that are held until it is known how the job went.
    written_at : dict of str to deque of float
        When the last lines of each kind were accepted, as many as its limit,
        in seconds on the monotonic clock.
    dropped : Counter of str
        Lines of each kind that were dropped since the last line that
        reported their number.
    task_id : str
        Identifier of the eliot task that all lines of the process belong to.
    lines : int
        Lines that were accepted so far.
    report_at : float
        When dropped lines are reported, in seconds on the monotonic clock.
    lines_available : trio.Event
        Set if there are waiting lines.
    """

    def __init__(self, *, process_id: str, clock: Clock) -> None:
        self.process_id = process_id
        self.clock = clock
        self.waiting: deque[bytes] = deque()
        self.unwritten = b""
        self.jobs = JobLines()
        self.written_at: dict[str, deque[float]] = {}
        self.dropped: Counter[str] = Counter()
        self.logger = eliot.Logger()
        self.task_id = str(uuid.uuid4())
        self.lines = 0
        self.report_at = 0.0
        self.lines_available = trio.Event()
        eliot.add_destinations(self._enqueue_line)

    def write(self, decision: Decision) -> None:
        """Write one decision, hold it, or drop it if a limit is reached."""
        now = self.clock.monotonic()
        self._report_dropped_if_due(now)
        at = time.time()
        if self.jobs.hold(decision, at):
            return
        lines = self.jobs.release(decision, now)
        if lines is None or len(self.waiting) + len(lines) > MAX_WAITING_LINES:
            self._drop(WRONG_JOBS, now)
        else:
            for line in lines:
                self._log_decision(line.decision, line.at)
        self._write_limited(decision, at, now)

    def _write_limited(
        self, decision: Decision, at: float, now: float
    ) -> None:
        kind = type(decision).__name__
        times = self.written_at.get(kind)
        if times is None:
            final = isinstance(decision, FINAL_KINDS)
            limit = MAX_FINAL_LINES_PER_KIND if final else MAX_LINES_PER_KIND
            times = self.written_at[kind] = deque(maxlen=limit)
        is_limited = len(times) == times.maxlen and now - times[0] < SPAN_S
        if is_limited or len(self.waiting) >= MAX_WAITING_LINES:
            self._drop(kind, now)
            return
        times.append(now)
        self._log_decision(decision, at)

    def _drop(self, kind: str, now: float) -> None:
        if not self.dropped:
            self.report_at = now + SPAN_S
        self.dropped[kind] += 1

    def _report_dropped_if_due(self, now: float) -> None:
        has_room = len(self.waiting) < MAX_WAITING_LINES
        if self.dropped and now >= self.report_at and has_room:
            dropped, self.dropped = self.dropped, Counter()
            self._log("LinesLeftOut", {"lines": dict(dropped)}, time.time())

    def _log_decision(self, decision: Decision, at: float) -> None:
        fields = msgspec.structs.asdict(decision)
        self._log(type(decision).__name__, fields, at)

    def _log(self, kind: str, fields: dict[str, Any], at: float) -> None:
        """Pass a line to eliot, in its format, as a part of one task.

        `eliot.log_message` would begin a task of its own for each line.
        """
        self.lines += 1
        self.logger.write(
            {
                "message_type": f"egretcart:{kind}",
                "process": self.process_id,
                **fields,
                "timestamp": at,
                "task_uuid": self.task_id,
                "task_level": [self.lines],
            }
        )

    def _enqueue_line(self, message: dict[str, Any]) -> None:
        line = msgspec.json.format(msgspec.json.encode(message), indent=0)
        self.waiting.append(line + b"\n")
        self.lines_available.set()

    async def run(self) -> None:
        """Write waiting lines to standard output until cancelled.

        It also returns if standard output has no reader any more.
        """
        os.set_blocking(STDOUT, False)
        while True:
            await self.lines_available.wait()
            self.lines_available = trio.Event()
            while self.unwritten or self.waiting:
                try:
                    await self._write_waiting()
                except OSError:
                    # Nothing reads the output any more, and there is no
                    # other place to report the error.
                    self.dropped["broken output"] += 1
                    return

    def flush(self) -> None:
        """Write the waiting lines that standard output accepts at once.

        For the end of the process, when `run` does not run any more.
        """
        with contextlib.suppress(OSError):
            os.set_blocking(STDOUT, False)
            while self.unwritten or self.waiting:
                self._write_now()

    def _take_lines(self) -> bytes:
        """Remove and return the next lines, as many as a pipe keeps together.

        Longer output of several processes to one pipe would be mixed.
        """
        lines = self.waiting.popleft()
        while (
            self.waiting
            and len(lines) + len(self.waiting[0]) <= select.PIPE_BUF
        ):
            lines += self.waiting.popleft()
        return lines

    def _write_now(self) -> None:
        """Write what standard output accepts at once of the next lines."""
        if not self.unwritten:
            self.unwritten = self._take_lines()
        self.unwritten = self.unwritten[os.write(STDOUT, self.unwritten) :]

    async def _write_waiting(self) -> None:
        """Write the next lines; wait while their reader does not read."""
        try:
            self._write_now()
        except BlockingIOError:
            await trio.lowlevel.wait_writable(STDOUT)
