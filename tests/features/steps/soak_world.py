"""A deployment of processes under seeded random faults.

Entries and agents run as processes. The store, the backend servers and the
callers run on one event loop in the test process, and so do the proxies
through which each process reaches the store and each agent its backend
server. The promises are checked on that loop while faults occur and overlap.
"""

import contextlib
import functools
import json
import math
import random
import signal
import tempfile
import time

from bad_values import bad_jobs
from bad_values import bad_reports
from bad_values import REPORT
from platform_deployment import Deployment
from platform_deployment import desired_state
from platform_deployment import job
from platform_deployment import report_for_ever
from platform_standins import RunnerStandIn
from platform_standins import StandIns
from platform_standins import StoreStandIn
from soak_ends import EXIT_LINES
from soak_ends import ProcessEnds
from soak_troubles import draw_troubles
from soak_troubles import StartTroubles
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_listener import FIRST_REQUEST_GRACE_S
from egretcart.direct.request.job import Room
from egretcart.process.planned_stop import poll_until
from egretcart.request.verdict import Verdict
from egretcart.testing.fake_backend import TaskSize

RESUBMIT_DELAY_S = 1.3
CALLER_WAIT_LIMIT_S = 8.0
# Share of submissions whose connection goes silent, unnoticed by the entry, so
# that their callers submit the job again while it may be running.
SILENT_CONNECTION_SHARE = 0.15
FAULT_FREE_BEFORE_STOP_S = 3.0
STOP_MARGIN_S = 0.5
STOP_GRACE_S = 6.0
RECOVERY_WAIT_S = 6.0
# Long, because other work on the machine may slow the processes; a promise is
# broken only if the awaited event doesn't happen at all.
COMPLETION_TIMEOUT_S = 60.0
# One job in so many has a task that crashes its server, after so much work.
CRASHING_JOBS = 150
CRASH_AFTER_MS = 60.0
# A task that has crashed three runners may be started twice more.
MAX_CRASHES = 5
TASK_WORK_MS = (50.0, 120.0, 400.0, 1500.0)
JOBS_PER_S = 12
PROXY_DISTURBANCE_S = 2.0
CHUNK_BYTES = 65536
# Failure domains may be drained from then on, for so long, so often.
FIRST_DRAIN_S = 1.0
DRAIN_DURATION_S = (0.2, 12.0)
DRAIN_INTERVAL_S = 4.0
# From the write of a drain to the last start in that failure domain, by
# agents that were undisturbed for STABLE_S, and so was the store.
DRAIN_BOUND_S = 5.0
STABLE_S = 2.0
# The agent whose runner changes its service each time it starts anew, and the
# services of the others and of a route that nobody uses.
CHANGING_AGENT = "agent-3"
SERVICES = ("service-1", "service-2")
BAD_VALUES_PER_S = 3
# Mean time between the requests on a connection that a caller keeps open.
KEPT_REQUEST_INTERVAL_S = 0.3


class Proxy:
    """Forwards TCP connections to a port and disturbs them on request.

    Attributes
    ----------
    port : int
        Port that connections are forwarded to.
    delay_s : float
        Delay before data is forwarded, in seconds; 0 means none.
    open : set of (stream, stream)
        Open connections: the end at the client and the end at the server.
    silent : set of (pair, stream)
        Ends whose data is dropped, each with its pair in `open`.
    """

    def __init__(self, port):
        self.port = port
        self.delay_s = 0.0
        self.open = set()
        self.silent = set()

    async def handle(self, client_end):
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream(
                "127.0.0.1", self.port
            ) as server_end:
                pair = (client_end, server_end)
                self.open.add(pair)
                async with client_end, trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._pump, client_end, server_end, pair, nursery
                    )
                    nursery.start_soon(
                        self._pump, server_end, client_end, pair, nursery
                    )
                self.open.discard(pair)
                self.silent -= {(pair, client_end), (pair, server_end)}

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
        """Drop all further data of open connections, one way or both.

        Parameters
        ----------
        source : str
            "client" drops data from the client, "server" data from the
            server, "both" drops both.
        """
        for client_end, server_end in self.open:
            ends = {
                "client": (client_end,),
                "server": (server_end,),
                "both": (client_end, server_end),
            }
            self.silent |= {
                ((client_end, server_end), end) for end in ends[source]
            }

    def reset(self):
        for client_end, server_end in list(self.open):
            client_end.socket.close()
            server_end.socket.close()


