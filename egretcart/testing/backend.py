"""Stand-in for a backend server that serves tasks over HTTP.

It records every start. Its faults are set by its settings or by a PUT
request, such as ``PUT /control``.
"""

import dataclasses
import random
from typing import Annotated

import msgspec
import trio

from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.request.problem import bad_request

MS_PER_S = 1000
BLACK_HOLE_STATUS = 500


class StandInPayload(msgspec.Struct, frozen=True, kw_only=True):
    """Payload of a task, which sets its run time and answer.

    Attributes
    ----------
    run_ms : float
        Run time at speed 1, in milliseconds.
    status : int
        HTTP status of the answer.
    echo : str
        Text that is returned in the answer.
    echo_times : int
        How many times the answer repeats `echo`; 0 for an empty text.
    """

    run_ms: float = 0.0
    status: int = 200
    echo: str = ""
    echo_times: Annotated[int, msgspec.Meta(ge=0)] = 1


class BackendBehaviour(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Speed and faults of a stand-in.

    Attributes
    ----------
    speed : float
        Factor by which run times are divided.
    black_hole : bool
        Whether every task fails at once, with an error status.
    straggler_share : float
        Share of the starts that are stragglers, from 0 to 1.
    straggler_factor : float
        Factor by which the run time of a straggler is longer.
    """

    speed: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    black_hole: bool = False
    straggler_share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    straggler_factor: Annotated[float, msgspec.Meta(ge=1)] = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class RecordedStart:
    """A start that the stand-in has received.

    Attributes
    ----------
    key : str
        Idempotency key of the task; empty if the request has none.
    started_at : float
        Trio's clock when the start arrived, in seconds.
    ended : float or None
        Trio's clock when the task ended, in seconds; None until then.
    """

    key: str
    started_at: float
    ended: float | None = None


class BackendStandIn:
    """Serves tasks by waiting for their run time.

    Parameters
    ----------
    host : str, optional
    port : int, optional
    speed : float, optional
        Factor by which run times are divided.
    slots : int, optional
        Tasks that run at a time; further ones wait. Unlimited by default.
    behaviour : BackendBehaviour, optional
        Overrides `speed`.
    seed : int, optional
        Seed of the choice of stragglers.

    Attributes
    ----------
    starts : list of RecordedStart
    repeated : int
        Number of starts whose key had been received before.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        speed: float = 1.0,
        slots: float = float("inf"),
        behaviour: BackendBehaviour | None = None,
        seed: int = 0,
    ) -> None:
        self.host = host
        self.port = port
        self.behaviour = behaviour or BackendBehaviour(speed=speed)
        self.slot_limiter = trio.CapacityLimiter(slots)
        self.random = random.Random(seed)
        self.starts: list[RecordedStart] = []
        self.seen_keys: set[str] = set()
        self.repeated = 0

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port once it listens."""
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
        """Run a task, report the starts, or change the behaviour.

        A PUT request sets the behaviour. ``GET /counts`` returns the numbers
        of starts, any other GET request the starts themselves. All other
        requests start a task.
        """
        if request.method == "GET":
            if request.path == "/counts":
                return HttpResponse(body=self._encode_counts())
            return HttpResponse(body=self._encode_starts())
        if request.method == "PUT":
            return self._set_behaviour(request)
        start = self._record(request.headers.get("idempotency-key", ""))
        try:
            payload = msgspec.json.decode(request.body, type=StandInPayload)
        except (msgspec.DecodeError, UnicodeDecodeError):
            payload = StandInPayload()
        if self.behaviour.black_hole:
            start.ended = trio.current_time()
            return HttpResponse(status=BLACK_HOLE_STATUS)
        async with self.slot_limiter:
            await trio.sleep(self._run_time_s(payload))
        start.ended = trio.current_time()
        return HttpResponse(
            status=payload.status,
            body=msgspec.json.encode(
                {"echo": payload.echo * payload.echo_times}
            ),
        )

    def _record(self, key: str) -> RecordedStart:
        start = RecordedStart(key=key, started_at=trio.current_time())
        self.starts.append(start)
        self.repeated += key in self.seen_keys
        self.seen_keys.add(key)
        return start

    def _run_time_s(self, payload: StandInPayload) -> float:
        run_s = payload.run_ms / MS_PER_S / self.behaviour.speed
        if self.random.random() < self.behaviour.straggler_share:
            run_s *= self.behaviour.straggler_factor
        return run_s

    def _set_behaviour(self, request: HttpRequest) -> HttpResponse:
        try:
            self.behaviour = msgspec.json.decode(
                request.body, type=BackendBehaviour
            )
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return problem_response(bad_request(str(error)))
        return HttpResponse(body=msgspec.json.encode(self.behaviour))

    def _encode_counts(self) -> bytes:
        return msgspec.json.encode(
            {"starts": len(self.starts), "repeated": self.repeated}
        )

    def _encode_starts(self) -> bytes:
        return msgspec.json.encode(
            {"starts": [[s.key, s.started_at, s.ended] for s in self.starts]}
        )
