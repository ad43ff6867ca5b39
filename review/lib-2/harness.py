"""Starts a small deployment of the roles with stand-ins, for review scripts.

The roles are real processes, started by the commands of the deploy file with
settings rendered from its templates. The store, the runners and the clients
are stand-ins in this process, which follow PROTOCOL.md. All addresses are
loopback addresses, and all clocks are the real ones.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "review.example"
SERVICE = "service-1"
PREFIX = "/queue/"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_MS = 50
HELD, BROKEN, UNUSABLE = 0, 1, 2
BOUNDS = {
    "stableMs": 3000,
    "ackMs": 4000,
    "graceS": 6,
    "holdMaxMs": HOLD_MAX_MS,
    "farX": 1.5,
    "cancel_ms": 3000,
    "resendMs": 1300,
}


def with_trouble():
    """Return whether the disruption of the case is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to the case's record."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def now(self):
        """Return the time since the start of the script, in seconds."""
        return time.monotonic() - self.began_at

    def write(self, text):
        print(f"{self.now():8.3f} s  {text}", file=self.file, flush=True)


class HttpServer:
    """Serves a handler of (method, path, headers, body) over HTTP/1.1."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, path, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, _, value = line.partition(":")
                        headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def http_call(
    host, port, method, path, document=None, *, headers=(), timeout_s=5.0
):
    """Send a request on a new connection; return status and document.

    The status is 0 if there was no complete answer.
    """
    data = b"" if document is None else json.dumps(document).encode()
    lines = [f"{method} {path} HTTP/1.1"]
    named = dict(headers)
    named.setdefault("Host", f"{host}:{port}")
    lines += [f"{name}: {value}" for name, value in named.items()]
    lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
    request = "\r\n".join(lines).encode() + b"\r\n\r\n" + data
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            size = re.search(rb"(?i)content-length: *(\d+)", head)
            body = await reader.readexactly(int(size[1])) if size else b""
            return status, json.loads(body) if body else {}
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()


class Store:
    """Stand-in for the platform's metadata store."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 10
        self.leases = {}
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRevision": created,
            "lease": lease,
        }
        self.items[key] = item
        self._record(item)

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _record(self, change):
        self.changes.append(change)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_leases(self):
        now = time.monotonic()
        for lease, (_, ends_at) in list(self.leases.items()):
            if now > ends_at:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def handle(self, method, path, headers, body):
        self.end_leases()
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        document = json.loads(body) if body else {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "asOf": self.revision}
        if url.path == "/kv-range":
            after = query.get("after", "")
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > after
            ]
            return 200, {
                "items": items[:500],
                "truncated": len(items) > 500,
                "asOf": self.revision,
            }
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return self._transact(document)
        if url.path == "/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            span_s = document["ttlMs"] / 1000
            self.leases[lease] = (span_s, time.monotonic() + span_s)
            return 200, {"lease": lease, "ttlMs": document["ttlMs"]}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        span_s, _ = self.leases[lease]
        self.leases[lease] = (span_s, time.monotonic() + span_s)
        return 200, {"ttlMs": int(span_s * 1000)}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not self._events(prefix, after):
                    await self.changed.wait()
        events = self._events(prefix, after)
        return 200, {"events": events, "asOf": self.revision}

    def _events(self, prefix, after):
        return [
            change
            for change in self.changes
            if change["revision"] > after and change["key"].startswith(prefix)
        ]

    def _transact(self, document):
        rows = document["expectedRev"]
        found = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, found, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item for item in found if item]}
        for write in document["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return 404, {}
        for write in document["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write["lease"])
        for key in document["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


class Runner:
    """Stand-in for a runner that does not guard its capacity.

    The work of a task is what its job's `spec` says, a number of
    milliseconds. Runs that are at work are in `running`; `history` has a row
    (task, run, began, ended, how) for each run, in seconds of the record.
    """

    def __init__(self, name, record, *, cpu=16000):
        self.name = name
        self.record = record
        self.cpu = cpu
        self.seq = 0
        self.born = time.time_ns() // 1_000_000
        self.started_at = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running = {}
        self.last_runs = {}
        self.ended = []
        self.end_count = 0
        self.history = []
        self.has_ended = asyncio.Event()
        # Returns the seconds by which an order is carried out late, without
        # an answer; 0 if it is answered.
        self.delay_of = lambda path, document: 0.0

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    def report(self):
        self.seq += 1
        return {
            "service": SERVICE,
            "addr": "127.0.0.1:1",
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    async def report_for_ever(self, host, port):
        while True:
            await http_call(
                host,
                port,
                "PUT",
                f"/runners/{self.name}",
                self.report(),
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S if self.token else 0.3)

    async def advance(self):
        """End the runs whose work is done or whose lease has expired."""
        while True:
            await asyncio.sleep(0.005)
            clock_ms = self.clock_ms()
            for key, row in list(self.running.items()):
                if clock_ms >= row["ends_ms"]:
                    self._end(key, "done")
                elif row["stops_ms"] and clock_ms >= row["stops_ms"]:
                    self._end(key, "stopped")
                elif clock_ms > self.lease_ms:
                    self._end(key, "lapsed")

    def _end(self, key, how):
        task, run = key
        row = self.running.pop(key)
        self.end_count += 1
        self.ended.append([self.end_count, task, run, how, ""])
        self.last_runs[task] = max(self.last_runs.get(task, 0), run)
        now = self.record.now()
        self.history.append((task, run, row["began"], now, how))
        self.record.write(f"{self.name}: {task} run {run} has ended {how}")
        self.has_ended.set()
        self.has_ended = asyncio.Event()

    async def handle(self, method, path, headers, body):
        document = json.loads(body)
        if headers.get("expect-instance") != self.name:
            return 421, {"clockMs": self.clock_ms()}
        delay_s = self.delay_of(path, document)
        if delay_s:
            self.record.write(
                f"{self.name}: {path} {document.get('task')} run"
                f" {document.get('run')} gets no answer, and is carried out"
                f" {delay_s} s later"
            )
            await asyncio.sleep(delay_s)
        answer = self._answer(path, document)
        if path == "/hold" and answer[0] == 200 and not delay_s:
            return await self._listing(document)
        if delay_s:
            # The connection returns nothing further.
            await asyncio.sleep(30)
            return None
        return answer

    def _answer(self, path, document):
        token = document["fencingToken"]
        if token < self.token:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self._start(document)
        if path == "/run-stop":
            self._stop(document)
        elif "deadlineMs" in document:
            self._extend(document["deadlineMs"])
        return 200, {"clockMs": self.clock_ms()}

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def _start(self, document):
        task, run = document["task"], document["run"]
        clock_ms = self.clock_ms()
        if (task, run) in self.running:
            return 200, {"clockMs": clock_ms}
        if document["deadlineMs"] <= clock_ms:
            return 409, {"clockMs": clock_ms, "reason": "late"}
        self._extend(document["deadlineMs"])
        if run <= self.last_runs.get(task, 0):
            return 409, {"clockMs": clock_ms, "reason": "old"}
        self.running[task, run] = {
            "began": self.record.now(),
            "began_ms": clock_ms,
            "ends_ms": clock_ms + int(document["spec"]),
            "stops_ms": 0,
        }
        self.record.write(f"{self.name}: {task} run {run} has begun")
        return 200, {"clockMs": clock_ms}

    def _stop(self, document):
        task, run = document["task"], document["run"]
        row = self.running.get((task, run))
        if row is None:
            self.last_runs[task] = max(self.last_runs.get(task, 0), run)
        elif not row["stops_ms"]:
            self.record.write(f"{self.name}: {task} run {run} is told to stop")
            row["stops_ms"] = self.clock_ms() + STOP_MS // 2

    async def _listing(self, document):
        acked = document["ackedUpto"]
        self.ended = [row for row in self.ended if row[0] > acked]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(document.get("waitMs", 0) / 1000):
                while not self.ended:
                    await self.has_ended.wait()
        clock_ms = self.clock_ms()
        running = []
        for (task, run), row in self.running.items():
            work_ms = max(1, row["ends_ms"] - row["began_ms"])
            done = min(99, 100 * (clock_ms - row["began_ms"]) // work_ms)
            running.append([task, run, "", int(done), 0])
        return 200, {
            "clockMs": clock_ms,
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }

    def all_runs(self):
        """Return the rows of `history` and of what runs now."""
        now = self.record.now()
        return self.history + [
            (task, run, row["began"], now, "")
            for (task, run), row in self.running.items()
        ]


def render(template, fields):
    """Fill in a template of settings, as DEPLOY.md says."""

    def value_of(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                part = int(part)
                value = value[part] if part < len(value) else None
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        return match[2] if value_of(match[1]) else ""

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )
    text = re.sub(
        r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value_of(m[1])), text
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value_of(m[1])), text)


class Deployment:
    """Entries and agents as processes, each on a loopback host of its own."""

    def __init__(self, record, *, entries=2, agents=2, cpu=16000):
        self.record = record
        self.entries = [f"front-{n + 1}" for n in range(entries)]
        self.agents = [f"side-{n + 1}" for n in range(agents)]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes = {}
        self.logs = {}
        self.tasks = []
        self.store = Store()
        self.runners = {
            name: Runner(f"i-{name}", record, cpu=cpu) for name in self.agents
        }
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def _claim_addresses(self):
        """Choose hosts and ports that nobody listens on."""
        names = [*self.entries, *self.agents]
        while True:
            net = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            first = random.randrange(20000, 30000, 20)
            hosts = {name: f"{net}.{n + 2}" for n, name in enumerate(names)}
            if all(
                _is_free(host, first + n)
                for host in hosts.values()
                for n in range(8)
            ):
                self.hosts = hosts
                self.net = net
                self.front, self.ready, self.control, self.app = range(
                    first, first + 4
                )
                self.peer_port = first + 5
                return

    async def start(self):
        self._claim_addresses()
        store_port = await HttpServer(self.store.handle).start(f"{self.net}.1")
        self.store_address = f"{self.net}.1:{store_port}"
        self.configure(1)
        for name, runner in self.runners.items():
            host = self.hosts[name]
            await HttpServer(runner.handle).start(host, self.app)
            self.tasks += [
                asyncio.create_task(runner.advance()),
                asyncio.create_task(
                    runner.report_for_ever(host, self.control)
                ),
            ]
        for name in (*self.entries, *self.agents):
            self.start_process(name)
        await self._wait_until_ready()

    def configure(self, version, *, limits=None, **changes):
        """Write a desired state, as the operator does."""
        route = {
            "name": "r-1",
            "host": HOST_NAME,
            "prefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 1500,
            "service": SERVICE,
            "priority": 0,
            "attempts": 4,
            "stretch": 1.6,
            "sloMs": 60,
            **changes,
        }
        state = {
            "version": version,
            "routes": [route],
            "services": [{"name": SERVICE, "rejectsOverload": False}],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                **(limits or {}),
            },
        }
        self.store.put("op/config", json.dumps(state).encode())

    def fields_of(self, name):
        """Return the platform's settings of a node."""
        host = self.hosts[name]
        is_entry = name in self.entries
        return {
            "node": name,
            "ip": host,
            "zone": "zone-1",
            "portRange": [self.peer_port, self.peer_port + 2],
            "seeds": [
                f"{self.hosts[entry]}:{self.control}"
                for entry in self.entries[:3]
            ],
            "listen": {
                "front": f"{host}:{self.front}",
                "ready": f"{host}:{self.ready}",
                "control": f"{host}:{self.control}",
            },
            "platform": {"addr": self.store_address},
            "app": "" if is_entry else f"{host}:{self.app}",
            "bounds": BOUNDS,
        }

    def start_process(self, name):
        """Start the role of a node with the command of the deploy file."""
        role = self.roles["entry" if name in self.entries else "agent"]
        template = (ROOT / role["template"]).read_text()
        path = self.folder / f"{name}.json"
        path.write_text(render(template, self.fields_of(name)))
        kept = ("PATH", "HOME", "LANG")
        variables = {k: os.environ[k] for k in kept if k in os.environ}
        command = role["run"].split()
        if command[0] == "python3":
            command[0] = sys.executable
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**variables, "EGRETCART_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f"{name} is started")

    def send_signal(self, name, number):
        """Send a signal to a process that this deployment has started."""
        self.record.write(f"{name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def _wait_until_ready(self):
        ends_at = time.monotonic() + 25
        for name in self.entries:
            while (await self.ask_ready(name)) != 200:
                if time.monotonic() > ends_at:
                    raise TimeoutError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        while not all(runner.token for runner in self.runners.values()):
            if time.monotonic() > ends_at:
                raise TimeoutError("an agent does not poll its runner")
            await asyncio.sleep(0.1)
        # As the users' days do, requests come when all is connected.
        await asyncio.sleep(4)
        self.record.write("the deployment is ready")

    async def ask_ready(self, name):
        status, _ = await http_call(
            self.hosts[name], self.ready, "GET", "/ready", timeout_s=1.0
        )
        return status

    async def ask(
        self, name, method, job_id, document=None, *, timeout_s=30.0
    ):
        """Send a client's request to an entry; record it and its answer."""
        self.record.write(f"client: {method} {job_id} to {name}")
        status, answer = await http_call(
            self.hosts[name],
            self.front,
            method,
            PREFIX + job_id,
            document,
            headers={
                "Host": HOST_NAME,
                "Timeout-Ms": str(int(timeout_s * 1000)),
            },
            timeout_s=timeout_s,
        )
        self.record.write(
            f"client: {method} {job_id} at {name} is answered"
            f" {status or 'not at all'} {json.dumps(answer)}"
        )
        return status, answer

    def runs_of(self, job_id):
        """Return (runner, task, run, began, ended, how) of a job's runs."""
        return [
            (name, *row)
            for name, runner in self.runners.items()
            for row in runner.all_runs()
            if row[0].startswith(job_id + ".")
        ]

    def ended_processes(self):
        """Return the names of processes that have ended by themselves."""
        return [
            name
            for name, process in self.processes.items()
            if process.poll() is not None
        ]

    def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def simple_job(work_ms, *, count=2, steps=1, cpu=1600):
    """Return a job that needn't be kept, of steps that follow each other."""
    described = []
    for number in range(steps):
        step = {"count": count, "cpu": cpu, "memMb": 64, "estMs": work_ms}
        if number:
            step["after"] = [number - 1]
        described.append(step)
    return {"spec": str(work_ms), "steps": described, "bestEffort": True}


def run_case(folder, case, **sizes):
    """Run an async function of a deployment; exit as `run.sh` has to.

    The function returns a text for each time that the rule was broken.
    """
    record = Record(pathlib.Path(folder) / "record.txt")

    async def main():
        deployment = Deployment(record, **sizes)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                return await case(deployment, record)
        finally:
            deployment.close()

    try:
        violations = asyncio.run(main())
    except Exception as error:  # The case could not run.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(UNUSABLE)
    for violation in violations:
        record.write(f"BROKEN: {violation}")
        print(violation)
    record.write("the rule was broken" if violations else "the rule held")
    sys.exit(BROKEN if violations else HELD)
