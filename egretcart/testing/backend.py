"""Stand-in of a backend server, which records every start."""

import dataclasses

import msgspec
import trio

from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse

MS_PER_S = 1000


class StandInPayload(msgspec.Struct, frozen=True, kw_only=True):
    """What a task asks of the stand-in.

    Attributes
    ----------
    run_ms : float
        Run time at speed 1, in milliseconds.
    status : int
        Status to answer with.
    echo : str
        Returned in the answer.
    """

    run_ms: float = 0.0
    status: int = 200
    echo: str = ""


@dataclasses.dataclass(kw_only=True, slots=True)
class RecordedStart:
    """One start that the backend server saw."""

    key: str
    began: float
    ended: float | None = None


class BackendStandIn:
    """Serves tasks by waiting for their run time.

    Parameters
    ----------
    host : str, optional
    port : int, optional
    speed : float, optional
        Run times are divided by this.

    Attributes
    ----------
    starts : list of RecordedStart
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        speed: float = 1.0,
    ) -> None:
        self.host = host
        self.port = port
        self.speed = speed
        self.starts: list[RecordedStart] = []

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
        """Run one task, or report the starts seen."""
        if request.method == "GET":
            return HttpResponse(body=self._report())
        start = RecordedStart(
            key=request.headers.get("idempotency-key", ""),
            began=trio.current_time(),
        )
        self.starts.append(start)
        try:
            payload = msgspec.json.decode(request.body, type=StandInPayload)
        except (msgspec.DecodeError, UnicodeDecodeError):
            payload = StandInPayload()
        await trio.sleep(payload.run_ms / MS_PER_S / self.speed)
        start.ended = trio.current_time()
        return HttpResponse(
            status=payload.status,
            body=msgspec.json.encode({"echo": payload.echo}),
        )

    def _report(self) -> bytes:
        return msgspec.json.encode(
            {"starts": [[s.key, s.began, s.ended] for s in self.starts]}
        )
