"""The processes that a soak has started, and the check of how each ends."""

import dataclasses
import pathlib
import signal
import subprocess
import time

import trio

CHECK_INTERVAL_S = 0.02
# From SIGTERM to the end: the grace time, and an allowance for the rest of
# the start, the answers to callers and the exit.
STOP_BOUND_S = 6.0 + 4.0
# Lines of the log of a process that has ended, to show its error.
EXIT_LINES = 60
# Ages at which a process was sent a signal, in the report of its end.
MAX_AGES = 8
NS_PER_S = 1e9
HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def signal_set(pid, field):
    """Return the signals in a field of a process's status in /proc."""
    try:
        text = pathlib.Path(f"/proc/{pid}/status").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return set()
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == field:
            mask = int(value, 16)
            return {n for n in signal.Signals if mask >> (n - 1) & 1}
    return set()


def cpu_wait_s(task):
    """Return how long a thread, by its path in /proc, waited for a CPU."""
    try:
        text = pathlib.Path(f"/proc/{task}/schedstat").read_text()
    except (FileNotFoundError, ProcessLookupError):
        return 0.0
    return int(text.split()[1]) / NS_PER_S


@dataclasses.dataclass(kw_only=True)
class StartedProcess:
    """A process that the soak has started.

    Attributes
    ----------
    name : str
    process : subprocess.Popen
    started_at : float
        Monotonic time of its start.
    first_line : int
        Number of lines of its log before its start.
    told : list of (signal.Signals, float)
        Signals that it was sent while it ran, each with the monotonic time.
    has_ended : bool
        Whether its end was seen and checked.
    is_overdue : bool
        Whether it did not end within `STOP_BOUND_S` of SIGTERM.
    """

    name: str
    process: subprocess.Popen
    started_at: float
    first_line: int = 0
    told: list = dataclasses.field(default_factory=list)
    has_ended: bool = False
    is_overdue: bool = False

    def is_running(self):
        return self.process.poll() is None

    def age_s(self):
        return time.monotonic() - self.started_at

    def told_at(self, number):
        """Return when it was first sent a signal; None if it was not."""
        times = [at for sent, at in self.told if sent == number]
        return min(times, default=None)

    def is_end_asked_for(self, status):
        """Whether an end with this exit status was asked for."""
        if status == -signal.SIGKILL:
            return self.told_at(signal.SIGKILL) is not None
        return status == 0 and self.told_at(signal.SIGTERM) is not None

    def has_begun(self):
        """Whether the program's first statements, about signals, have run."""
        held = signal_set(self.process.pid, "SigBlk")
        caught = signal_set(self.process.pid, "SigCgt")
        if (held | caught) & set(HANDLED_SIGNALS):
            return True
        # A process inherits which signals its parent ignores.
        is_inherited = signal.getsignal(signal.SIGHUP) is signal.SIG_IGN
        ignored = signal_set(self.process.pid, "SigIgn")
        return signal.SIGHUP in ignored and not is_inherited

    def signals(self):
        """Return the signals that it was sent, with its ages at them."""
        ages_s = {}
        for number, at in self.told:
            ages_s.setdefault(number, []).append(f"{at - self.started_at:.3f}")
        sent = [
            f"{number.name} at {', '.join(ages[:MAX_AGES])} s"
            + (f" and until {ages[-1]} s" if len(ages) > MAX_AGES else "")
            for number, ages in ages_s.items()
        ]
        return "; ".join(sent) or "no signal"


class ProcessEnds:
    """Checks that every end of a process was asked for.

    SIGKILL asks for an end by this signal, SIGTERM for exit status 0 within
    `STOP_BOUND_S`, less the time for which the process is disturbed.

    Parameters
    ----------
    world : Soak
        Receives events and violations.

    Attributes
    ----------
    started : list of StartedProcess
    troubles : dict of str to str
        The last trouble of each process, by its name.
    """

    def __init__(self, world):
        self.world = world
        self.started = []
        self.troubles = {}

    def add(self, name, process):
        """Record a start; return its record."""
        record = StartedProcess(
            name=name,
            process=process,
            started_at=time.monotonic(),
            first_line=len(self.world.lines(name)),
        )
        self.started.append(record)
        return record

    def record_of(self, process):
        """Return the record of a process."""
        (found,) = [
            record for record in self.started if record.process is process
        ]
        return found

    def tell(self, process, number):
        """Send a signal to a process, if it is running."""
        record = self.record_of(process)
        if record.is_running():
            record.told.append((signal.Signals(number), time.monotonic()))
            process.send_signal(number)

    async def watch(self):
        """Check repeatedly until cancelled."""
        while True:
            self.check()
            await trio.sleep(CHECK_INTERVAL_S)

    def check(self):
        """Check the processes that have ended or should have."""
        for record in self.started:
            if record.has_ended:
                continue
            if record.is_running():
                self._check_overdue(record)
            else:
                self._check_end(record)

    def _check_end(self, record):
        record.has_ended = True
        status = record.process.poll()
        if record.is_end_asked_for(status):
            self.world.log_event(
                f"{self._describe(record)} has ended as asked, with status "
                f"{status}"
            )
            return
        self.world.record_violation(
            f"{self._describe(record)} ended with status {status}, which "
            f"nobody had asked for\n{self.last_lines(record)}"
        )

    def _check_overdue(self, record):
        asked_at = record.told_at(signal.SIGTERM)
        if asked_at is None or record.is_overdue:
            return
        disturbed_until = self.world.disturbed_until.get(record.name, 0.0)
        since = max(asked_at, disturbed_until)
        if time.monotonic() - since > STOP_BOUND_S:
            record.is_overdue = True
            self.world.record_violation(
                f"{self._describe(record)} has not ended, "
                f"{time.monotonic() - asked_at:.2f} s after SIGTERM\n"
                f"{self.last_lines(record)}"
            )

    def _describe(self, record):
        trouble = self.troubles.get(record.name, "none")
        return (
            f"{record.name} (process {record.process.pid}, "
            f"{record.age_s():.2f} s old, sent {record.signals()}; "
            f"trouble: {trouble})"
        )

    def last_lines(self, record):
        """Return the last lines that were logged since a start."""
        lines = self.world.lines(record.name)[record.first_line :]
        return "\n".join(lines[-EXIT_LINES:]) or "(no line in its log)"

    def count(self):
        """Return the numbers of starts and of ends that were checked."""
        ended = [record for record in self.started if record.has_ended]
        return len(self.started), len(ended)

    def kill_all(self):
        for record in self.started:
            record.process.kill()
            record.process.wait()
