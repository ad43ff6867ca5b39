"""The routing configuration of direct dispatch: routes, limits, version."""

from typing import Annotated
import zlib

import msgspec

from egretcart.direct.request.bounds import Counter
from egretcart.direct.request.bounds import MAX_SPAN_MS
from egretcart.direct.request.bounds import Name
from egretcart.request.json_decoding import decode_json

# Multiple of a job's latency objective after which the answer is of no use to
# its caller any more. It follows from the users' rules on the worth of late
# answers.
USEFUL_LATENCY_FACTOR = 3.0
# Share of that time up to which a job is accepted, and after which a waiting
# one goes before those of all queues: estimates are at times wrong by a
# factor of 1.5.
MAX_USEFUL_SHARE = 2 / 3
# Routes repeat their hosts and prefixes; a higher level gains little.
COMPRESSION_LEVEL = 3
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
MAX_PATH_CHARACTERS = 4096
MAX_PRIORITY = 2**31 - 1
MAX_ATTEMPTS = 1_000_000
MAX_STRETCH = 1_000_000.0
MAX_HEADER_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_TIMEOUT_S = MAX_SPAN_MS / 1000

Path = Annotated[str, msgspec.Meta(max_length=MAX_PATH_CHARACTERS)]
Timeout = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIMEOUT_S)]


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Where callers submit the jobs of one service.

    Attributes
    ----------
    name : str
    host, prefix : str
        Host name and start of the path of the requests. The host and the
        longest matching prefix select a route.
    service : str
        Service whose backend servers run the tasks.
    priority : int
        Jobs of routes with lower values are served first.
    max_attempts : int
        Number of failed runs of a task at which its job fails.
    stretch : float
        The latency objective of a job is this factor times the estimated
        run time of its longest chain of tasks, plus `slack_ms`.
    slack_ms : float
        Time added to the objective, in milliseconds.
    needs_advice : bool
        Whether another service decides which agents may run a step; jobs
        of such a route are refused, as that service is not asked.
    """

    name: Name
    host: Name
    prefix: Path
    service: Name
    priority: Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)] = 0
    max_attempts: Annotated[int, msgspec.Meta(ge=1, le=MAX_ATTEMPTS)] = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)] = 1.0
    slack_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_SPAN_MS)] = 0.0
    needs_advice: bool = False


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of callers' requests.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
        Largest header and largest body of a request, in bytes.
    header_timeout_s : float
        Time for a request to arrive, in seconds.
    idle_timeout_s : float
        Time without a request after which a connection is closed, in
        seconds.
    """

    max_header_bytes: Annotated[
        int, msgspec.Meta(ge=1, le=MAX_HEADER_BYTES)
    ] = 16 * 1024
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)] = (
        256 * 1024
    )
    header_timeout_s: Timeout = 10.0
    idle_timeout_s: Timeout = 120.0


class RoutingConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration.

    Attributes
    ----------
    version : int
        Higher than that of every earlier configuration; 0 before the first.
    routes : tuple of Route
    limits : RequestLimits
    """

    version: Counter = 0
    routes: tuple[Route, ...] = ()
    limits: RequestLimits = RequestLimits()

    @property
    def shortest_slack_s(self) -> float:
        """Shortest slack of the routes' objectives that have one, in seconds.

        0 if none has.
        """
        slacks_ms = [route.slack_ms for route in self.routes if route.slack_ms]
        return min(slacks_ms, default=0.0) / 1000

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route that a request selects, or None."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)


def encode_routing(configuration: RoutingConfiguration) -> bytes:
    """Encode a configuration as compressed JSON, for other entries."""
    return zlib.compress(msgspec.json.encode(configuration), COMPRESSION_LEVEL)


def decode_routing(data: bytes) -> RoutingConfiguration:
    """Decode a configuration that another entry has sent.

    Raises
    ------
    ValueError
        If the data is not a valid configuration.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"{len(data)} bytes: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"{len(data)} bytes are not one whole document")
    return decode_json(document, RoutingConfiguration)
