"""Stand-ins of a small deployment, and its processes on loopback addresses.

Only the standard library is used. The platform's store, the runners and the
clients run on one asyncio loop in this process; entries and agents are started
with the commands of the deploy file, with settings rendered from its
templates. Each machine has a loopback address of its own.
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
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Bounds of the sites asiv-umido and jsvd-egret, which are the same here.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.02
RESEND_S = 1.3
GRACE_S = 6


def free_ports(count):
    """Return ports that no socket of this machine has on any address."""
    while True:
        first = random.randint(10_000, 30_000)
        ports = range(first, first + count)
        with contextlib.ExitStack() as sockets:
            try:
                for port in ports:
                    sockets.enter_context(socket.socket()).bind(("", port))
            except OSError:
                continue
            return list(ports)


PEER, FRONT, READY, CONTROL, RUNNER_PORT, STORE_PORT = free_ports(6)
PORTS = {"peer": PEER, "front": FRONT, "ready": READY, "control": CONTROL}


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()
        self.events = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, what, **fields):
        event = {"t": round(self.now(), 4), "what": what, **fields}
        self.events.append(event)
        self.file.write(json.dumps(event) + "\n")
        return event

    def all(self, what, **fields):
        return [
            event
            for event in self.events
            if event["what"] == what
            and all(event.get(k) == v for k, v in fields.items())
        ]


# HTTP, as far as the stand-ins need it.


async def read_message(reader):
    """Return the first line, the headers and the body of one message."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (header := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Passes requests to `handle(method, path, headers, body)`.

    It returns a status and a document; None means that no answer is sent.
    """

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(
            self._serve, host, port, backlog=256
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                line, headers, body = message
                method, path, _ = line.split(" ")
                answer = await self.handle(method, path, headers, body)
                if answer is None:
                    await reader.read()
                    return
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def exchange(
    host, port, method, path, body=None, headers=(), timeout_s=30.0
):
    """Send one request on a new connection; return status and document.

    Status 0 means that no answer came, -1 that the connection broke.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [
                f"{method} {path} HTTP/1.1",
                *(f"{name}: {value}" for name, value in headers),
                f"Content-Length: {len(data)}",
            ]
            if not any(name.lower() == "host" for name, _ in headers):
                lines.insert(1, f"Host: {host}:{port}")
            if data:
                lines.append("Content-Type: application/json")
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            message = await read_message(reader)
            if message is None:
                return -1, None
            line, _, answer = message
            return int(line.split(" ")[1]), json.loads(answer or b"null")
    except TimeoutError:
        return 0, None
    except (OSError, asyncio.IncompleteReadError):
        return -1, None
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store.


