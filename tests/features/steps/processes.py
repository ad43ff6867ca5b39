"""Deployments of separate processes on loopback, for scenarios."""

import contextlib
import functools
import http.client
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

from relay import Relay

from egretcart.load.counters import parse_counters
from egretcart.request.identity import new_job_id

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parents[3]
READY_TIMEOUT_S = 30
CURRENT_RELEASE_ARGUMENTS = ("-m", "egretcart")
PREVIOUS_RELEASE_ARGUMENTS = (
    str(pathlib.Path(__file__).with_name("release_before.py")),
)


class RunningProcess:
    """A process of the project that a scenario has started.

    With `older`, it runs as the previous release.
    """

    def __init__(self, folder, name, role, settings, *, older=False):
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.name = name
        self.reserved_sockets = []
        self.log_path = path.with_suffix(".log")
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    *(
                        PREVIOUS_RELEASE_ARGUMENTS
                        if older
                        else CURRENT_RELEASE_ARGUMENTS
                    ),
                    *role,
                    path,
                ],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    @functools.cached_property
    def ready(self):
        """The ports that the process reports once it listens."""
        line = self.process.stdout.readline()
        assert line, f"{self.name} failed: {self.log_path.read_text()}"
        return json.loads(line)

    @property
    def runs(self):
        return self.process.poll() is None

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.reserve_ports()

    def reserve_ports(self):
        """Bind the ports of an ended process, so that no other gets them.

        Peers still connect to these ports. The sockets do not listen, so
        connections are refused as they are without them.
        """
        if self.reserved_sockets or "ready" not in self.__dict__:
            return
        for name, port in self.ready.items():
            if name.endswith("port") and port:
                held = socket.socket()
                held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):
                    held.bind((HOST, port))
                self.reserved_sockets.append(held)

    def release(self):
        """Free the ports that `reserve_ports` has bound."""
        while self.reserved_sockets:
            self.reserved_sockets.pop().close()

    def wait_stopped(self, limit_s=30):
        """Wait for the end; return the exit code and the wait in seconds."""
        began = time.monotonic()
        code = self.process.wait(limit_s)
        self.reserve_ports()
        return code, time.monotonic() - began

    def signal(self, number):
        self.process.send_signal(number)


def request(port, method, path, body=None, limit_s=60):
    """Send an HTTP request; return status, headers and JSON body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=limit_s)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
        return response.status, dict(response.getheaders()), json.loads(data)
    finally:
        connection.close()


def read_counters(port):
    """Return the counters on the metrics page of a process."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request("GET", "/metrics")
        return parse_counters(connection.getresponse().read())
    finally:
        connection.close()


