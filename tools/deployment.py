"""Starts an example deployment on loopback, as separate processes.

Usage:
  deployment.py FOLDER
"""

import base64
from collections.abc import Iterable
import http.client
import json
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
CONFIG_KEY = b"egretcart/config"
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05

Document = dict[str, Any]


def request(
    port: int, method: str, path: str, body: Document | None = None
) -> Document:
    """Return the JSON answer of one HTTP exchange on loopback."""
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    try:
        data = None if body is None else json.dumps(body)
        connection.request(method, path, data)
        answer: Document = json.loads(connection.getresponse().read())
        return answer
    finally:
        connection.close()


def loopback(port: int = 0) -> Document:
    """Return a loopback address; for port 0 the system chooses a port."""
    return {"host": HOST, "port": port}


class StartedProcess:
    """One process of a deployment.

    Attributes
    ----------
    name : str
    process : subprocess.Popen
    ready : dict
        The ports that the process printed; empty until `wait_ready`.
    log_path : pathlib.Path
        File with its standard error.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        name: str,
        role: list[str],
        doc: Document,
        checkout: pathlib.Path,
    ) -> None:
        path = folder / f"{name}.json"
        path.write_text(json.dumps(doc))
        self.name = name
        self.ready: Document = {}
        self.log_path = path.with_suffix(".log")
        with self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "egretcart", *role, str(path)],
                cwd=checkout,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )

    def wait_ready(self) -> None:
        """Wait until the process has printed its ports."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            log = self.log_path.read_text()
            raise RuntimeError(f"{self.name} did not start: {log}")
        self.ready = json.loads(line)

    def kill(self) -> None:
        """End the process at once."""
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()


def wait_all_ready(started: Iterable[StartedProcess]) -> None:
    """Wait until each process has printed its ports."""
    for process in started:
        process.wait_ready()


def read_folder(folder: pathlib.Path, part: str) -> dict[str, Document]:
    """Return the settings files in a subfolder, by file name."""
    return {
        path.stem: json.loads(path.read_text())
        for path in sorted((folder / part).glob("*.json"))
    }


class Deployment:
    """Processes with the settings of an example, on loopback addresses.

    Parameters
    ----------
    example : pathlib.Path
        A folder like examples/snapcheck.
    checkout : pathlib.Path, optional
        Checkout of the repository that the processes run from.

    Attributes
    ----------
    entries, agents, backends : list of StartedProcess
    profile : dict
        The example's load profile, with the addresses of the started
        processes.
    """

    def __init__(
        self, example: pathlib.Path, *, checkout: pathlib.Path = ROOT
    ) -> None:
        self.example = example
        self.checkout = checkout
        self.folder = tempfile.TemporaryDirectory()
        self.work_path = pathlib.Path(self.folder.name)
        self.processes: list[StartedProcess] = []
        self.entries: list[StartedProcess] = []
        self.agents: list[StartedProcess] = []
        self.backends: list[StartedProcess] = []
        self.profile: Document = json.loads(
            (example / "load.json").read_text()
        )

    def start(
        self, name: str, role: list[str], doc: Document
    ) -> StartedProcess:
        """Start one process."""
        process = StartedProcess(
            folder=self.work_path,
            name=name,
            role=role,
            doc=doc,
            checkout=self.checkout,
        )
        self.processes.append(process)
        return process

    def start_backends(self) -> None:
        """Start the stand-ins of the backend servers."""
        for name, doc in read_folder(self.example, "backends").items():
            doc["listen"] = loopback()
            role = ["standin", "backend"]
            self.backends.append(self.start(name, role, doc))
        wait_all_ready(self.backends)
        self.profile["backends"] = [
            loopback(backend.ready["port"]) for backend in self.backends
        ]

    def start_system(self) -> None:
        """Start platform, entries and agents; wait until they serve."""
        platform = self.start(
            "platform", ["standin", "platform"], {"listen": loopback()}
        )
        wait_all_ready([platform])
        port = platform.ready["port"]
        self._apply_configuration(port)
        for name, doc in read_folder(self.example, "entries").items():
            doc |= {
                "http": loopback(),
                "peer": loopback(),
                "seeds": self._peer_addresses(),
                "platform": loopback(port),
            }
            self.entries.append(self.start(name, ["entry"], doc))
            wait_all_ready(self.entries[-1:])
        self._start_agents()
        self.profile["entries"] = [
            loopback(entry.ready["http_port"]) for entry in self.entries
        ]
        self.profile["agents"] = [
            loopback(agent.ready["http_port"]) for agent in self.agents
        ]
        self._wait_serving()

    def start_naive(self) -> None:
        """Start the naive version instead of platform, entries and agents."""
        naive = self.start(
            "naive",
            ["standin", "naive"],
            {"http": loopback(), "backends": self.profile["backends"]},
        )
        wait_all_ready([naive])
        self.entries = [naive]
        self.profile["entries"] = [loopback(naive.ready["http_port"])]
        self.profile["agents"] = []

    def control(self, number: int, **behaviour: Any) -> None:
        """Change how a backend server behaves."""
        port = self.backends[number].ready["port"]
        request(port, "PUT", "/control", behaviour)

    def close(self) -> None:
        """Kill all processes and delete their files."""
        for process in self.processes:
            process.kill()
        self.folder.cleanup()

    def _peer_addresses(self) -> list[Document]:
        return [loopback(entry.ready["peer_port"]) for entry in self.entries]

    def _apply_configuration(self, port: int) -> None:
        document = (self.example / "configuration.json").read_bytes()
        put = {
            "key": base64.b64encode(CONFIG_KEY).decode(),
            "value": base64.b64encode(document).decode(),
        }
        body = {"success": [{"request_put": put}]}
        request(port, "POST", "/v3/kv/txn", body)

    def _start_agents(self) -> None:
        documents = read_folder(self.example, "agents")
        for (name, doc), backend in zip(
            documents.items(), self.backends, strict=True
        ):
            doc |= {
                "backend": loopback(backend.ready["port"]),
                "seeds": self._peer_addresses(),
                "http": loopback(),
            }
            self.agents.append(self.start(name, ["agent"], doc))
        wait_all_ready(self.agents)

    def _wait_serving(self) -> None:
        """Wait until a leader is serving with all agents in its roster."""
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if any(self._is_serving(entry) for entry in self.entries):
                return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError("the deployment was not serving in time")

    def _is_serving(self, entry: StartedProcess) -> bool:
        port = entry.ready["http_port"]
        try:
            status = request(port, "GET", "/v1/status")
        except OSError:
            return False
        # The roster may be written with all members at once, or grow by one
        # member at a time.
        return any(
            cell["phase"] == "serving" and cell["members"] == len(self.agents)
            for cell in status["leading"]
        )


def main() -> int:
    """Start a deployment and wait for an interrupt."""
    if len(sys.argv) != 2:
        print(__doc__)
        return 2
    deployment = Deployment(pathlib.Path(sys.argv[1]))
    try:
        deployment.start_backends()
        deployment.start_system()
        path = deployment.work_path / "profile.json"
        path.write_text(json.dumps(deployment.profile))
        print(f"serving; egretcart load {path}")
        for process in deployment.processes:
            print(f"{process.name}: {json.dumps(process.ready)}")
        sys.stdout.flush()
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        return 0
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())