class Store:
    """The platform's metadata store: items, leases, watches."""

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("createRevision", self.revision)
        self.items[key] = item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRevision": created,
            "lease": lease,
        }
        self._note(item)
        return self.revision

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _note(self, change):
        self.changes.append((time.monotonic(), change))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ends_at, _) in list(self.leases.items()):
                if now > ends_at:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    async def handle(self, method, path, headers, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        document = json.loads(body) if body else {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"asOf": self.revision}
            return 200, {**item, "asOf": self.revision}
        if url.path == "/kv-range":
            found = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:500],
                "truncated": len(found) > 500,
                "asOf": self.revision,
            }
        if url.path == "/kv-watch":
            return await self._watch(query)
        if url.path == "/kv-txn":
            return self._transact(document)
        if url.path == "/kv-lease":
            self.last_lease += 1
            ttl_ms = max(1000, min(600_000, document["ttlMs"]))
            self.leases[self.last_lease] = (
                time.monotonic() + ttl_ms / 1000,
                ttl_ms,
            )
            return 200, {"lease": self.last_lease, "ttlMs": ttl_ms}
        lease = int(url.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return 200, {"ttlMs": ttl_ms}

    async def _watch(self, query):
        after = int(query["after"])
        ends_at = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        while True:
            events = [
                change
                for _, change in self.changes
                if change["revision"] > after
                and change["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def _transact(self, document):
        for row in document["expectedRev"]:
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return 412, {"items": []}
        for write in document["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in document["writes"]:
            if write["key"].startswith(("op/", "servers/")):
                return 403, {}
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in document["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


# Runners.


class Run:
    """One run at a runner."""

    def __init__(self, task, number, work_s, now):
        self.task = task
        self.number = number
        self.work_s = work_s
        self.began = now


class Runner:
    """One runner, which follows the page on running tasks.

    It doesn't guard its capacity. `work_s` returns the run time of a task.
    """

    def __init__(self, world, name, host, control, service, work_s):
        self.world = world
        self.name = name
        self.host = host
        self.control = control
        self.service = service
        self.work_s = work_s
        self.cpu = 16000
        self.labels = ["a", "r1-1"]
        self.state = "ready"
        self.is_up = False
        self.server = None
        self.tasks = []
        # Called with the path of each order; returns "" to carry it out and
        # answer it, "mute" to carry it out and not answer it, and "late" to
        # carry it out 2 to 12 s later and not answer it.
        self.disturb = lambda path: ""

    async def start(self):
        self.is_up = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.clock_offset_ms = random.randint(1000, 9000)
        self.token = 0
        self.seq = 0
        self.lease_ms = 0
        self.running = {}
        self.ended = []
        self.ended_count = 0
        self.highest = {}
        self.end_noted = asyncio.Event()
        self.server = HttpServer(self.handle)
        await self.server.listen(self.host, RUNNER_PORT)
        self.tasks = [
            asyncio.create_task(self._work()),
            asyncio.create_task(self._report()),
        ]
        self.world.record.add("runner up", runner=self.name, born=self.born)

    def crash(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self._note_end(run, "crashed")
        self.running.clear()
        self.server.close()
        self.world.record.add("runner down", runner=self.name)

    def clock_ms(self):
        return (
            int((time.monotonic() - self.began) * 1000) + self.clock_offset_ms
        )

    async def _work(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if self.running and self.clock_ms() > self.lease_ms:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            for run in list(self.running.values()):
                if now - run.began >= run.work_s:
                    self._end(run, "done")

    def _note_end(self, run, how):
        self.world.record.add(
            "end", runner=self.name, task=run.task, run=run.number, how=how
        )

    def _end(self, run, how):
        del self.running[run.task]
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.ended_count += 1
        self.ended.append([self.ended_count, run.task, run.number, how, ""])
        self._note_end(run, how)
        self.end_noted.set()
        self.end_noted = asyncio.Event()

    def report(self):
        self.seq += 1
        return {
            "service": self.service,
            "addr": f"{self.host}:{RUNNER_PORT}",
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "seq": self.seq,
            "born": self.born,
        }

    async def _report(self):
        while True:
            status, _ = await exchange(
                *self.control,
                "PUT",
                f"/runners/{self.name}",
                self.report(),
                timeout_s=1.0,
            )
            acked = 200 <= status < 300
            await asyncio.sleep(HEARTBEAT_S if acked else 0.2)

    async def handle(self, method, path, headers, body):
        clock = {"clockMs": self.clock_ms()}
        if headers.get("expect-instance", self.name) != self.name:
            return 421, clock
        document = json.loads(body)
        mode = self.disturb(path)
        if mode == "late":
            self.tasks.append(
                asyncio.create_task(self._carry_out_late(path, document))
            )
            return None
        answer = await self._carry_out(path, document)
        if mode == "mute":
            return None
        status, fields = answer
        return status, {"clockMs": self.clock_ms(), **fields}

    async def _carry_out_late(self, path, document):
        await asyncio.sleep(random.uniform(2.0, 12.0))
        await self._carry_out(path, document)

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def _carry_out(self, path, document):
        token = document.get("fencingToken", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self._start(document)
        if path == "/run-stop":
            return await self._stop(document)
        return await self._hold(document)

    def _start(self, document):
        task, number = document["task"], document["run"]
        if document["deadlineMs"] < self.clock_ms():
            return 409, {"reason": "late"}
        self._extend(document["deadlineMs"])
        run = self.running.get(task)
        if run is not None and run.number == number:
            return 200, {}
        if number <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        run = Run(task, number, self.work_s(task), time.monotonic())
        self.running[task] = run
        self.world.record.add(
            "start",
            runner=self.name,
            service=self.service,
            task=task,
            run=number,
            spec=document["spec"],
        )
        return 200, {}

    async def _stop(self, document):
        task, number = document["task"], document["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number:
            await asyncio.sleep(STOP_S)
            if self.running.get(task) is run:
                self._end(run, "stopped")
        return 200, {}

    async def _hold(self, document):
        if document.get("deadlineMs") is not None:
            self._extend(document["deadlineMs"])
        upto = document["ackedUpto"]
        self.ended = [row for row in self.ended if row[0] > upto]
        if document.get("waitMs") and not self.ended:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(document["waitMs"] / 1000):
                    await self.end_noted.wait()
        now = time.monotonic()
        rows = []
        for run in self.running.values():
            percent = int(100 * (now - run.began) / run.work_s)
            rows.append([run.task, run.number, "", min(99, percent), 1600])
        return 200, {
            "running": rows,
            "ended": self.ended[:500],
            "born": self.born,
        }


# The processes of the system.


def render(template, fields):
    """Fill in a template of settings, as the page on the deploy file says."""

    def section(match):
        name, text = match.group(1), match.group(2)
        return text if _lookup(fields, name) is not None else ""

    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )

    def value(match):
        found = _lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


def _lookup(fields, name):
    for part in name.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = fields.get(part)
        if fields is None:
            return None
    return fields


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, world, name, role, host, zone):
        self.world = world
        self.name = name
        self.role = role
        self.host = host
        self.zone = zone
        self.process = None
        self.exits = []
        # The platform restarts a process that has ended, unless told not to.
        self.is_kept_down = False

    def address(self, part):
        return self.host, PORTS[part]

    def _settings(self):
        world = self.world
        listen = {"control": f"{self.host}:{PORTS['control']}"}
        if self.role == "entry":
            listen["front"] = f"{self.host}:{PORTS['front']}"
            listen["ready"] = f"{self.host}:{PORTS['ready']}"
        fields = {
            "node": self.name,
            "ip": self.host,
            "zone": self.zone,
            "portRange": [PORTS["peer"], PORTS["peer"] + 15],
            "listen": listen,
            "seeds": world.seeds,
            "platform": {"addr": f"{world.store_host}:{STORE_PORT}"},
            "bounds": {
                "graceS": GRACE_S,
                "holdMaxMs": HOLD_MAX_MS,
                "farX": 1.5,
            },
            "app": f"{self.host}:{RUNNER_PORT}",
        }
        template = world.deploy["roles"][self.role]["template"]
        return render((ROOT / template).read_text(), fields)

    async def start(self):
        folder = self.world.folder
        path = folder / f"{self.name}.json"
        path.write_text(self._settings())
        command = self.world.deploy["roles"][self.role]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["EGRETCART_CONFIG"] = str(path)
        with open(folder / f"{self.name}.log", "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record.add("process starts", machine=self.name)

    def signal(self, number):
        self.world.record.add(
            "signal", machine=self.name, number=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def watch(self):
        """Restart the process after each end, as the platform does."""
        while True:
            process = self.process
            status = await process.wait()
            if self.world.is_closing:
                return
            self.exits.append(status)
            self.world.record.add(
                "process ends", machine=self.name, status=status
            )
            while self.is_kept_down:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            await self.start()


def route(prefix="/queue/", service="service-1", **fields):
    return {
        "name": "r-1",
        "host": "host.example",
        "prefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 1500,
        "sloMs": 60,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "stretch": 1.6,
        **fields,
    }


class World:
    """A small deployment: a store, entries, agents with runners, clients."""

    def __init__(self, folder, work_s=lambda task: 0.2):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.work_s = work_s
        self.is_closing = False
        self.store = Store()
        self.machines = {}
        self.runners = {}
        self.background = []
        self.version = 0
        self.network = self._free_network()
        self.store_host = f"{self.network}.200"
        self.seeds = []

    @staticmethod
    def _free_network():
        return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"

    async def open(self, entries, agents, services=None):
        """Start a deployment; `services` gives each agent's service."""
        await self.store.server.listen(self.store_host, STORE_PORT)
        self.spawn(self.store.expire_leases())
        for number in range(1, entries + 1):
            name = f"front-zone-{number}-1"
            self.machines[name] = Machine(
                self,
                name,
                "entry",
                f"{self.network}.{number}",
                f"zone-{number}",
            )
        self.seeds = [
            f"{machine.host}:{PORTS['control']}"
            for machine in list(self.machines.values())[:3]
        ]
        for number in range(1, agents + 1):
            zone = 1 + (number - 1) % entries
            self.add_agent(
                number, zone, (services or {}).get(number, "service-1")
            )
        for machine in self.machines.values():
            await machine.start()
            self.spawn(machine.watch())
        for runner in self.runners.values():
            await runner.start()

    def add_agent(self, number, zone, service):
        name = f"side-zone-{zone}-{number}"
        host = f"{self.network}.{20 + number}"
        machine = Machine(self, name, "agent", host, f"zone-{zone}")
        self.machines[name] = machine
        self.runners[name] = Runner(
            self,
            f"i-{number}",
            host,
            machine.address("control"),
            service,
            self.work_s,
        )
        return machine, self.runners[name]

    def configure(self, routes, services=("service-1",)):
        """Write a desired state, as the operator does."""
        self.version += 3
        state = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "maxConns": 64,
                    "protocol": "h1",
                    "tls": False,
                    "rejectsOverload": False,
                    "spare": False,
                }
                for name in services
            ],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("op/config", json.dumps(state).encode())
        self.record.add("desired state", version=self.version, routes=routes)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.background.append(task)
        return task

    def entries(self):
        return [m for m in self.machines.values() if m.role == "entry"]

    def agents(self):
        return [m for m in self.machines.values() if m.role == "agent"]

    async def until(self, condition, limit_s, what):
        ends_at = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > ends_at:
                raise CouldNotRun(f"not in {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    async def until_ready(self, limit_s=40):
        """Wait until each entry is ready and completes jobs."""
        ends_at = time.monotonic() + limit_s
        for entry in self.entries():
            while True:
                if time.monotonic() > ends_at:
                    raise CouldNotRun(f"{entry.name} isn't ready")
                status, _ = await exchange(
                    *entry.address("ready"), "GET", "/ready", timeout_s=1.0
                )
                if status == 200:
                    status, _ = await self.submit(
                        entry, job(count=1), new_id(), log=False
                    )
                    if status == 200:
                        break
                await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)

    async def submit(
        self,
        entry,
        document,
        job_id,
        timeout_s=30.0,
        log=True,
        prefix="/queue/",
    ):
        """Send a job to an entry; return the status and the answer."""
        return await self.request(
            entry, "POST", prefix + job_id, document, timeout_s, log=log
        )

    async def request(
        self, entry, method, path, document=None, timeout_s=30.0, log=True
    ):
        if log:
            self.record.add("sent", to=entry.name, request=f"{method} {path}")
        status, answer = await exchange(
            *entry.address("front"),
            method,
            path,
            document,
            (
                ("Host", "host.example"),
                ("Timeout-Ms", str(int(timeout_s * 1000))),
            ),
            timeout_s,
        )
        if log:
            self.record.add(
                "answered",
                by=entry.name,
                request=f"{method} {path}",
                status=status,
                answer=answer,
            )
        return status, answer

    async def close(self):
        """End all processes that were started."""
        self.is_closing = True
        for task in self.background:
            task.cancel()
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for runner in self.runners.values():
            if runner.is_up:
                runner.crash()
        self.store.server.close()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class CouldNotRun(Exception):
    """The case could not run; this says nothing about the rule."""


def new_id():
    return f"{random.getrandbits(64):016x}"


def job(count=3, est_ms=200, steps=None, **fields):
    step = {"count": count, "cpu": 1600, "memMb": 64, "estMs": est_ms}
    return {
        "spec": "review",
        "steps": steps or [step],
        "bestEffort": True,
        **fields,
    }


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(main, file):
    """Run `main(folder)`, which returns what broke the rule; then exit."""
    folder = pathlib.Path(file).resolve().parent

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await main(folder)

    try:
        broken = asyncio.run(run())
    except (CouldNotRun, TimeoutError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
    except asyncio.CancelledError:
        print("could not run: it was stopped")
        sys.exit(2)
    except Exception as error:
        print(f"could not run: the script has failed: {error!r}")
        sys.exit(2)
    for line in broken[:20]:
        print(f"broken: {line}")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def find_overlaps(record):
    """Return each start of a task while another run of it was going on."""
    running, found = {}, []
    for event in record.events:
        if event["what"] == "start":
            found += [
                (former, event)
                for former in running.values()
                if former["task"] == event["task"]
                and former["runner"] != event["runner"]
            ]
            running[event["runner"], event["task"]] = event
        elif event["what"] == "end":
            running.pop((event["runner"], event["task"]), None)
    return found


async def submit_until_answered(world, job_id, document, entries, until):
    """Submit a job as a client does, again after each broken connection.

    It is sent again `RESEND_S` later, to the next entry, after no response, a
    broken connection, 502 or 504; until the time `until` on the record.
    """
    tries = 0
    while world.record.now() < until:
        entry = entries[tries % len(entries)]
        tries += 1
        status, answer = await world.submit(entry, document, job_id)
        if status > 0 and status not in (502, 504):
            return status, answer
        await asyncio.sleep(RESEND_S)
    return 0, None
