"""Clients of the operators' commands for the store and for entries."""

from collections.abc import Iterable
import dataclasses
from typing import Any
from typing import Protocol
from typing import TypeVar

import msgspec
import trio

from egretcart.connection.http_client import ClientResponse
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.process.configuration.config_store import apply_change
from egretcart.process.configuration.config_store import ConfigReader
from egretcart.process.configuration.config_store import PlatformConfigStore
from egretcart.process.operators.operator_api import ACTIVE_CONFIGURATION_PATH
from egretcart.process.operators.operator_api import CONFIGURATION_PATH
from egretcart.process.operators.operator_api import ENTRY_APPLY_TIMEOUT_S
from egretcart.process.operators.operator_api import FIRST_VERSION_PARAMETER
from egretcart.process.operators.operator_api import HISTORY_PATH
from egretcart.process.operators.operator_api import PROCESSES_PATH
from egretcart.process.operators.operator_api import VERSIONS_PATH
from egretcart.process.operators.reports import ProcessesReport
from egretcart.process.settings import Address
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.registration import list_entries
from egretcart.request.json_decoding import decode_json
from egretcart.request.verdict import Verdict
from egretcart.version.change import AuditEntry
from egretcart.version.change import ChangeOutcome
from egretcart.version.change import CurrentVersion
from egretcart.version.change import NotReached
from egretcart.version.change import ProposedChange
from egretcart.version.change import Undecided
from egretcart.version.document import Configuration

HTTP_OK = 200
READ_TIMEOUT_S = 5.0
REPORT_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.3

T = TypeVar("T")


class OperatorClient(ConfigReader, Protocol):
    """Interface through which the commands read and change configurations.

    All methods except `apply` raise `PlatformError` if there is no answer;
    `apply` returns an outcome instead.
    """

    async def apply(
        self, change: ProposedChange, *, time_limit_s: float
    ) -> ChangeOutcome:
        """Apply a change and return its outcome."""

    async def entry_addresses(self) -> tuple[Address, ...]:
        """Return the HTTP addresses of entries to request reports from."""


class PlatformClient:
    """An `OperatorClient` that reads and writes the platform's store.

    Parameters
    ----------
    address : Address
        Address of the platform's store.
    """

    def __init__(self, *, address: Address) -> None:
        self.platform = EtcdPlatform(host=address.host, port=address.port)
        self.store = PlatformConfigStore(platform=self.platform)

    async def read_current(self) -> CurrentVersion | None:
        """Return the current document, or None if there is none."""
        return await self.store.read_current()

    async def read_entry(self, version: int) -> AuditEntry | None:
        """Return the audit entry of a version; None if it is not stored."""
        return await self.store.read_entry(version)

    async def read_document(self, version: int) -> Configuration | None:
        """Return the document of a version; None if it is not stored."""
        return await self.store.read_document(version)

    async def read_history(self, first_version: int) -> tuple[AuditEntry, ...]:
        """Return the audit entries from a version on, oldest first."""
        return await self.store.read_history(first_version)

    async def apply(
        self, change: ProposedChange, *, time_limit_s: float
    ) -> ChangeOutcome:
        """Apply a change and return its outcome."""
        return await apply_change(
            self.store, change, time_limit_s=time_limit_s
        )

    async def entry_addresses(self) -> tuple[Address, ...]:
        """Return the HTTP addresses of the registered entries."""
        entries = await list_entries(self.platform)
        return tuple(
            Address(host=entry.http_host, port=entry.http_port)
            for entry in entries
        )