class SoakRunner(RunnerStandIn):
    """A backend server whose starts are checked against all others.

    Attributes
    ----------
    world : Soak
    last_advanced_at : float
        Monotonic time up to which the tasks have run.
    """

    def __init__(self, *, name, world):
        super().__init__(name=name)
        self.world = world
        self.last_advanced_at = time.monotonic()
        self.backend.behaviour_of = lambda key: TaskSize(
            room=Room(1600, 64, 0),
            work_ms=work_ms(key.job_id),
            crashes_after_ms=crashes_after_ms(key),
        )
        start = self.backend.start

        def start_and_check(request):
            world.advance()
            before = len(self.backend.started)
            former = self.backend.runs.get(request.key)
            answer = start(request)
            if len(self.backend.started) > before:
                if former is not None:
                    world.record_violation(
                        f"{request.key} starts on top of its run {former.run}"
                    )
                world.check_start(self, request.key)
                world.check_drain(self, request.key)
            return answer

        self.backend.start = start_and_check

    async def run(self):
        while True:
            await trio.sleep(0.005)
            self.advance()

    def advance(self):
        now = time.monotonic()
        crashes = len(self.backend.crashed_by)
        self.ended |= self.backend.advance(
            (now - self.last_advanced_at) * 1000
        )
        self.last_advanced_at = now
        if len(self.backend.crashed_by) > crashes:
            self.world.check_crash(self)

    async def handle(self, request):
        if not self.backend.is_up:
            await trio.sleep_forever()
        return await super().handle(request)


def domain_of(name):
    """Return the failure domain of an entry or agent."""
    return f"zone-{name.rpartition('-')[2]}"


def work_ms(job_id):
    return TASK_WORK_MS[int(job_id, 16) % len(TASK_WORK_MS)]


def crashes_after_ms(key):
    """Return when a task crashes its server, which few tasks do."""
    is_crashing = int(key.job_id, 16) % CRASHING_JOBS == 0 and key.index == 0
    return CRASH_AFTER_MS if is_crashing else math.inf


