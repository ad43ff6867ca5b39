"""A deployment of real processes under seeded faults, with its promises.

Entries and agents run as processes; the store, the backend servers, proxies
before both, and the callers live on one loop beside them, where the promises
are checked while faults come and overlap.
"""

import contextlib
import functools
import json
import random
import signal
import tempfile
import time

from platform_adapter_steps import Deployment
from platform_adapter_steps import desired_state
from platform_adapter_steps import free_port
from platform_adapter_steps import job
from platform_adapter_steps import report_for_ever
from platform_standins import RunnerStandIn
from platform_standins import StandIns
from platform_standins import StoreStandIn
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.direct.job import Room
from egretcart.process.planned_stop import poll_until
from egretcart.request.verdict import Verdict
from egretcart.testing.fake_backend import TaskSize

RESEND_S = 1.3
PATIENCE_S = 8.0
CALM_BEFORE_STOP_S = 3.0
GRACE_S = 6.0
SETTLE_S = 6.0
# A machine that is busy with other work slows everything; only what never
# comes is a broken promise.
LIMIT_S = 60.0
WORK_MS = (50.0, 120.0, 400.0, 1500.0)
JOBS_PER_S = 12
CHUNK_BYTES = 65536


class Proxy:
    """Passes connections on, and spoils them on demand."""

    def __init__(self, port):
        self.port = port
        self.delay_s = 0.0
        self.open = set()
        self.silent = set()

    async def handle(self, near):
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(
                "127.0.0.1", self.port
            ) as far:
                pair = (near, far)
                self.open.add(pair)
                async with near, trio.open_nursery() as nursery:
                    nursery.start_soon(self._pump, near, far, pair, nursery)
                    nursery.start_soon(self._pump, far, near, pair, nursery)
                self.open.discard(pair)
                self.silent -= {(pair, near), (pair, far)}

    async def _pump(self, source, sink, pair, nursery):
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            while data := await source.receive_some(CHUNK_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                if (pair, source) not in self.silent:
                    await sink.send_all(data)
        nursery.cancel_scope.cancel()

    def silence(self, source):
        """Let open connections pass nothing more, one way or both."""
        for near, far in self.open:
            ends = {"near": (near,), "far": (far,), "both": (near, far)}
            self.silent |= {((near, far), end) for end in ends[source]}

    def reset(self):
        for near, far in list(self.open):
            near.socket.close()
            far.socket.close()


class SoakRunner(RunnerStandIn):
    """A backend server whose starts are compared with all others'."""

    def __init__(self, *, name, world):
        super().__init__(name=name)
        self.world = world
        self.last = time.monotonic()
        self.backend.behaviour_of = lambda key: TaskSize(
            room=Room(1600, 64, 0), work_ms=work_ms(key.job_id)
        )
        start = self.backend.start

        def checked(request):
            world.advance()
            before = len(self.backend.started)
            answer = start(request)
            if len(self.backend.started) > before:
                world.check_start(self, request.key)
            return answer

        self.backend.start = checked

    async def run(self):
        while True:
            await trio.sleep(0.005)
            self.advance()

    def advance(self):
        now = time.monotonic()
        self.ended |= self.backend.advance((now - self.last) * 1000)
        self.last = now

    async def handle(self, request):
        if not self.backend.is_up:
            await trio.sleep_forever()
        return await super().handle(request)


def work_ms(job_id):
    return WORK_MS[int(job_id, 16) % len(WORK_MS)]


class Soak(Deployment):
    """One seeded run.

    Attributes
    ----------
    violations : list of str
    told : list of str
        The faults, as they came.
    """

    def __init__(self, context, seed):
        self.source = random.Random(seed)
        # Callers draw at times that vary, and must not change the faults.
        self.caller_source = random.Random(f"callers of {seed}")
        self.violations, self.told = [], []
        self.answers, self.tries = {}, {}
        self.stopped, self.fault_at = {}, time.monotonic()
        self.seen_versions = {}
        self.settings, self.commands = {}, {}
        self.version = 1
        self.loading = True
        self.runners, self.proxies, self.open_jobs = {}, [], 0
        self.began = time.monotonic()
        self.stand_ins = StandIns()
        self.store = StoreStandIn()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        context.add_cleanup(self.close)
        self.store_port = self.stand_ins.serve(self.store.handle)
        self.peer_port = free_port()
        net = f"127.{1 + seed % 200}"
        self.entries = [f"entry-{n}" for n in range(1, 4)]
        self.agents = [f"agent-{n}" for n in range(1, 4)]
        names = self.entries + self.agents
        self.hosts = {name: f"{net}.0.{n + 1}" for n, name in enumerate(names)}
        self.store.put("op/config", self._desired_state())
        parts = ("front", "ready", "control", "metrics")
        self.ports = {
            name: {part: free_port() for part in parts} for name in names
        }
        for name in self.agents:
            self._start_agent(name)
        for name in self.entries:
            self._start_entry(name)

    # Building; the settings name proxies in place of store and runners.

    def _proxied(self, name, port):
        proxy = Proxy(port)
        self.proxies.append((name, proxy))

        async def start():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            self.stand_ins.nursery.start_soon(
                trio.serve_listeners, proxy.handle, listeners
            )
            return listeners[0].socket.getsockname()[1]

        return self.stand_ins.call(start)

    def _settings(self, name):
        """Return the settings of a process, the same in all its lives."""
        if name not in self.settings:
            port = self._proxied(f"{name}'s store", self.store_port)
            store = {"store": f"127.0.0.1:{port}"}
            self.settings[name] = {**super()._settings(name), **store}
        return self.settings[name]

    def _start_agent(self, name):
        runner = self.runners[name] = SoakRunner(name=f"i-{name}", world=self)
        self.stand_ins.start_soon(runner.run)
        port = self._proxied(
            f"{name}'s runner", self.stand_ins.serve(runner.handle)
        )
        self.stand_ins.start_soon(
            report_for_ever,
            runner,
            self.hosts[name],
            self.ports[name]["control"],
        )
        self._start(name, "agent", {"backend": f"127.0.0.1:{port}"})

    # Promises, checked on the stand-ins' loop.

    def advance(self):
        for runner in self.runners.values():
            runner.advance()

    def check_start(self, runner, key):
        for name, other in self.runners.items():
            if other is not runner and key in other.backend.runs:
                self.violate(f"{key} runs at {name} as well")
        refused = self.answers.get(key.job_id) == 503
        if refused and self.tries[key.job_id] == 1:
            self.violate(f"{key} runs though its job was refused")

    def violate(self, what):
        self.violations.append(f"{time.monotonic() - self.began:.3f} {what}")

    async def call_jobs(self):
        """Submit jobs until the load ends, each as a caller would."""
        while self.loading:
            job_id = f"{self.caller_source.getrandbits(64):016x}"
            self.open_jobs += 1
            self.stand_ins.nursery.start_soon(self._one_job, job_id)
            await trio.sleep(self.caller_source.expovariate(JOBS_PER_S))

    async def _one_job(self, job_id):
        end = trio.current_time() + PATIENCE_S
        body = json.dumps(job(count=int(job_id, 16) % 5 + 1)).encode()
        self.tries[job_id] = 0
        while trio.current_time() < end and job_id not in self.answers:
            self.tries[job_id] += 1
            name = self.caller_source.choice(self.entries)
            status = await self._try_job(name, job_id, body, end)
            if status in (200, 503):
                self.answers[job_id] = status
                self._check_refusal(job_id, status)
            else:
                await trio.sleep(RESEND_S)
        self.open_jobs -= 1
        if job_id not in self.answers:
            self.answers[job_id] = 0

    def _check_refusal(self, job_id, status):
        """A job that was refused at its only try has not begun."""
        if status == 503 and self.tries[job_id] == 1:
            for name, runner in self.runners.items():
                if any(
                    key.job_id == job_id for key, _ in runner.backend.started
                ):
                    self.violate(f"{job_id} was refused and began at {name}")

    async def _try_job(self, name, job_id, body, end):
        client = HttpClient(
            host=self.hosts[name],
            port=self.ports[name]["front"],
            max_connections=1,
        )
        asked_at = time.monotonic()
        try:
            response = await client.exchange(
                "POST",
                f"/queue/{job_id}",
                body=body,
                time_limit_s=max(0.01, end - trio.current_time()),
            )
        except ExchangeError as error:
            self._check_cut(name, job_id, asked_at, error)
            return None
        await client.aclose()
        if response.status not in (200, 502, 503):
            self.violate(f"{job_id} got status {response.status}")
        return response.status

    def _check_cut(self, name, job_id, asked_at, error):
        """A planned stop cuts no request that was read."""
        stop = self.stopped.get(name)
        calm = stop and self.fault_at < stop - CALM_BEFORE_STOP_S
        broken = "no response" not in str(error)
        if calm and broken and error.verdict is Verdict.MAY_HAVE_RUN:
            self.violate(f"{name} cut {job_id} of {asked_at - stop:+.2f} s")

    async def watch_versions(self):
        """Ask every entry for the newest version; it never goes back."""
        while True:
            for name in self.entries:
                await self._ask_version(name)
            await trio.sleep(0.1)

    async def _ask_version(self, name):
        process, version = self.processes[name], self.version
        client = HttpClient(
            host=self.hosts[name],
            port=self.ports[name]["front"],
            max_connections=1,
        )
        try:
            response = await client.exchange(
                "GET",
                f"/v{version}/",
                time_limit_s=1.0,
            )
        except ExchangeError:
            return
        await client.aclose()
        seen = self.seen_versions.setdefault(process.pid, 0)
        if response.status == 200:
            self.seen_versions[process.pid] = max(seen, version)
        elif response.status == 404 and version == self.version <= seen:
            # A version that came meanwhile may have dropped the route.
            self.violate(f"{name} has gone back from version {seen}")

    # Faults.

    def say(self, what):
        self.told.append(f"{time.monotonic() - self.began:.3f} {what}")

    def cause_fault(self):
        faults = (
            self._kill,
            self._kill,
            self._pause,
            self._spoil_store,
            self._spoil_proxy,
            self._spoil_proxy,
            self._crash_runner,
            self._slow_runner,
            self._lose_orders,
            self._new_version,
        )
        self.fault_at = time.monotonic()
        self.source.choice(faults)()

    def _kill(self):
        name = self.source.choice(self.entries + self.agents)
        self.say(f"kill {name}")
        self._end(name, signal.SIGKILL)
        self._later(self.source.uniform(0, 1.5), lambda: self._again(name))

    def _end(self, name, number):
        self.processes[name].send_signal(number)

    def _again(self, name):
        process = self.processes[name]
        if process.poll() is None:
            return
        role, more = self.commands[name]
        self._start(name, role, more)

    def _start(self, name, role, more):
        self.commands[name] = (role, more)
        super()._start(name, role, more)

    def _pause(self):
        name = self.source.choice(self.entries + self.agents)
        for_s = self.source.uniform(0.1, 3)
        process = self.processes[name]
        self.say(f"pause {name} for {for_s:.1f} s")
        process.send_signal(signal.SIGSTOP)
        self._later(for_s, lambda: process.send_signal(signal.SIGCONT))

    def _spoil_store(self):
        mode = self.source.choice(("busy", "silent", "lost", "gone", "leases"))
        self.say(f"store {mode}")
        if mode == "gone":
            self.store.history_from = self.store.revision
        elif mode == "leases":
            for lease in list(self.store.leases):
                self.store.revoke(lease)
        else:
            self.store.mode = mode
            self._later(
                self.source.uniform(0.5, 4),
                lambda: setattr(self.store, "mode", "sound"),
            )

    def _spoil_proxy(self):
        name, proxy = self.source.choice(self.proxies)
        kind = self.source.choice(("reset", "near", "far", "both", "delay"))
        self.say(f"proxy of {name}: {kind}")
        if kind == "reset":
            proxy.reset()
        elif kind == "delay":
            proxy.delay_s = self.source.uniform(0.02, 0.5)
            self._later(2.0, lambda: setattr(proxy, "delay_s", 0.0))
        else:
            proxy.silence(kind)

    def _crash_runner(self):
        name = self.source.choice(self.agents)
        backend = self.runners[name].backend
        self.say(f"crash the runner of {name}")
        backend.crash()
        born_ms = int(time.time() * 1000)
        self._later(
            self.source.uniform(0.5, 3),
            functools.partial(backend.restart, born_ms=born_ms),
        )

    def _slow_runner(self):
        backend = self.runners[self.source.choice(self.agents)].backend
        backend.clock_rate = self.source.uniform(0.98, 1.0)
        backend.speed = self.source.choice((0.2, 1.0, 2.0))
        self.say(f"{backend.instance} at speed {backend.speed}")

    def _lose_orders(self):
        name = self.source.choice(self.agents)
        self.say(f"orders to {name} unanswered")
        self.runners[name].unanswered += self.source.randint(1, 6)

    def _new_version(self):
        version = self.version + self.source.randint(1, 3)
        self.version = version
        self.store.put("op/config", self._desired_state())
        self.say(f"version {version}")

    def _desired_state(self):
        """Return a state with a queue, and one that this version brings."""
        state = json.loads(desired_state(self.version))
        route = state["routes"][0]
        state["routes"] = [
            {
                **route,
                "name": f"{name}-{prefix}",
                "host": self.hosts[name],
                "prefix": prefix,
            }
            for name in self.entries
            for prefix in ("/queue/", f"/v{self.version}/")
        ]
        return json.dumps(state).encode()

    def _later(self, delay_s, action):
        async def act():
            await trio.sleep(delay_s)
            with contextlib.suppress(ProcessLookupError):
                action()

        self.stand_ins.nursery.start_soon(act)

    # A run.

    def run(self, seconds):
        """Play faults, then let all settle, then stop an entry in calm."""
        self.stand_ins.start_soon(self.call_jobs)
        self.stand_ins.start_soon(self.watch_versions)

        async def play():
            end = trio.current_time() + seconds
            await trio.sleep(2.0)
            while trio.current_time() < end:
                self.cause_fault()
                await trio.sleep(self.source.expovariate(2.0))

        self.stand_ins.call(play)
        self.stand_ins.call(self._settle)

    async def _settle(self):
        self.say("no more faults")
        self.store.mode = "sound"
        await trio.sleep(SETTLE_S)
        for name, process in self.processes.items():
            if process.poll() is not None:
                self.violate(f"{name} has ended with {process.returncode}")
        await self._stop_in_calm(self.source.choice(self.entries))
        self.loading = False
        with trio.move_on_after(LIMIT_S):
            await poll_until(lambda: not self.open_jobs)
        await self._check_end()

    async def _stop_in_calm(self, name):
        self.say(f"stop {name}")
        self.stopped[name] = time.monotonic()
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        with trio.move_on_after(LIMIT_S):
            await poll_until(lambda: process.poll() is not None)
        if process.poll() != 0:
            self.violate(f"{name} ended its stop with {process.poll()}")
        self.stopped[name] += GRACE_S
        self._again(name)

    async def _check_end(self):
        for name, runner in self.runners.items():
            for what in runner.backend.violations:
                self.violate(f"{name}: {what}")
        if self.open_jobs:
            self.violate(f"{self.open_jobs} callers still wait")
        for name in self.entries:
            if not await self._serves(name):
                self.violate(f"{name} serves no job after the faults")

    async def _serves(self, name):
        """Whether an entry completes a job, in however many tries."""
        end = trio.current_time() + LIMIT_S
        body = json.dumps(job()).encode()
        while trio.current_time() < end:
            job_id = f"{self.caller_source.getrandbits(64):016x}"
            if await self._try_job(name, job_id, body, end) == 200:
                return True
            await trio.sleep(RESEND_S)
        return False

    @property
    def outcome(self):
        """How many jobs were completed, refused and not answered."""
        answers = list(self.answers.values())
        counts = [answers.count(status) for status in (200, 503, 0)]
        return "{} completed, {} refused, {} unanswered".format(*counts)