class EntryClient:
    """An `OperatorClient` that uses the HTTP API of an entry.

    Parameters
    ----------
    address : Address
        Address of the entry's HTTP API for operators.
    """

    def __init__(self, *, address: Address) -> None:
        self.address = address
        self.http = HttpClient(
            host=address.host, port=address.port, max_connections=1
        )

    async def read_current(self) -> CurrentVersion | None:
        """Return the current document, or None if there is none."""
        return await self._get(CONFIGURATION_PATH, CurrentVersion | None)

    async def read_entry(self, version: int) -> AuditEntry | None:
        """Return the audit entry of a version; None if it is not stored."""
        return await self._get(f"{HISTORY_PATH}/{version}", AuditEntry | None)

    async def read_document(self, version: int) -> Configuration | None:
        """Return the document of a version; None if it is not stored."""
        path = f"{VERSIONS_PATH}/{version}"
        return await self._get(path, Configuration | None)

    async def read_history(self, first_version: int) -> tuple[AuditEntry, ...]:
        """Return the audit entries from a version on, oldest first."""
        path = f"{HISTORY_PATH}?{FIRST_VERSION_PARAMETER}={first_version}"
        return await self._get(path, tuple[AuditEntry, ...])

    async def apply(
        self, change: ProposedChange, *, time_limit_s: float
    ) -> ChangeOutcome:
        """Apply a change and return its outcome.

        While the outcome is undecided, for example because the connection
        to the entry broke, the request is repeated under the same change
        id until the time limit.
        """
        outcome: ChangeOutcome = Undecided(
            change_id=change.change_id,
            reason=f"no answer in {time_limit_s:.1f} s",
        )
        with trio.move_on_after(time_limit_s):
            while True:
                outcome = await self._post(change)
                if not isinstance(outcome, Undecided):
                    return outcome
                change = msgspec.structs.replace(change, resumed=True)
                await trio.sleep(RETRY_PAUSE_S)
        return outcome

    async def read_active_configuration(self) -> Configuration:
        """Return the configuration that is active in the entry."""
        document: Configuration = await self._get(
            ACTIVE_CONFIGURATION_PATH, Configuration
        )
        return document

    async def read_processes(self) -> ProcessesReport:
        """Return the entry's report on all processes that it knows."""
        report: ProcessesReport = await self._get(
            PROCESSES_PATH, ProcessesReport
        )
        return report

    async def entry_addresses(self) -> tuple[Address, ...]:
        """Return this entry's HTTP address."""
        return (self.address,)

    async def _post(self, change: ProposedChange) -> ChangeOutcome:
        try:
            outcome: ChangeOutcome = await self._exchange(
                "POST",
                CONFIGURATION_PATH,
                ChangeOutcome,
                msgspec.json.encode(change),
                ENTRY_APPLY_TIMEOUT_S * 2,
            )
        except PlatformError as error:
            if error.verdict is Verdict.NOT_RUN and not change.resumed:
                return NotReached(reason=str(error))
            return Undecided(change_id=change.change_id, reason=str(error))
        return outcome

    async def _get(self, path: str, kind: Any) -> Any:
        return await self._exchange("GET", path, kind, b"", READ_TIMEOUT_S)

    async def _exchange(
        self, method: str, path: str, kind: Any, body: bytes, timeout_s: float
    ) -> Any:
        try:
            response = await self.http.exchange(
                method, path, body=body, time_limit_s=timeout_s
            )
            if response.status != HTTP_OK:
                raise _error_from_response(response)
            return decode_json(response.body, kind)
        except ExchangeError as error:
            raise PlatformError(
                f"entry {self.address.host}:{self.address.port}: {error}",
                error.verdict,
            ) from error
        except msgspec.DecodeError as error:
            raise PlatformError(f"the entry answered: {error}") from error


class _ProblemBody(msgspec.Struct, kw_only=True):
    detail: str = ""
    verdict: Verdict = Verdict.MAY_HAVE_RUN


def _error_from_response(response: ClientResponse) -> PlatformError:
    try:
        problem = decode_json(response.body, _ProblemBody)
    except msgspec.DecodeError:
        return PlatformError(f"the entry answered {response.status}")
    return PlatformError(problem.detail, problem.verdict)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProcessesOverview:
    """Reports of all entries, and the addresses that did not answer.

    Attributes
    ----------
    reports : tuple of ProcessesReport
        In the order of the entries' ids.
    addresses : dict of str to Address
        HTTP address of each entry that has answered, by its id.
    unreachable : tuple of str
        HOST:PORT of each address that gave no report.
    """

    reports: tuple[ProcessesReport, ...]
    addresses: dict[str, Address]
    unreachable: tuple[str, ...]

    @property
    def highest_known_version(self) -> int:
        """Highest version that any entry knows of; 0 if there is none."""
        return max(
            (report.entry.highest_heard for report in self.reports), default=0
        )

    @property
    def newest_entry(self) -> Address | None:
        """Address of an entry whose active version is the newest.

        None if no entry has answered.
        """
        if not self.reports:
            return None
        newest_entry = max(self.reports, key=lambda r: r.entry.config_version)
        return self.addresses[newest_entry.entry.entry_id]


async def collect_reports(first: Iterable[Address]) -> ProcessesOverview:
    """Collect the reports of entries and of all peers that they list.

    Parameters
    ----------
    first : iterable of Address
        HTTP addresses of the entries that are asked first.

    Returns
    -------
    ProcessesOverview
    """
    waiting = list(first)
    asked: set[tuple[str, int]] = set()
    reports: dict[str, ProcessesReport] = {}
    addresses: dict[str, Address] = {}
    unreachable: list[str] = []
    while waiting:
        address = waiting.pop()
        key = (address.host, address.port)
        if key in asked or not address.port:
            continue
        asked.add(key)
        report = await _request_report(address)
        if report is None:
            unreachable.append(f"{address.host}:{address.port}")
            continue
        reports[report.entry.entry_id] = report
        addresses[report.entry.entry_id] = address
        waiting += [
            Address(host=peer.http_host, port=peer.http_port)
            for peer in report.peers
        ]
    ordered = tuple(report for _, report in sorted(reports.items()))
    return ProcessesOverview(
        reports=ordered, addresses=addresses, unreachable=tuple(unreachable)
    )


async def _request_report(address: Address) -> ProcessesReport | None:
    client = EntryClient(address=address)
    with trio.move_on_after(REPORT_TIMEOUT_S):
        try:
            return await client.read_processes()
        except PlatformError:
            return None
    return None
