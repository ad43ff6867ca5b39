"""Deployments of separate processes, for scenarios."""

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
READY_LIMIT_S = 30
CURRENT = ("-m", "egretcart")
OLDER = (str(pathlib.Path(__file__).with_name("release_before.py")),)


class RunningProcess:
    """One of the project's processes, started by a scenario."""

    def __init__(self, folder, name, role, settings, *, older=False):
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.name = name
        self.held_ports = []
        self.log_path = path.with_suffix(".log")
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, *(OLDER if older else CURRENT), *role, path],
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    @functools.cached_property
    def ready(self):
        """Where the process listens, once it does."""
        line = self.process.stdout.readline()
        assert line, f"{self.name} failed: {self.log_path.read_text()}"
        return json.loads(line)

    @property
    def runs(self):
        return self.process.poll() is None

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.hold_ports()

    def hold_ports(self):
        """Keep others from the ports, which peers go on to connect to.

        The sockets do not listen, so connections are refused as before.
        """
        if self.held_ports or "ready" not in self.__dict__:
            return
        for name, port in self.ready.items():
            if name.endswith("port") and port:
                held = socket.socket()
                held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                with contextlib.suppress(OSError):
                    held.bind((HOST, port))
                self.held_ports.append(held)

    def release(self):
        while self.held_ports:
            self.held_ports.pop().close()

    def wait_stopped(self, limit_s=30):
        """Return the exit code and the seconds until the end."""
        began = time.monotonic()
        code = self.process.wait(limit_s)
        self.hold_ports()
        return code, time.monotonic() - began

    def signal(self, number):
        self.process.send_signal(number)


def request(port, method, path, body=None, limit_s=60):
    """Return the status, headers and JSON body of one HTTP exchange."""
    connection = http.client.HTTPConnection(HOST, port, timeout=limit_s)
    try:
        connection.request(method, path, body)
        response = connection.getresponse()
        data = response.read()
        return response.status, dict(response.getheaders()), json.loads(data)
    finally:
        connection.close()


def read_counters(port):
    """Return the metrics that a process serves."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        connection.request("GET", "/metrics")
        return parse_counters(connection.getresponse().read())
    finally:
        connection.close()


def eventually(check, limit_s=READY_LIMIT_S):
    """Return the first true result of a check, or fail."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"{check} was not true in {limit_s} s")


class BalancedEntries:
    """The entries of a deployment that are in use at the moment."""

    def __init__(self, deployment):
        self.deployment = deployment

    def __len__(self):
        return len(self.deployment.entries)

    def __iter__(self):
        return iter(list(self.deployment.entries))


class Deployment:
    """Platform, entries, agents and backend servers on loopback."""

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
        """Return the ready entries, as a balancer would see them."""
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
        """Return what each process says, to explain a failure."""
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
        """Return how often each idempotency key was started."""
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
        """Return key, begin and end of each start at a backend server."""
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
