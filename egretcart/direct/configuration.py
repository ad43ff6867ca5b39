"""The configuration that direct dispatch serves, and its versions."""

import dataclasses

import msgspec

# Latency objectives after which an answer is of no use to its caller any
# more, from the users' rules on what a late answer is worth.
USEFUL_LATENCY_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where callers submit the jobs of one service.

    Attributes
    ----------
    name, host, prefix, service : str
        The host and the longest matching prefix select a route.
    priority : int
        0 goes first.
    max_attempts : int
        Runs of a task that may fail before its job fails.
    stretch : float
        Latency objective, as a multiple of the longest task's run time.
    slack_ms : float
        Added to the objective, in milliseconds.
    needs_advice : bool
        Whether another service decides which agents may run a step.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slack_ms: float = 0.0
    needs_advice: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Bounds of callers' requests.

    Attributes
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s, idle_timeout_s : float
        In seconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 120.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingConfiguration:
    """One accepted configuration; versions only rise."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    limits: RequestLimits = RequestLimits()

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route that a request selects, or None."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(matching, key=lambda route: len(route.prefix), default=None)


def encode_routing(configuration: RoutingConfiguration) -> bytes:
    """Return a configuration as JSON, for other entries."""
    return msgspec.json.encode(configuration)


def decode_routing(data: bytes) -> RoutingConfiguration:
    """Return the configuration that an entry has sent.

    Raises
    ------
    msgspec.DecodeError
        If the data is no configuration.
    """
    return msgspec.json.decode(data, type=RoutingConfiguration)
