"""One process of a platform role, whose start is disturbed."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from loopback import LoopbackNetwork
from platform_deployment import ROOT
from platform_deployment import wait_until

START_LIMIT_S = 30
STOP_LIMIT_S = 30
STANDARD_STREAMS = 3


class RoleProcess:
    """A process of a role, in a network of its own without a store.

    Attributes
    ----------
    role : str
    path : pathlib.Path
        Settings file, which `write_settings` writes.
    addresses : dict of str to tuple of str and int
        Host and port of each address at which the process listens.
    """

    def __init__(self, context, role):
        self.role = role
        self.network = LoopbackNetwork()
        context.add_cleanup(self.network.close)
        folder = tempfile.TemporaryDirectory()
        context.add_cleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"
        self.output = pathlib.Path(folder.name) / "output.txt"
        self.host = self.network.host(1)
        parts = {
            "peers": "peer",
            "callers": "front",
            "readiness": "ready",
            "control": "control",
        }
        self.addresses = {
            name: (self.host, self.network.ports[part])
            for name, part in parts.items()
            if role == "entry" or name == "control"
        }
        self.process = None
        context.add_cleanup(self.close)

    def settings(self, **changes):
        """Return the settings, as the platform would write them."""
        written = {
            "node": f"{self.role}-1",
            "host": self.host,
            "failure_domain": "zone-1",
            "peer_port": self.network.ports["peer"],
            "store": f"{self.network.host(2)}:1",
            "control": self._text("control"),
        }
        if self.role == "entry":
            written["callers"] = self._text("callers")
            written["readiness"] = self._text("readiness")
        else:
            written["backend"] = f"{self.network.host(3)}:1"
        return json.dumps(written | changes)

    def _text(self, name):
        host, port = self.addresses[name]
        return f"{host}:{port}"

    def write_settings(self, **changes):
        self.path.write_text(self.settings(**changes))

    def start(self, prepare=None, *, error_output=subprocess.STDOUT):
        """Start the process, in which a function is called before."""
        with self.output.open("w") as output:
            self.process = subprocess.Popen(
                [sys.executable, "platform", self.role],
                cwd=ROOT,
                env={**os.environ, "EGRETCART_CONFIG": str(self.path)},
                stdout=output,
                stderr=error_output,
                preexec_fn=prepare,
            )

    def send_while_starting(self, number):
        """Send a signal as soon as the process holds it back."""
        wait_until(
            lambda: self._blocks(number), START_LIMIT_S, "signal is blocked"
        )
        self.process.send_signal(number)

    def _blocks(self, number):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        (mask,) = (
            line.split()[1]
            for line in status.splitlines()
            if line.startswith("SigBlk:")
        )
        return int(mask, 16) >> (number - 1) & 1

    def lines(self, kind):
        """Return the lines of a kind that the process has written."""
        texts = self.output.read_text().splitlines()
        lines = [json.loads(text) for text in texts if text.startswith("{")]
        return [
            line
            for line in lines
            if line["message_type"] == f"egretcart:{kind}"
        ]

    def standard_streams(self):
        """Return what the process has open as its standard streams."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        return [
            str((folder / str(number)).readlink())
            for number in range(STANDARD_STREAMS)
        ]

    def states(self):
        return [line["state"] for line in self.lines("ProcessChanged")]

    def wait_started(self):
        wait_until(
            lambda: self.lines("ProcessStarted") or not self.runs(),
            START_LIMIT_S,
            f"start of {self.role}: {self.output.read_text()}",
        )
        assert self.runs(), self.output.read_text()

    def runs(self):
        return self.process.poll() is None

    def accepts(self):
        """Whether the process accepts connections at all its addresses."""
        for address in self.addresses.values():
            try:
                socket.create_connection(address, timeout=5).close()
            except OSError:
                return False
        return True

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(STOP_LIMIT_S)

    def keeps_running(self, duration_s):
        time.sleep(duration_s)
        return self.runs()

    def close(self):
        if self.process is not None:
            self.process.kill()
            self.process.wait()
