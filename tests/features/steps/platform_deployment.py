"""A deployment of platform roles as processes, with stand-ins."""

import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

from loopback import LoopbackNetwork
from platform_standins import REPORT_INTERVAL_S
from platform_standins import RunnerStandIn
from platform_standins import StandIns
from platform_standins import StoreStandIn
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient

ROOT = pathlib.Path(__file__).resolve().parents[3]


def wait_until(condition, limit_s, what):
    end = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < end, f"timed out after {limit_s} s: {what}"
        time.sleep(0.05)


def job(count=3, **fields):
    step = {"count": count, "cpu": 1600, "memMb": 64, "estMs": 100}
    return {"spec": "s", "steps": [step], "bestEffort": True, **fields}


def desired_state(version, prefix="/queue/", **extra):
    route = {
        "name": "r-1",
        "host": "host.example",
        "prefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 1500,
        "sloMs": 60,
        "priority": 0,
        "service": "service-1",
        "attempts": 4,
        "stretch": 1.6,
    }
    return json.dumps(
        {
            "version": version,
            "routes": [route],
            "services": [],
            "limits": {"headerBytes": 16384, "bodyBytes": 1000},
            **extra,
        }
    ).encode()


class Deployment:
    """Two entries and two agents as processes, with platform stand-ins."""

    def __init__(self, context):
        self.stand_ins = StandIns()
        self.store = StoreStandIn()
        self.store.put("op/config", desired_state(1))
        self.folder = tempfile.TemporaryDirectory()
        self.processes = {}
        self.runners = {}
        context.add_cleanup(self.close)
        self.store_port = self.stand_ins.serve(self.store.handle)
        self._claim_addresses(("entry-1", "entry-2", "agent-1", "agent-2"))
        for name in ("agent-1", "agent-2"):
            self._start_agent(name)
        for name in ("entry-1", "entry-2"):
            self._start_entry(name)

    def _claim_addresses(self, names):
        """Get addresses that no deployment beside this one has."""
        self.network = LoopbackNetwork()
        self.hosts = {
            name: self.network.host(n) for n, name in enumerate(names, 1)
        }
        self.ports = dict.fromkeys(names, self.network.ports)
        self.peer_port = self.network.ports["peer"]

    def _settings(self, name):
        return {
            "node": name,
            "host": self.hosts[name],
            "failure_domain": "zone-1",
            "peer_port": self.peer_port,
            "control": self._address(name, "control"),
            "metrics": self._address(name, "metrics"),
            "seeds": [f"{self.hosts['entry-1']}:1"],
            "store": f"127.0.0.1:{self.store_port}",
        }

    def _address(self, name, part):
        return f"{self.hosts[name]}:{self.ports[name][part]}"

    def _start_agent(self, name):
        runner = self.runners[name] = RunnerStandIn(name=f"i-{name}")
        self.stand_ins.start_soon(runner.run)
        port = self.stand_ins.serve(runner.handle, host=self.hosts[name])
        self.stand_ins.start_soon(
            report_for_ever,
            runner,
            self.hosts[name],
            self.ports[name]["control"],
        )
        backend = f"{self.hosts[name]}:{port}"
        self._start(name, "agent", {"backend": backend})

    def _start_entry(self, name):
        self._start(
            name,
            "entry",
            {
                "callers": self._address(name, "front"),
                "readiness": self._address(name, "ready"),
            },
        )

    def _start(self, name, role, more):
        self._write_settings(name, more)
        self.processes[name] = self._start_process(name, role)

    def settings_path(self, name):
        return pathlib.Path(self.folder.name) / f"{name}.json"

    def _write_settings(self, name, more):
        settings = {**self._settings(name), **more}
        self.settings_path(name).write_text(json.dumps(settings))

    def _start_process(self, name, role):
        path = self.settings_path(name)
        with path.with_suffix(".log").open("a") as log:
            return subprocess.Popen(
                [sys.executable, "platform", role],
                cwd=ROOT,
                env={**os.environ, "EGRETCART_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def lines(self, name):
        path = pathlib.Path(self.folder.name) / f"{name}.log"
        return path.read_text().splitlines()

    def ask(self, name, method, path, body=None, part="front"):
        """Send a request to a process; return status and decoded body."""
        connection = http.client.HTTPConnection(
            self.hosts[name], self.ports[name][part], timeout=10
        )
        data = None if body is None else json.dumps(body)
        connection.request(
            method, path, body=data, headers={"Host": "host.example"}
        )
        response = connection.getresponse()
        document = json.loads(response.read() or b"null")
        connection.close()
        return response.status, document

    def is_ready(self, name):
        try:
            return self.ask(name, "GET", "/ready", part="ready")[0] == 200
        except OSError:
            return False

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.stand_ins.close()
        self.folder.cleanup()
        self.network.close()


async def report_for_ever(runner, host, port):
    client = HttpClient(host=host, port=port, max_connections=1)
    while True:
        with contextlib.suppress(ExchangeError):
            await client.exchange(
                "PUT",
                f"/runners/{runner.backend.instance}",
                body=json.dumps(runner.report()).encode(),
                time_limit_s=1.0,
            )
        await trio.sleep(REPORT_INTERVAL_S)
