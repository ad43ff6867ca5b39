"""Stores a backend server's last report for the agent's next incarnation.

A restarted agent would have to wait for the server's next report before it
knows the server's capacity. So the last report is kept in the platform's
store: one write for each incarnation of a server, and one read for each
start of an agent.
"""

import msgspec
import trio

from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import Put
from egretcart.request.json_decoding import decode_json

BACKENDS_PREFIX = "egretcart/backends/"
RETRY_DELAY_S = 1.0
DEPENDENCY_NAME = "backend memory"


def encode_report(report: BackendReport) -> bytes:
    """Return a report as JSON, without fields that differ in each report."""
    return msgspec.json.encode(
        msgspec.structs.replace(
            report, clock_ms=0, sequence=0, leaves_in_ms=None, cold_for_ms=0
        )
    )


def decode_stored_report(data: bytes) -> BackendReport:
    """Return a report that was stored.

    Raises
    ------
    msgspec.DecodeError
        If the data is no report.
    """
    return decode_json(data, BackendReport)


class BackendReportStore:
    """Keeps the last report of one backend server in the store.

    Parameters
    ----------
    platform : Platform
    agent_id : str
    log : DecisionLog

    Attributes
    ----------
    key : str
        Key in the store.
    stored_data : bytes
        Encoded report as it was last read or written; empty if none was.
    newest_data : bytes
        Encoded newest report; empty if there was none.
    write_needed : trio.Event
        Set if `newest_data` has to be written.
    """

    def __init__(
        self, *, platform: Platform, agent_id: str, log: DecisionLog
    ) -> None:
        self.platform = platform
        self.key = f"{BACKENDS_PREFIX}{agent_id}"
        self.log = log
        self.stored_data = b""
        self.newest_data = b""
        self.write_needed = trio.Event()

    async def load_report(self) -> BackendReport | None:
        """Return the last report of an earlier incarnation, if any."""
        try:
            value = await self.platform.get(self.key)
            if value is None:
                return None
            self.stored_data = value.data
            return decode_stored_report(value.data)
        except (PlatformError, msgspec.DecodeError) as error:
            # The server's next report gives the same data a little later.
            self.log.write(
                DependencyChanged(
                    name=DEPENDENCY_NAME,
                    state="not recalled",
                    cause=str(error),
                )
            )
            return None

    def record(self, report: BackendReport) -> None:
        """Have a report written if it differs from the stored one."""
        self.newest_data = encode_report(report)
        if self.newest_data != self.stored_data:
            self.write_needed.set()

    async def run(self) -> None:
        """Write changed reports until cancelled."""
        while True:
            await self.write_needed.wait()
            self.write_needed = trio.Event()
            while self.newest_data != self.stored_data:
                data = self.newest_data
                try:
                    await self.platform.transact(
                        {}, (Put(key=self.key, data=data),)
                    )
                    self.stored_data = data
                except PlatformError:
                    # The report only speeds up a restart, so it can wait.
                    await trio.sleep(RETRY_DELAY_S)
