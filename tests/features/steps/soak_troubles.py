"""Troubles at the starts and stops of a soak's processes.

They come from a generator of their own, in series at each process, and
overlap with those of other processes and with the soak's faults.
"""

import contextlib
import dataclasses
import functools
import json
import random
import signal
import socket
import threading
import time

from soak_ends import cpu_wait_s
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.process.planned_stop import poll_until

MEAN_INTERVAL_S = 0.6
# Time at the end of the faults in which no trouble begins.
QUIET_END_S = 1.0
HANGUP_AGE_S = (0.1, 0.6)
HANGUPS = (2, 5)
STOP_AGE_S = (0.1, 1.5)
# Half of the stops come while the process is likely to be starting.
EARLY_STOP_AGE_S = (0.1, 0.4)
HOLD_S = (0.3, 2.5)
BROKEN_S = (0.3, 1.5)
# Shares of the processes that wait for an address or for settings which are
# stopped meanwhile, and which get SIGHUP once their settings are there.
STOPPED_SHARE = 0.25
HANGUP_SHARE = 0.5
RESTART_DELAY_S = (0.0, 0.5)
OVERLAP_S = (0.0, 1.0)
CHANGES = (3, 6)
CHANGES_DURATION_S = 1.0
# Between the signals to a process that is stopping.
REPEAT_INTERVAL_S = 0.02
# Between the halves of a settings file that is rewritten in place.
REWRITE_PAUSE_S = 0.02
# A process serves so long after the end of its trouble, or of a disturbance
# by the faults that came later.
SERVING_BOUND_S = 6.0
ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.1
HELD_ADDRESSES = {
    "entry": ("front", "ready", "peer", "control", "metrics"),
    "agent": ("control", "metrics"),
}
HTTP_ADDRESSES = {
    "entry": ("front", "ready", "control", "metrics"),
    "agent": ("control", "metrics"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Trouble:
    """A trouble that was drawn.

    Attributes
    ----------
    at_s : float
        Time from the start of the run; later if the process still has its
        former trouble.
    kind : str
        Name of the method that causes it.
    name : str
        Name of the process.
    source : random.Random
        Generator for the rest, which no other trouble uses.
    """

    at_s: float
    kind: str
    name: str
    source: random.Random


KINDS = (
    "send_hangups",
    "stop_early",
    "hold_address",
    "break_settings",
    "overlap",
    "change_while_stopping",
)


def draw_troubles(seed, names, seconds):
    """Return the troubles of a seed; each kind comes equally often."""
    source = random.Random(f"starts of {seed}")
    troubles, at_s = [], 0.0
    while True:
        kinds = source.sample(KINDS, len(KINDS))
        targets = source.sample(names, len(names))
        for kind, name in zip(kinds, targets, strict=False):
            at_s += source.expovariate(1 / MEAN_INTERVAL_S)
            if at_s > seconds - QUIET_END_S:
                return troubles
            number = len(troubles)
            troubles.append(
                Trouble(
                    at_s=at_s,
                    kind=kind,
                    name=name,
                    source=random.Random(f"start {number} of {seed}"),
                )
            )


class StartTroubles:
    """Causes the troubles of one run and checks that processes serve again.

    Parameters
    ----------
    world : Soak
    troubles : list of Trouble

    Attributes
    ----------
    open_series : int
        Processes that still have troubles before them.
    """

    def __init__(self, world, troubles):
        self.world = world
        self.ends = world.ends
        self.troubles = troubles
        self.series = {}
        for trouble in troubles:
            self.series.setdefault(trouble.name, []).append(trouble)
        self.open_series = len(self.series)
        self.began = time.monotonic()

    @property
    def are_over(self):
        return not self.open_series

    def start(self, nursery):
        """Begin the series of troubles of each process."""
        self.began = time.monotonic()
        for series in self.series.values():
            nursery.start_soon(self._run_series, series)

    async def _run_series(self, series):
        for trouble in series:
            delay_s = self.began + trouble.at_s - time.monotonic()
            await trio.sleep(max(0.0, delay_s))
            await self._run_trouble(trouble)
        self.open_series -= 1

    async def _run_trouble(self, trouble):
        name = trouble.name
        self._describe(trouble, "begins")
        await getattr(self, trouble.kind)(name, trouble.source)
        self.world.restart_if_ended(name)
        self.world.mark_fault()
        self._describe(trouble, "is over")
        await self.check_serving(name, time.monotonic())

    def _describe(self, trouble, state):
        description = f"{trouble.kind} {state}"
        self.ends.troubles[trouble.name] = description
        self.world.log_event(f"{trouble.name}: {description}")

    def _note(self, name, description):
        """Add what was drawn to the description of the trouble."""
        self.ends.troubles[name] += f", {description}"
        self.world.log_event(f"{name}: {description}")

    # The kinds of trouble. Each returns when its cause has gone.

    async def send_hangups(self, name, source):
        """Send SIGHUP several times while a process starts."""
        ages_s = sorted(
            source.uniform(*HANGUP_AGE_S)
            for _ in range(source.randint(*HANGUPS))
        )
        record = await self._start_anew(name)
        for age_s in ages_s:
            await self._wait_for_age(record, age_s)
            self.ends.tell(record.process, signal.SIGHUP)

    async def stop_early(self, name, source):
        """Stop a process soon after its start, and start it again."""
        span = source.choice((STOP_AGE_S, EARLY_STOP_AGE_S))
        age_s = source.uniform(*span)
        delay_s = source.uniform(*RESTART_DELAY_S)
        record = await self._start_anew(name)
        await self._wait_for_age(record, age_s)
        await self._stop(record)
        await trio.sleep(delay_s)

    async def hold_address(self, name, source):
        """Start a process while another socket has one of its addresses."""
        part = source.choice(HELD_ADDRESSES[self._role(name)])
        duration_s = source.uniform(*HOLD_S)
        self._note(name, f"{part} held for {duration_s:.2f} s")
        async with self._held_back(name):
            address = (self.world.hosts[name], self.world.ports[name][part])
            holder = socket.create_server(address)
        with holder:
            self.world.restart_if_ended(name)
            await self._let_wait(name, source, duration_s)

    async def break_settings(self, name, source):
        """Start a process before its settings are there or complete."""
        state = source.choice(("missing", "empty", "cut in half"))
        write = source.choice((self._replace, self._rewrite))
        duration_s = source.uniform(*BROKEN_S)
        self._note(name, f"settings {state} for {duration_s:.2f} s")
        path = self.world.settings_path(name)
        text = path.read_text()
        async with self._held_back(name):
            self._break(path, text, state)
        self.world.restart_if_ended(name)
        await self._let_wait(name, source, duration_s)
        await write(path, text)
        if source.random() < HANGUP_SHARE:
            record = self._record(name)
            await self._wait_for_age(record, HANGUP_AGE_S[0])
            self.ends.tell(record.process, signal.SIGHUP)

    async def overlap(self, name, source):
        """Start the successor of a process before that is told to stop."""
        delay_s = source.uniform(*OVERLAP_S)
        self.world.restart_if_ended(name)
        record = self._record(name)
        self.world.start_successor(name)
        self._note(name, f"stop {delay_s:.2f} s after the second start")
        await trio.sleep(delay_s)
        await self._wait_for_age(record, STOP_AGE_S[0])
        await self._stop(record)

    async def change_while_stopping(self, name, source):
        """Change the settings several times while a process stops."""
        times_s = sorted(
            source.uniform(0, CHANGES_DURATION_S)
            for _ in range(source.randint(*CHANGES))
        )
        stop_s = source.uniform(0, CHANGES_DURATION_S)
        write = source.choice((self._replace, self._rewrite))
        seeds = [source.sample(self.world.entries, 2) for _ in times_s]
        path = self.world.settings_path(name)
        text = path.read_text()
        self.world.restart_if_ended(name)
        record = self._record(name)
        await self._wait_for_age(record, HANGUP_AGE_S[0])
        change = functools.partial(self._change, record, path, write, text)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._stop_later, record, stop_s)
            for at_s, names in zip(times_s, seeds, strict=True):
                nursery.start_soon(change, at_s, names)
        await self._replace(path, text)

    # Parts of the troubles.

    def _role(self, name):
        return self.world.commands[name][0]

    def _record(self, name):
        return self.ends.record_of(self.world.processes[name])

    @contextlib.asynccontextmanager
    async def _held_back(self, name):
        """End a process; nothing else starts it in the meantime."""
        self.world.held_back.add(name)
        self.world.disturb(name)
        process = self.world.processes[name]
        self.ends.tell(process, signal.SIGKILL)
        await poll_until(lambda: process.poll() is not None)
        try:
            yield
        finally:
            self.world.held_back.discard(name)

    async def _start_anew(self, name):
        """End a process and start it; return the record of the start."""
        async with self._held_back(name):
            pass
        self.world.restart_if_ended(name)
        return self._record(name)

    async def _let_wait(self, name, source, duration_s):
        """Let a process wait; some are stopped and started meanwhile."""
        end = trio.current_time() + duration_s
        if source.random() < STOPPED_SHARE:
            record = self._record(name)
            age_s = source.uniform(STOP_AGE_S[0], duration_s)
            self._note(name, f"stop at {age_s:.2f} s")
            await self._wait_for_age(record, age_s)
            await self._stop(record)
            self.world.restart_if_ended(name)
        await trio.sleep(max(0.0, end - trio.current_time()))

    async def _wait_for_age(self, record, age_s):
        """Wait for an age and the program's first statement, or the end."""
        await trio.sleep(age_s - min(age_s, record.age_s()))
        await poll_until(lambda: record.has_begun() or not record.is_running())

    async def _stop(self, record):
        """Stop a process; if it doesn't end in time, kill it."""
        self.ends.tell(record.process, signal.SIGTERM)
        await poll_until(lambda: record.is_overdue or not record.is_running())
        self.ends.tell(record.process, signal.SIGKILL)
        await poll_until(lambda: not record.is_running())

    async def _stop_later(self, record, delay_s):
        """Stop a process and send SIGHUP again and again until it ends."""
        await trio.sleep(delay_s)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._repeat_hangups, record)
            await self._stop(record)

    async def _repeat_hangups(self, record):
        while record.is_running():
            await trio.sleep(REPEAT_INTERVAL_S)
            self.ends.tell(record.process, signal.SIGHUP)

    async def _change(self, record, path, write, text, at_s, names):
        """Change the seeds in the settings and send SIGHUP."""
        await trio.sleep(at_s)
        hosts = [self.world.hosts[name] for name in names]
        seeds = [f"{host}:1" for host in hosts]
        await write(path, json.dumps({**json.loads(text), "seeds": seeds}))
        self.ends.tell(record.process, signal.SIGHUP)

    @staticmethod
    def _break(path, text, state):
        if state == "missing":
            path.unlink()
        elif state == "empty":
            path.write_text("")
        else:
            path.write_text(text[: len(text) // 2])

    @staticmethod
    async def _replace(path, text):
        """Write a file whole and rename it."""
        new = path.with_suffix(".new")
        new.write_text(text)
        new.replace(path)

    @staticmethod
    async def _rewrite(path, text):
        """Write a file in place, one half after the other."""
        half = len(text) // 2
        path.write_text(text[:half])
        await trio.sleep(REWRITE_PAUSE_S)
        path.write_text(text)

    # Whether a process serves.

    async def check_serving(self, name, ended_at):
        """Wait until a process serves; record a violation if it doesn't.

        Parameters
        ----------
        name : str
        ended_at : float
            Monotonic time of the end of its trouble.
        """
        before_s = self._cpu_waits_s(name)
        while missing := await self._unanswered(name):
            after_s = self._cpu_waits_s(name)
            wait_s = sum(
                waited_s - before_s.get(task, 0.0)
                for task, waited_s in after_s.items()
            )
            if self._undisturbed_s(name, ended_at) - wait_s > SERVING_BOUND_S:
                self._record_not_serving(name, missing, ended_at)
                return
            await trio.sleep(POLL_INTERVAL_S)
        self.world.log_event(
            f"{name} serves {time.monotonic() - ended_at:.2f} s later"
        )

    def _cpu_waits_s(self, name):
        """Return how long a process and the soak have waited for a CPU.

        That is no part of the time in which a process has to serve again: on
        a busy machine it is longer than a start.
        """
        tasks = (
            str(self._record(name).process.pid),
            f"self/task/{threading.get_native_id()}",
        )
        return {task: cpu_wait_s(task) for task in tasks}

    def _undisturbed_s(self, name, ended_at):
        until = self.world.disturbed_until
        return time.monotonic() - max(
            ended_at, until.get(name, 0.0), until.get("store", 0.0)
        )

    def _record_not_serving(self, name, missing, ended_at):
        record = self._record(name)
        self.world.record_violation(
            f"{name} does not serve at {', '.join(missing)}, "
            f"{time.monotonic() - ended_at:.2f} s after its trouble: "
            f"{self.ends.troubles[name]}; exit status "
            f"{record.process.poll()}, sent {record.signals()}\n"
            f"{self.ends.last_lines(record)}"
        )

    async def _unanswered(self, name):
        """Return the addresses at which a process does not serve."""
        role = self._role(name)
        missing = [
            part
            for part in HTTP_ADDRESSES[role]
            if not await self._is_answered(name, part)
        ]
        if role == "entry" and not await self._accepts_peers(name):
            missing.append("peer")
        return missing

    async def _is_answered(self, name, part):
        """Whether an address answers; callers also need a configuration."""
        client = HttpClient(
            host=self.world.hosts[name],
            port=self.world.ports[name][part],
            max_connections=1,
        )
        try:
            response = await client.exchange(
                "GET", "/queue/", time_limit_s=ANSWER_TIMEOUT_S
            )
        except ExchangeError:
            return False
        await client.aclose()
        return part != "front" or response.status == 200

    async def _accepts_peers(self, name):
        with (
            contextlib.suppress(OSError),
            trio.move_on_after(ANSWER_TIMEOUT_S),
        ):
            stream = await trio.open_tcp_stream(
                self.world.hosts[name], self.world.ports[name]["peer"]
            )
            await stream.aclose()
            return True
        return False
