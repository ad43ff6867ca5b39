"""The part of an entry's HTTP API that serves operators."""

import re
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.process.configuration.config_store import apply_change
from egretcart.process.configuration.config_store import PlatformConfigStore
from egretcart.process.entry.entry import Entry
from egretcart.process.metric_table import HTTP_REQUESTS
from egretcart.process.metrics import Metrics
from egretcart.process.metrics import PROMETHEUS_CONTENT_TYPE
from egretcart.process.operators.reports import report_processes
from egretcart.process.operators.reports import report_status
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform_guard import CallGuard
from egretcart.request.problem import bad_request
from egretcart.request.problem import unavailable
from egretcart.request.verdict import Verdict
from egretcart.version.change import CurrentVersion
from egretcart.version.change import ProposedChange
from egretcart.version.change import Refused
from egretcart.version.check import check_change
from egretcart.version.check import decode_checked

CONFIGURATION_PATH = "/v1/configuration"
HISTORY_PATH = "/v1/configuration/history"
PROCESSES_PATH = "/v1/processes"
STATUS_PATH = "/v1/status"
METRICS_PATH = "/metrics"
HEALTH_PATH = "/healthz"
HEALTHY_BODY = b'{"healthy":true}'
ACTIVE_CONFIGURATION_PATH = "/v1/configuration/in-force"
VERSIONS_PATH = "/v1/configuration/versions"
AUDIT_ENTRY_PATTERN = re.compile(HISTORY_PATH + r"/(\d{1,10})")
VERSION_DOCUMENT_PATTERN = re.compile(VERSIONS_PATH + r"/(\d{1,10})")
# Limit of one request to apply a change, after which the entry answers with
# an outcome.
ENTRY_APPLY_TIMEOUT_S = 5.0
RETRY_AFTER_S = 2.0
FIRST_VERSION_PARAMETER = "first"


class OperatorApi:
    """Handles the HTTP requests of operators.

    Parameters
    ----------
    entry : Entry
    platform : Platform or None
        The store of configurations; None if the entry has none. Requests
        that need the store are then answered with an error.
    metrics : Metrics
    guard : CallGuard, optional
        Rate limit and circuit breaker of the entry's calls to the platform's
        store. Its state and counters are part of the report on processes;
        None if the calls have no guard.
    """

    def __init__(
        self,
        *,
        entry: Entry,
        platform: Platform | None,
        metrics: Metrics,
        guard: CallGuard | None = None,
    ) -> None:
        self.entry = entry
        self.metrics = metrics
        self.guard = guard
        self.store: PlatformConfigStore | None = None
        if platform is not None:
            self.store = PlatformConfigStore(platform=platform)

    def handles_path(self, path: str) -> bool:
        """Return whether a path belongs to this API."""
        return path in (
            PROCESSES_PATH,
            STATUS_PATH,
            METRICS_PATH,
        ) or path.startswith(CONFIGURATION_PATH)

    async def handle_operator_request(
        self, request: HttpRequest
    ) -> HttpResponse:
        """Handle one HTTP request at the separate address for operators."""
        self.metrics.add(HTTP_REQUESTS, label=request.method)
        path = urlsplit(request.path).path
        if request.method == "GET" and path == HEALTH_PATH:
            return HttpResponse(body=HEALTHY_BODY)
        if self.handles_path(path):
            return await self.handle(request)
        return problem_response(
            bad_request(
                f"there is nothing at {path!r}; this address is for operators",
                status=404,
            )
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one HTTP request to a path of this API."""
        path = urlsplit(request.path).path
        if request.method == "GET" and path == CONFIGURATION_PATH:
            return await self._handle_read_current()
        if request.method == "GET":
            report = self._handle_local_report(path)
            if report is not None:
                return report
        try:
            return await self._handle_store_request(request, path)
        except PlatformError as error:
            return problem_response(
                unavailable(
                    f"the platform's store: {error}",
                    verdict=error.verdict,
                    retry_after_s=RETRY_AFTER_S,
                )
            )

    def _handle_local_report(self, path: str) -> HttpResponse | None:
        """Handle a path that does not need the store.

        Return None for all other paths.
        """
        if path == PROCESSES_PATH:
            return _json_response(report_processes(self.entry, self.guard))
        if path == ACTIVE_CONFIGURATION_PATH:
            return _json_response(self.entry.configuration)
        if path == STATUS_PATH:
            return _json_response(report_status(self.entry))
        if path == METRICS_PATH:
            return HttpResponse(
                body=self.metrics.render(),
                content_type=PROMETHEUS_CONTENT_TYPE,
            )
        return None

    async def _handle_read_current(self) -> HttpResponse:
        """Return the configuration document in the store.

        If the entry has no store or the store gives no answer, return the
        entry's active document with revision 0.
        """
        active = self.entry.configuration
        if self.store is not None:
            try:
                return _json_response(await self.store.read_current())
            except PlatformError:
                pass
        return _json_response(CurrentVersion(document=active, revision=0))

    async def _handle_store_request(
        self, request: HttpRequest, path: str
    ) -> HttpResponse:
        if self.store is None:
            raise PlatformError("the entry has none", Verdict.NOT_RUN)
        version = AUDIT_ENTRY_PATTERN.fullmatch(path)
        if request.method == "GET" and version is not None:
            return _json_response(
                await self.store.read_entry(int(version.group(1)))
            )
        version = VERSION_DOCUMENT_PATTERN.fullmatch(path)
        if request.method == "GET" and version is not None:
            return _json_response(
                await self.store.read_document(int(version.group(1)))
            )
        if request.method == "GET" and path == HISTORY_PATH:
            parameters = parse_qs(urlsplit(request.path).query)
            first = parameters.get(FIRST_VERSION_PARAMETER, ["0"])[0]
            if not first.isdecimal():
                return problem_response(
                    bad_request(f"first is {first!r}; accepted: a version")
                )
            return _json_response(await self.store.read_history(int(first)))
        if request.method == "POST" and path == CONFIGURATION_PATH:
            return await self._apply(self.store, request.body)
        return problem_response(
            bad_request(f"no {request.method} of {path}", status=404)
        )

    async def _apply(
        self, store: PlatformConfigStore, body: bytes
    ) -> HttpResponse:
        decoded = decode_checked(body, ProposedChange)
        if decoded.is_err():
            return problem_response(
                bad_request(decoded.unwrap_err().to_line())
            )
        change = decoded.unwrap()
        if change.is_repair:
            findings = check_change(self.entry.configuration, change.document)
            if findings:
                return _json_response(Refused(findings=findings))
        held = max(change.held, self.entry.sync.highest_known_version)
        outcome = await apply_change(
            store,
            msgspec.structs.replace(change, held=held),
            time_limit_s=ENTRY_APPLY_TIMEOUT_S,
        )
        return _json_response(outcome)


def _json_response(value: Any) -> HttpResponse:
    return HttpResponse(body=msgspec.json.encode(value))
