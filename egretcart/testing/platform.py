"""Stand-in for the platform's key-value service, with faults.

It serves the part of the etcd v3 API's JSON gateway that the project uses,
and control paths that set faults and count calls.
"""

from collections import Counter
from collections.abc import AsyncIterator
import pathlib
from typing import Annotated
from typing import Any

import msgspec
import trio

from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.request.problem import bad_request
from egretcart.testing.platform_store import key_range
from egretcart.testing.platform_store import PlatformStore

LEASE_CHECK_INTERVAL_S = 0.1
PROGRESS_INTERVAL_S = 5.0
MS_PER_S = 1000
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
FAULTS_PATH = "/control/faults"
CALLS_PATH = "/control/calls"
TXN_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/watch"

NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults of the stand-in, set over HTTP.

    Attributes
    ----------
    down : bool
        Whether connections are closed without an answer and watches are
        broken off.
    delay_ms : int
        Delay of each answer, in milliseconds.
    calls_per_s : int or None
        Calls in a second beyond this number are refused with status 429;
        None for no limit.
    lost_replies : int
        Number of coming transactions that take effect without an answer.
    """

    down: bool = False
    delay_ms: NotNegative = 0
    calls_per_s: NotNegative | None = None
    lost_replies: NotNegative = 0


class PlatformStandIn:
    """A key-value service in memory, optionally persisted in a file.

    Parameters
    ----------
    host : str, optional
    port : int, optional
    path : pathlib.Path, optional
        File that keeps the data across restarts; none by default.

    Attributes
    ----------
    store : PlatformStore
    faults : Faults
    calls : int
        Number of API calls received, refused ones included.
    port : int
        Known once `run` listens.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        path: pathlib.Path | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.path = path
        self.store = PlatformStore()
        self.faults = Faults()
        self.calls = 0
        self.calls_by_path: Counter[str] = Counter()
        self.calls_in_second: Counter[int] = Counter()
        self.change_event = trio.Event()

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port once it listens."""
        if self.path is not None and self.path.exists():
            document = msgspec.json.decode(self.path.read_bytes())
            self.store.restore(document, trio.current_time())
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._expire_leases)
            task_status.started(self.port)
            await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(
            stream=stream, handler=self.handle, limits=HttpLimits()
        )
        await connection.serve()

    async def _expire_leases(self) -> None:
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            if self.store.expire_leases(trio.current_time()):
                self._persist_and_notify()

    def _persist_and_notify(self) -> None:
        if self.path is not None:
            document = self.store.to_document(trio.current_time())
            temporary_path = self.path.with_suffix(".draft")
            temporary_path.write_bytes(msgspec.json.encode(document))
            temporary_path.replace(self.path)
        self.change_event.set()
        self.change_event = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer an API call or a request to a control path."""
        if request.path == FAULTS_PATH:
            return self._set_faults(request)
        if request.path == CALLS_PATH:
            report = {"calls": self.calls, "by_path": self.calls_by_path}
            return HttpResponse(body=msgspec.json.encode(report))
        self.calls += 1
        self.calls_by_path[request.path] += 1
        if self.faults.down:
            raise trio.BrokenResourceError("switched off")
        await trio.sleep(self.faults.delay_ms / MS_PER_S)
        if self._is_over_rate():
            return HttpResponse(status=TOO_MANY_REQUESTS, body=b"{}")
        document = msgspec.json.decode(request.body, type=dict[str, Any])
        if request.path == WATCH_PATH:
            return HttpResponse(chunks=self._watch(document["create_request"]))
        return self._answer(request.path, document)

    def _set_faults(self, request: HttpRequest) -> HttpResponse:
        if request.method == "GET":
            return HttpResponse(body=msgspec.json.encode(self.faults))
        try:
            self.faults = msgspec.json.decode(request.body, type=Faults)
        except msgspec.DecodeError as error:
            return problem_response(bad_request(str(error)))
        self.change_event.set()
        self.change_event = trio.Event()
        return HttpResponse(body=msgspec.json.encode(self.faults))

    def _is_over_rate(self) -> bool:
        if self.faults.calls_per_s is None:
            return False
        second = int(trio.current_time())
        self.calls_in_second[second] += 1
        return self.calls_in_second[second] > self.faults.calls_per_s

    def _answer(self, path: str, document: dict[str, Any]) -> HttpResponse:
        now = trio.current_time()
        if path == "/v3/kv/range":
            return HttpResponse(
                body=msgspec.json.encode(self.store.read_range(document))
            )
        if path == TXN_PATH:
            answer = self.store.transact(document)
        elif path == "/v3/lease/grant":
            answer = self.store.grant(document, now)
        elif path == "/v3/lease/keepalive":
            answer = self.store.keep_alive(document, now)
        elif path == "/v3/lease/revoke":
            answer = self.store.revoke(document)
        else:
            return problem_response(
                bad_request(f"there is nothing at {path!r}", status=404)
            )
        self._persist_and_notify()
        if path == TXN_PATH and self.faults.lost_replies:
            self.faults.lost_replies -= 1
            raise trio.BrokenResourceError("the reply is lost")
        status = 200 if "error" not in answer else NOT_FOUND
        return HttpResponse(status=status, body=msgspec.json.encode(answer))

    async def _watch(self, document: dict[str, Any]) -> AsyncIterator[bytes]:
        start, end = key_range(document)
        revision = int(document.get("start_revision", 0))
        revision = revision or self.store.revision + 1
        header = self.store.header()
        yield _encode_line({"header": header, "created": True})
        while not self.faults.down:
            change_event = self.change_event
            events = self.store.events(start, end, revision)
            revision = max(revision, self.store.revision + 1)
            if events:
                header = self.store.header()
                await trio.sleep(self.faults.delay_ms / MS_PER_S)
                yield _encode_line({"header": header, "events": events})
                continue
            with trio.move_on_after(PROGRESS_INTERVAL_S) as idle_scope:
                await change_event.wait()
            if idle_scope.cancelled_caught:
                yield _encode_line({"header": self.store.header()})
        raise trio.BrokenResourceError("switched off")


def _encode_line(result: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"result": result}) + b"\n"