def eventually(check, limit_s=READY_TIMEOUT_S):
    """Repeat a check until its result is true; return it, or fail."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"{check} was not true in {limit_s} s")


class BalancedEntries:
    """The current entries of a deployment.

    Each iteration sees the entries that were added or removed before it.
    """

    def __init__(self, deployment):
        self.deployment = deployment

    def __len__(self):
        return len(self.deployment.entries)

    def __iter__(self):
        return iter(list(self.deployment.entries))


class Deployment:
    """Platform, entries, agents and backend servers on loopback.

    The processes named in `older` run as the previous release. With
    `relayed`, entries advertise the address of a relay, which can cut and
    pause their peer connections.
    """

    def __init__(
        self,
        entries,
        agents,
        *,
        service="snapcheck",
        relayed=False,
        older=(),
        connections=64,
    ):
        self.relayed = relayed
        self.older = set(older)
        self.connections = connections
        self.folder = tempfile.TemporaryDirectory()
        self.service = service
        self.processes = []
        self.relays = {}
        self.backends = [
            self.start_backend(f"backend-{number}") for number in range(agents)
        ]
        self.platform = self.start(
            "platform",
            ["standin", "platform"],
            {"listen": {"host": HOST, "port": 0}},
        )
        self.apply({"version": 1, "services": [{"name": service}]})
        self.entries = []
        for number in range(entries):
            self.entries.append(self.start_entry(f"entry-{number}"))
        self.agents = []
        for number, backend in enumerate(self.backends):
            self.agents.append(self.start_agent(f"agent-{number}", backend))
        for agent in self.agents:
            assert agent.ready
        self.wait_until_serving()

    def start(self, name, role, settings):
        process = RunningProcess(
            self.folder.name, name, role, settings, older=name in self.older
        )
        self.processes.append(process)
        return process

    def apply(self, configuration):
        """Write a configuration into the platform's store."""
        import base64

        encode = lambda data: base64.b64encode(data).decode()  # noqa: E731
        key = encode(b"egretcart/config")
        value = encode(json.dumps(configuration).encode())
        request(
            self.platform.ready["port"],
            "POST",
            "/v3/kv/txn",
            json.dumps(
                {"success": [{"request_put": {"key": key, "value": value}}]}
            ),
        )

    def peer_seeds(self):
        ports = {
            entry.name: entry.ready["peer_port"]
            for entry in self.running_entries()
        }
        for name in ports:
            if name in self.relays:
                ports[name] = self.relays[name].port
        return [{"host": HOST, "port": port} for port in ports.values()]

    def start_entry(self, name):
        settings = {
            "entry_id": name,
            "failure_domain": "kl-putra",
            "http": {"host": HOST, "port": 0},
            "peer": {"host": HOST, "port": 0},
            "seeds": self.peer_seeds(),
            "stop_grace_s": 0.5,
            "platform": {"host": HOST, "port": self.platform.ready["port"]},
        }
        if self.relayed:
            relay = self.relays[name] = Relay()
            settings["advertised"] = {"host": HOST, "port": relay.port}
        entry = self.start(name, ["entry"], settings)
        if self.relayed:
            relay.target = entry.ready["peer_port"]
        return entry

    def start_backend(self, name):
        listen = {"host": HOST, "port": 0}
        return self.start(name, ["standin", "backend"], {"listen": listen})

    def start_agent(self, name, backend):
        return self.start(
            name,
            ["agent"],
            {
                "agent_id": name,
                "failure_domain": "kl-putra",
                "service": self.service,
                "slots": 8,
                "connections": self.connections,
                "backend": {"host": HOST, "port": backend.ready["port"]},
                "seeds": self.peer_seeds(),
                "http": {"host": HOST, "port": 0},
            },
        )

    def running_entries(self):
        return [entry for entry in self.entries if entry.runs]

    def balanced(self):
        """Return the entries that a load balancer has in use."""
        return BalancedEntries(self)

    def is_ready(self, entry):
        status, _, _ = request(entry.ready["http_port"], "GET", "/readyz")
        return status == 200

    def wait_until_serving(self):
        """Wait until one leader has every agent in its roster."""
        expected = sum(agent.runs for agent in self.agents)

        def serving():
            return any(
                cell["phase"] == "serving" and cell["members"] >= expected
                for entry in self.running_entries()
                for cell in self.status(entry)["leading"]
            )

        try:
            eventually(serving)
        except AssertionError as error:
            raise AssertionError(self.describe()) from error

    def describe(self):
        """Return logs and states of the processes, to explain a failure."""
        lines = []
        for process in self.processes:
            log = process.log_path.read_text()[-2000:]
            lines.append(f"{process.name} runs: {process.runs}\n{log}")
        for entry in self.running_entries():
            lines.append(f"{entry.name}: {self.status(entry)}")
        return "\n".join(lines)

    def status(self, entry):
        return request(entry.ready["http_port"], "GET", "/v1/status")[2]

    def leader(self):
        """Return the entry that leads the only cell."""
        for entry in self.running_entries():
            if self.status(entry)["leading"]:
                return entry
        raise AssertionError("no entry leads")

    def submit(self, entry, tasks, **options):
        """Submit a job and return status and answer."""
        return self.submit_to(entry.ready["http_port"], tasks, **options)

    def submit_to(self, port, tasks, *, job_id=None, limit_s=60, **options):
        job_id = job_id or str(new_job_id())
        body = json.dumps({"tasks": tasks, **options})
        path = f"/v1/services/{self.service}/jobs/{job_id}"
        status, _, answer = request(port, "PUT", path, body, limit_s)
        return status, answer

    def recorded_starts(self):
        """Return the number of starts by idempotency key."""
        counts = {}
        for backend in self.backends:
            if not backend.runs:
                continue
            for key in self.starts_at(backend):
                counts[key] = counts.get(key, 0) + 1
        return counts

    def starts_at(self, backend):
        """Return the idempotency keys that a backend server was sent."""
        return [key for key, _, _ in self.report_of(backend)]

    def report_of(self, backend):
        """Return the idempotency key, begin and end of each start.

        The end is None while the task runs.
        """
        return request(backend.ready["port"], "GET", "/starts")[2]["starts"]

    def close(self):
        for process in self.processes:
            process.kill()
            process.process.stdout.close()
        for process in self.processes:
            process.release()
        for relay in self.relays.values():
            relay.close()
        self.folder.cleanup()