class Soak(Deployment):
    """One run of a deployment with the faults of one seed.

    Attributes
    ----------
    violations : list of str
        Broken promises, each with its time since the start of the run.
    event_log : list of str
        Faults and planned stops in order, each with its time since the start
        of the run.
    fault_random, caller_random, drain_random : random.Random
        Generators for the faults, the callers and the drains.
    drained_since : dict of str to float
        Monotonic time of the write of each drain, by failure domain.
    disturbed_until : dict of str to float
        Monotonic time of the end of the last disturbance of a process, or of
        the store under ``store``; infinite while it lasts.
    answers : dict of str to int
        Final status by job ID; 0 if the caller timed out.
    submission_counts : dict of str to int
        How often each job was submitted, by job ID.
    refusal_counts : dict of str to int
        How often each job was refused as not run, by job ID.
    stopped : dict of str to float
        Monotonic time of a planned stop, by entry name. Once the process has
        ended, `STOP_GRACE_S` is added.
    last_fault_at : float
        Monotonic time of the last fault.
    seen_versions : dict of int to int
        Highest version that a process was seen to serve, by process ID.
    settings : dict of str to dict
        By process name.
    commands : dict of str to (str, dict)
        Role and role-specific settings of each process, by its name.
    version : int
        Newest version of the desired state.
    is_submitting : bool
        Whether callers submit new jobs.
    runners : dict of str to SoakRunner
        By the name of their agent.
    proxies : list of (str, Proxy)
        Each with a description of its target.
    open_jobs : int
        Callers that still wait for an answer.
    began : float
        Monotonic time at the start of the run.
    ends : ProcessEnds
        All processes that were started, and the check of their ends.
    successors : dict of str to subprocess.Popen
        Process that was started beside the one of that name, to follow it.
    held_back : set of str
        Names of the processes that are not to be started for now.
    """

    def __init__(self, context, seed):
        self.seed = seed
        self.fault_random = random.Random(seed)
        # The callers' draws depend on timing; a separate generator keeps them
        # from changing the sequence of faults.
        self.caller_random = random.Random(f"callers of {seed}")
        self.drain_random = random.Random(f"drains of {seed}")
        self.bad_random = random.Random(f"bad values of {seed}")
        self.kept_random = random.Random(f"kept connections of {seed}")
        self.drained_since, self.disturbed_until = {}, {}
        self.ends = ProcessEnds(self)
        self.successors, self.held_back = {}, set()
        self.violations, self.event_log = [], []
        self.answers, self.submission_counts = {}, {}
        self.refusal_counts = {}
        self.stopped, self.last_fault_at = {}, time.monotonic()
        self.seen_versions = {}
        self.settings, self.commands = {}, {}
        self.version = 1
        self.is_submitting = True
        self.runners, self.proxies, self.open_jobs = {}, [], 0
        self.began = time.monotonic()
        self.stand_ins = StandIns()
        self.store = StoreStandIn()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        context.add_cleanup(self.close)
        self.store_port = self.stand_ins.serve(self.store.handle)
        self.entries = [f"entry-{n}" for n in range(1, 4)]
        self.agents = [f"agent-{n}" for n in range(1, 4)]
        self._claim_addresses(self.entries + self.agents)
        self.store.put("op/config", self._desired_state())
        for name in self.agents:
            self._start_agent(name)
        for name in self.entries:
            self._start_entry(name)

    # Starting the deployment. In the settings, the addresses of proxies stand
    # for those of the store and the runners.

    def _start_proxy(self, name, port):
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
        """Return the settings of a process, the same after each restart."""
        if name not in self.settings:
            port = self._start_proxy(f"{name}'s store", self.store_port)
            self.settings[name] = {
                **super()._settings(name),
                "store": f"127.0.0.1:{port}",
                "failure_domain": domain_of(name),
                "max_drain_delay_ms": 1000 * DRAIN_BOUND_S,
            }
        return self.settings[name]

    def _start_agent(self, name):
        runner = self.runners[name] = SoakRunner(name=f"i-{name}", world=self)
        self.stand_ins.start_soon(runner.run)
        port = self._start_proxy(
            f"{name}'s runner", self.stand_ins.serve(runner.handle)
        )
        self.stand_ins.start_soon(
            report_for_ever,
            runner,
            self.hosts[name],
            self.ports[name]["control"],
        )
        self._start(
            name,
            "agent",
            {"backend": f"127.0.0.1:{port}", "suspects_servers": True},
        )

    # Checks of the promises, on the event loop of the stand-ins.

    def advance(self):
        for runner in self.runners.values():
            runner.advance()

    def check_start(self, runner, key):
        for name, other in self.runners.items():
            if other is not runner and key in other.backend.runs:
                self.record_violation(f"{key} runs at {name} at the same time")
        if self._is_refused(key.job_id):
            self.record_violation(f"{key} runs although its job was refused")
        if runner.backend.service != SERVICES[0]:
            self.record_violation(
                f"{key} starts at a runner of {runner.backend.service}"
            )

    def check_drain(self, runner, key):
        """Check that an undisturbed agent starts nothing that is drained."""
        name = runner.backend.instance.removeprefix("i-")
        now = time.monotonic()
        since = self.drained_since.get(domain_of(name), now)
        undisturbed_s = now - max(
            self.disturbed_until.get(name, 0.0),
            self.disturbed_until.get("store", 0.0),
        )
        if now - since > DRAIN_BOUND_S and undisturbed_s > STABLE_S:
            self.record_violation(
                f"{key} starts at {name}, drained {now - since:.2f} s ago"
            )

    async def drain_domains(self):
        """Drain one or two of the three failure domains at a time."""
        await trio.sleep(FIRST_DRAIN_S)
        while True:
            domain = domain_of(self.drain_random.choice(self.agents))
            duration_s = self.drain_random.uniform(*DRAIN_DURATION_S)
            if domain not in self.drained_since and (
                len(self.drained_since) < len(self.agents) - 1
            ):
                self._write_drain(domain, duration_s)
            await trio.sleep(
                self.drain_random.expovariate(1 / DRAIN_INTERVAL_S)
            )

    def _write_drain(self, domain, duration_s):
        self.log_event(f"drain {domain} for {duration_s:.1f} s")
        self.store.put(f"op/evacuate/{domain}", b"{}")
        self.drained_since[domain] = time.monotonic()
        self._run_later(duration_s, functools.partial(self._take_back, domain))

    def _take_back(self, domain):
        self.store.delete(f"op/evacuate/{domain}")
        self.drained_since.pop(domain, None)

    def record_violation(self, description):
        self.violations.append(
            f"{time.monotonic() - self.began:.3f} {description}"
        )

    async def submit_jobs(self):
        """Submit jobs until the load ends; each caller resubmits its job."""
        while self.is_submitting:
            job_id = f"{self.caller_random.getrandbits(64):016x}"
            self.open_jobs += 1
            self.stand_ins.nursery.start_soon(
                self._submit_until_answered, job_id
            )
            await trio.sleep(self.caller_random.expovariate(JOBS_PER_S))

    async def _submit_until_answered(self, job_id):
        end = trio.current_time() + CALLER_WAIT_LIMIT_S
        body = json.dumps(job(count=int(job_id, 16) % 5 + 1)).encode()
        self.submission_counts[job_id] = 0
        while trio.current_time() < end and job_id not in self.answers:
            self.submission_counts[job_id] += 1
            name = self.caller_random.choice(self.entries)
            if self.caller_random.random() < SILENT_CONNECTION_SHARE:
                # The entry does not learn that its answer will reach nobody.
                self.stand_ins.nursery.start_soon(
                    self._submit_once, name, job_id, body, end
                )
                await trio.sleep(RESUBMIT_DELAY_S)
                continue
            status = await self._submit_once(name, job_id, body, end)
            if status in (200, 503):
                self.answers[job_id] = status
            else:
                await trio.sleep(RESUBMIT_DELAY_S)
        self.open_jobs -= 1
        if job_id not in self.answers:
            self.answers[job_id] = 0

    def _is_refused(self, job_id):
        """Whether all submissions of a job were refused."""
        return self.refusal_counts.get(job_id) == self.submission_counts.get(
            job_id, 0
        )

    def _check_refusal(self, job_id):
        """Check that a job whose submissions were all refused didn't start."""
        if self._is_refused(job_id):
            for name, runner in self.runners.items():
                if any(
                    key.job_id == job_id for key, _ in runner.backend.started
                ):
                    self.record_violation(
                        f"{job_id} was refused but started at {name}"
                    )

    async def _submit_once(self, name, job_id, body, end):
        client = self._client(name)
        status = await self._exchange_job(client, name, job_id, body, end)
        if status is not None:
            await client.aclose()
        return status

    def _client(self, name):
        return HttpClient(
            host=self.hosts[name],
            port=self.ports[name]["front"],
            max_connections=1,
        )

    async def use_open_connection(self, name):
        """Submit jobs to an entry on a connection that is kept open."""
        client = self._client(name)
        while self.is_submitting:
            job_id = f"{self.kept_random.getrandbits(64):016x}"
            self.submission_counts[job_id] = 1
            await self._exchange_job(
                client,
                name,
                job_id,
                json.dumps(job(count=1)).encode(),
                trio.current_time() + CALLER_WAIT_LIMIT_S,
                is_kept=True,
            )
            await trio.sleep(
                self.kept_random.expovariate(1 / KEPT_REQUEST_INTERVAL_S)
            )

    async def _exchange_job(
        self, client, name, job_id, body, end, *, is_kept=False
    ):
        """Submit a job; return the status, or None without a response."""
        submitted_at = time.monotonic()
        sent_at = []
        try:
            response = await client.exchange(
                "POST",
                f"/queue/{job_id}",
                body=body,
                time_limit_s=max(0.01, end - trio.current_time()),
                check_before_send=lambda: sent_at.append(time.monotonic()),
            )
        except ExchangeError as error:
            if not is_kept or self._has_logged(name, job_id):
                self._check_broken_exchange(
                    name, job_id, submitted_at, sent_at, error
                )
            return None
        if response.status == 503:
            self.refusal_counts[job_id] = 1 + self.refusal_counts.get(
                job_id, 0
            )
            self._check_refusal(job_id)
        if response.status not in (200, 502, 503):
            self.record_violation(f"{job_id} got status {response.status}")
        return response.status

    def _has_logged(self, name, job_id):
        return any(job_id in line for line in self.lines(name))

    def _check_broken_exchange(
        self, name, job_id, submitted_at, sent_at, error
    ):
        """Check that a planned stop breaks off no request that was read.

        The check applies only if the last fault was well before the stop.
        An entry that stops keeps a new connection open for a moment, and may
        close it if nothing has been sent by then; it logs each job that it
        reads.
        """
        stop = self.stopped.get(name)
        is_fault_free = (
            stop and self.last_fault_at < stop - FAULT_FREE_BEFORE_STOP_S
        )
        broken = "no response" not in str(error)
        if not is_fault_free or not broken:
            return
        if error.verdict is not Verdict.MAY_HAVE_RUN:
            return
        known = [line for line in self.lines(name) if job_id in line]
        delay_s = sent_at[0] - submitted_at
        if delay_s > FIRST_REQUEST_GRACE_S and not known:
            self.log_event(
                f"{name} closed the connection of {job_id} unread, which its "
                f"caller had opened up to {delay_s:.2f} s before"
            )
            return
        self.record_violation(
            f"{name} broke off {job_id}, submitted "
            f"{submitted_at - stop:+.2f} s and sent "
            f"{sent_at[0] - stop:+.2f} s from its stop: {error}; the "
            f"entry has logged of it: {known}"
        )

    async def _is_ready(self, name):
        """Whether an entry tells the load balancer that it is ready."""
        client = HttpClient(
            host=self.hosts[name],
            port=self.ports[name]["ready"],
            max_connections=1,
        )
        try:
            response = await client.exchange("GET", "/ready", time_limit_s=1.0)
        except ExchangeError:
            return False
        await client.aclose()
        return response.status == 200

    async def watch_versions(self):
        """Check that the version of an entry process never decreases."""
        while True:
            for name in self.entries:
                await self._check_version(name)
            await trio.sleep(0.1)

    async def _check_version(self, name):
        process, version = self.processes[name], self.version
        if name in self.successors:
            return
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
        if name in self.successors:
            # Which of the two processes has answered is not known.
            return
        seen = self.seen_versions.setdefault(process.pid, 0)
        if response.status == 200:
            self.seen_versions[process.pid] = max(seen, version)
        elif response.status == 404 and version == self.version <= seen:
            # The 404 counts only if no newer version, which may have removed
            # the route, was written meanwhile.
            self.record_violation(
                f"{name} went back to a version before {seen}"
            )

    # Injection of faults.

    def log_event(self, description):
        self.event_log.append(
            f"{time.monotonic() - self.began:.3f} {description}"
        )

    def inject_fault(self):
        faults = (
            self._kill,
            self._kill,
            self._pause,
            self._disturb_store,
            self._disturb_connections,
            self._disturb_connections,
            self._crash_runner,
            self._change_runner_speed,
            self._lose_replies,
            self._new_version,
        )
        self.mark_fault()
        self.fault_random.choice(faults)()

    def disturb(self, name, duration_s=0.0):
        """Record that a process or the store is disturbed."""
        self.disturbed_until[name] = max(
            self.disturbed_until.get(name, 0.0),
            time.monotonic() + duration_s,
        )

    def _kill(self):
        name = self.fault_random.choice(self.entries + self.agents)
        self.log_event(f"kill {name}")
        self.disturb(name)
        delay_s = self.fault_random.uniform(0, 1.5)
        self._send_signal(name, signal.SIGKILL)
        process = self.processes[name]

        async def restart():
            await trio.sleep(delay_s)
            await poll_until(lambda: process.poll() is not None)
            self.restart_if_ended(name)

        self.stand_ins.nursery.start_soon(restart)

    def _send_signal(self, name, number):
        self.ends.tell(self.processes[name], number)

    def restart_if_ended(self, name):
        """Start an ended process, or let its successor take its place."""
        if self.processes[name].poll() is None or name in self.held_back:
            return
        self.disturb(name)
        successor = self.successors.pop(name, None)
        if successor is not None and successor.poll() is None:
            self.processes[name] = successor
        else:
            self.processes[name] = self._start_recorded(name)

    def start_successor(self, name):
        """Start a process beside the one of that name, to follow it."""
        self.successors[name] = self._start_recorded(name)

    def _start_recorded(self, name):
        role, _ = self.commands[name]
        process = self._start_process(name, role)
        self.ends.add(name, process)
        return process

    def _start(self, name, role, more):
        """Start a process for the first time."""
        self.commands[name] = (role, more)
        self._write_settings(name, more)
        self.processes[name] = self._start_recorded(name)

    def close(self):
        self.ends.kill_all()
        super().close()

    def mark_fault(self):
        """Record that a fault is happening."""
        self.last_fault_at = time.monotonic()

    def _pause(self):
        name = self.fault_random.choice(self.entries + self.agents)
        duration_s = self.fault_random.uniform(0.1, 3)
        process = self.processes[name]
        self.log_event(f"pause {name} for {duration_s:.1f} s")
        self.disturb(name, duration_s)
        process.send_signal(signal.SIGSTOP)
        self._run_later(
            duration_s, lambda: process.send_signal(signal.SIGCONT)
        )

    def _disturb_store(self):
        mode = self.fault_random.choice(
            ("busy", "silent", "lost", "gone", "leases")
        )
        self.log_event(f"store {mode}")
        self.disturb("store")
        if mode == "gone":
            self.store.history_from = self.store.revision
        elif mode == "leases":
            for lease in list(self.store.leases):
                self.store.revoke(lease)
        else:
            self.store.mode = mode
            duration_s = self.fault_random.uniform(0.5, 4)
            self.disturb("store", duration_s)
            self._run_later(
                duration_s, lambda: setattr(self.store, "mode", "sound")
            )

    def _disturb_connections(self):
        name, proxy = self.fault_random.choice(self.proxies)
        kind = self.fault_random.choice(
            ("reset", "client", "server", "both", "delay")
        )
        self.log_event(f"proxy of {name}: {kind}")
        self.disturb(name.partition("'")[0], PROXY_DISTURBANCE_S)
        if kind == "reset":
            proxy.reset()
        elif kind == "delay":
            proxy.delay_s = self.fault_random.uniform(0.02, 0.5)
            self._run_later(
                PROXY_DISTURBANCE_S, lambda: setattr(proxy, "delay_s", 0.0)
            )
        else:
            proxy.silence(kind)

    def check_crash(self, runner):
        """Check how many runners a task has crashed; restart the last one."""
        key = runner.backend.crashed_by[-1]
        count = sum(
            other.backend.crashed_by.count(key)
            for other in self.runners.values()
        )
        self.log_event(f"{key} crashes {runner.backend.instance}")
        if count > MAX_CRASHES:
            self.record_violation(f"{key} crashes its runner no. {count}")
        # The draw depends on timing, like those of the callers.
        downtime_s = self.caller_random.uniform(0.5, 3)
        self._restart_runner(runner.backend, downtime_s)

    def _crash_runner(self):
        name = self.fault_random.choice(self.agents)
        backend = self.runners[name].backend
        self.log_event(f"crash the runner of {name}")
        backend.crash()
        self._restart_runner(backend, self.fault_random.uniform(0.5, 3))

    def _restart_runner(self, backend, downtime_s):
        born_ms = int(time.time() * 1000)

        def restart():
            self._change_service(backend)
            backend.restart(born_ms=born_ms)

        self._run_later(downtime_s, restart)

    def _change_runner_speed(self):
        backend = self.runners[self.fault_random.choice(self.agents)].backend
        backend.clock_rate = self.fault_random.uniform(0.98, 1.0)
        backend.speed = self.fault_random.choice((0.2, 1.0, 2.0))
        self.log_event(f"{backend.instance} at speed {backend.speed}")

    def _lose_replies(self):
        name = self.fault_random.choice(self.agents)
        self.log_event(f"next requests to the runner of {name} get no reply")
        self.runners[name].unanswered += self.fault_random.randint(1, 6)

    def _new_version(self):
        version = self.version + self.fault_random.randint(1, 3)
        self.version = version
        self.store.put("op/config", self._desired_state())
        self.log_event(f"version {version}")

    def _desired_state(self):
        """Return a desired state with two routes for each entry.

        The route /queue/ is in all versions, the route /v<version>/ only in
        this one.
        """
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

    def _change_service(self, backend):
        """Let a runner that starts anew be another one, of another service."""
        if not backend.instance.startswith(f"i-{CHANGING_AGENT}"):
            return
        backend.service = SERVICES[backend.service == SERVICES[0]]
        backend.instance += "x"
        self.log_event(f"{backend.instance} is of {backend.service}")

    async def send_bad_values(self):
        """Send jobs and reports out of bounds, and those of other writers."""
        jobs = [
            (name, "front", request)
            for name in self.entries
            for request in bad_jobs(self.hosts[name])
        ]
        reports = [
            (name, "control", request)
            for name in self.agents
            for request in (*bad_reports(), self._foreign_report())
        ]
        while self.is_submitting:
            await trio.sleep(self.bad_random.expovariate(BAD_VALUES_PER_S))
            choices = self.bad_random.choice((jobs, reports))
            name, part, request = self.bad_random.choice(choices)
            if part == "front":
                # A caller never sends an id to two entries at a time.
                method, _, *rest = request
                job_id = f"{self.bad_random.getrandbits(64):016x}"
                request = (method, f"/queue/{job_id}", *rest)
            self.stand_ins.nursery.start_soon(
                self._send_bad_value, name, part, request
            )

    @staticmethod
    def _foreign_report():
        report = {
            **REPORT,
            "capacity": {"cpu": 16000, "memMb": 65536},
            "born": 2**42,
        }
        return "PUT", "/runners/i-foreign", json.dumps(report).encode(), {}

    async def _send_bad_value(self, name, part, request):
        method, path, body, headers = request
        # The client names the host by itself, which selects the route here.
        headers = {k: v for k, v in headers.items() if k != "Host"}
        client = HttpClient(
            host=self.hosts[name],
            port=self.ports[name][part],
            max_connections=1,
        )
        with contextlib.suppress(ExchangeError):
            await client.exchange(
                method,
                path,
                body=body,
                headers=tuple(headers.items()),
                time_limit_s=1.0,
            )
        await client.aclose()

    def _run_later(self, delay_s, action):
        async def act():
            await trio.sleep(delay_s)
            with contextlib.suppress(ProcessLookupError):
                action()

        self.stand_ins.nursery.start_soon(act)

    # The course of a run.

    def run(self, seconds):
        """Inject faults, wait for recovery, then stop an entry as planned."""
        troubles = draw_troubles(
            self.seed, self.entries + self.agents, seconds
        )
        self.troubles = StartTroubles(self, troubles)
        self.stand_ins.call(self._run, seconds)

    async def _run(self, seconds):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ends.watch)
            for name in self.entries:
                nursery.start_soon(self.use_open_connection, name)
            self.troubles.start(nursery)
            await self._run_faults(seconds)
            self.ends.check()
            nursery.cancel_scope.cancel()

    async def _run_faults(self, seconds):
        for task in (
            self.submit_jobs,
            self.watch_versions,
            self.drain_domains,
            self.send_bad_values,
        ):
            self.stand_ins.nursery.start_soon(task)
        end = trio.current_time() + seconds
        await trio.sleep(2.0)
        while trio.current_time() < end:
            self.inject_fault()
            await trio.sleep(self.fault_random.expovariate(2.0))
        await self._recover_and_check()

    async def _recover_and_check(self):
        self.log_event("no more faults")
        self.store.mode = "sound"
        await trio.sleep(RECOVERY_WAIT_S)
        await self._wait_for_end_of_troubles()
        for name, process in self.processes.items():
            if process.poll() is not None:
                last_lines = "\n".join(self.lines(name)[-EXIT_LINES:])
                self.record_violation(
                    f"{name} has exited with status {process.returncode}:\n"
                    f"{last_lines}"
                )
        await self._check_all_serve()
        await self._check_planned_stop(self.fault_random.choice(self.entries))
        self.is_submitting = False
        with trio.move_on_after(COMPLETION_TIMEOUT_S):
            await poll_until(lambda: not self.open_jobs)
        await self._check_end()

    async def _wait_for_end_of_troubles(self):
        """Wait until a planned stop is free of faults for its check."""
        await poll_until(lambda: self.troubles.are_over)
        quiet_until = (
            self.last_fault_at + FAULT_FREE_BEFORE_STOP_S + STOP_MARGIN_S
        )
        await trio.sleep(max(0.0, quiet_until - time.monotonic()))

    async def _check_all_serve(self):
        """Check that all processes serve that have not exited."""
        now = time.monotonic()
        async with trio.open_nursery() as nursery:
            for name, process in self.processes.items():
                if process.poll() is None:
                    nursery.start_soon(self.troubles.check_serving, name, now)

    async def _check_planned_stop(self, name):
        with trio.move_on_after(COMPLETION_TIMEOUT_S) as scope:
            while True:
                if await self._is_ready(name):
                    break
                await trio.sleep(RESUBMIT_DELAY_S)
        if scope.cancelled_caught:
            self.record_violation(f"{name} is not ready after the faults")
        self.log_event(f"stop {name}")
        self.stopped[name] = time.monotonic()
        process = self.processes[name]
        self.ends.tell(process, signal.SIGTERM)
        with trio.move_on_after(COMPLETION_TIMEOUT_S):
            await poll_until(lambda: process.poll() is not None)
        if process.poll() != 0:
            self.record_violation(
                f"{name} stopped with exit status {process.poll()}"
            )
        self.stopped[name] += STOP_GRACE_S
        self.restart_if_ended(name)

    async def _check_end(self):
        for name, runner in self.runners.items():
            for description in runner.backend.violations:
                self.record_violation(f"{name}: {description}")
        if self.open_jobs:
            self.record_violation(
                f"{self.open_jobs} callers are still waiting"
            )
        for name in self.entries:
            if not await self._completes_job(name):
                self.record_violation(
                    f"{name} completes no job after the faults"
                )

    async def _completes_job(self, name):
        """Whether an entry completes a job within the time limit.

        The number of jobs that are tried is not limited.
        """
        end = trio.current_time() + COMPLETION_TIMEOUT_S
        body = json.dumps(job()).encode()
        while trio.current_time() < end:
            job_id = f"{self.caller_random.getrandbits(64):016x}"
            if await self._submit_once(name, job_id, body, end) == 200:
                return True
            await trio.sleep(RESUBMIT_DELAY_S)
        return False

    @property
    def outcome(self):
        """Numbers of jobs by their answer, of troubles, starts and ends."""
        answers = list(self.answers.values())
        counts = [answers.count(status) for status in (200, 503, 0)]
        return (
            "{} completed, {} refused, {} unanswered; {} troubles, "
            "{} starts, {} ends"
        ).format(*counts, len(self.troubles.troubles), *self.ends.count())
