"""What an agent's next incarnation should know of its backend server.

A restarted agent would have to wait for the server's next report before it
knows what room there is. So the last report lies in the platform's store:
one write for each life of a server, and one read for each start of an agent.
"""

import dataclasses

import msgspec
import trio

from egretcart.direct.backend import BackendReport
from egretcart.direct.decisions import DecisionLog
from egretcart.direct.decisions import DependencyChanged
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import Put

BACKENDS_PREFIX = "egretcart/backends/"
RETRY_S = 1.0
DEPENDENCY_NAME = "backend memory"


def encode_report(report: BackendReport) -> bytes:
    """Return a report as JSON, without what changes with each report."""
    return msgspec.json.encode(
        dataclasses.replace(report, clock_ms=0, sequence=0)
    )


def decode_stored_report(data: bytes) -> BackendReport:
    """Return a report that was stored.

    Raises
    ------
    msgspec.DecodeError
        If the data is no report.
    """
    return msgspec.json.decode(data, type=BackendReport)


class BackendReportStore:
    """Keeps the last report of one backend server in the store.

    Parameters
    ----------
    platform : Platform
    agent_id : str
    log : DecisionLog
    """

    def __init__(
        self, *, platform: Platform, agent_id: str, log: DecisionLog
    ) -> None:
        self.platform = platform
        self.key = f"{BACKENDS_PREFIX}{agent_id}"
        self.log = log
        self.stored = b""
        self.newest = b""
        self.wake = trio.Event()

    async def load_report(self) -> BackendReport | None:
        """Return the last report of an earlier incarnation, if any."""
        try:
            value = await self.platform.get(self.key)
            if value is None:
                return None
            self.stored = value.data
            return decode_stored_report(value.data)
        except (PlatformError, msgspec.DecodeError) as error:
            # The server's next report tells the same a little later.
            self.log.write(
                DependencyChanged(
                    name=DEPENDENCY_NAME,
                    state="not recalled",
                    cause=str(error),
                )
            )
            return None

    def record(self, report: BackendReport) -> None:
        """Store a report if it says something new."""
        self.newest = encode_report(report)
        if self.newest != self.stored:
            self.wake.set()

    async def run(self) -> None:
        """Write what is new until cancelled."""
        while True:
            await self.wake.wait()
            self.wake = trio.Event()
            while self.newest != self.stored:
                data = self.newest
                try:
                    await self.platform.transact(
                        {}, (Put(key=self.key, data=data),)
                    )
                    self.stored = data
                except PlatformError:
                    # It is only a help; the next try follows.
                    await trio.sleep(RETRY_S)
