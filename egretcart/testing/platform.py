"""Stand-in of the platform's key-value service.

It serves the JSON gateway of the etcd v3 API, as far as the project uses
it.
"""

import base64
import dataclasses
from typing import Any

import msgspec
import trio

from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.request.problem import bad_request


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPair:
    """A value with the revision of its last change."""

    value: bytes
    mod_revision: int


class PlatformStandIn:
    """A key-value service in memory.

    Attributes
    ----------
    pairs : dict of bytes to StoredPair
    revision : int
    calls : int
        Requests served.
    port : int
        Known once `run` has started.
    """

    def __init__(self, *, host: str = "127.0.0.1", port: int = 0) -> None:
        self.host = host
        self.port = port
        self.pairs: dict[bytes, StoredPair] = {}
        self.revision = 0
        self.calls = 0

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the port when it listens."""
        listeners = await trio.open_tcp_listeners(self.port, host=self.host)
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(
            stream=stream, handler=self.handle, limits=HttpLimits()
        )
        await connection.serve()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one API call."""
        self.calls += 1
        handlers = {"/v3/kv/range": self._range, "/v3/kv/txn": self._txn}
        handler = handlers.get(request.path)
        if handler is None:
            return problem_response(
                bad_request(f"there is nothing at {request.path!r}")
            )
        document = msgspec.json.decode(request.body, type=dict[str, Any])
        return HttpResponse(body=msgspec.json.encode(handler(document)))

    def _range(self, document: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(document["key"])
        pair = self.pairs.get(key)
        if pair is None:
            return {"header": self._header()}
        return {
            "header": self._header(),
            "kvs": [
                {
                    "key": document["key"],
                    "value": base64.b64encode(pair.value).decode(),
                    "mod_revision": str(pair.mod_revision),
                }
            ],
            "count": "1",
        }

    def _txn(self, document: dict[str, Any]) -> dict[str, Any]:
        for compare in document.get("compare", ()):
            pair = self.pairs.get(base64.b64decode(compare["key"]))
            revision = pair.mod_revision if pair is not None else 0
            if revision != int(compare["mod_revision"]):
                return {"header": self._header()}
        self.revision += 1
        for operation in document.get("success", ()):
            put = operation["request_put"]
            self.pairs[base64.b64decode(put["key"])] = StoredPair(
                base64.b64decode(put["value"]), self.revision
            )
        return {"header": self._header(), "succeeded": True}

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.revision)}
