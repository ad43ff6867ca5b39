"""Settings of the processes of direct dispatch, read from JSON files."""

import pathlib
from typing import Annotated
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from egretcart.connection.entry_address import find_address_violation
from egretcart.connection.entry_address import MAX_PORT
from egretcart.direct.request.bounds import MAX_SPAN_MS
from egretcart.request.json_decoding import decode_json

MAX_PORT_DIGITS = len(str(MAX_PORT))

Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_SPAN_MS)]
LeaseMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_SPAN_MS)]
GraceSeconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SPAN_MS / 1000)]
Factor = Annotated[float, msgspec.Meta(ge=0, le=1000)]


class DirectSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that entries and agents have in common.

    Attributes
    ----------
    node : str
        Name of the process; the same after a restart.
    host : str
        IP address of the machine.
    failure_domain : str
        Failure domain of the machine.
    peer_port : int
        Port on which entries listen for agents and other entries; all
        processes must use the same one.
    store : str
        Address of the platform's store, as ``host:port``.
    control : str
        Address on which the backend server's reports are received, as
        ``host:port``; empty if the process receives none.
    seeds : tuple of str
        Addresses of some entries, as ``host:port``; only the hosts are
        used, with `peer_port`.
    stop_grace_s : float
        Time from the start to the end of a graceful shutdown, in seconds.
    max_lease_ms : int
        Longest lease that a backend server grants, in milliseconds.
    far_factor : float
        Factor by which a task's run time is longer on another rack than
        that of its data.
    max_drain_delay_ms : float or None
        Longest time, in milliseconds, from an operator's drain of a failure
        domain until nothing more begins at its backend servers; None if
        operators drain none, so that their drains are not followed.
    metrics : str
        Address on which ``GET /metrics`` is answered, as ``host:port``;
        empty to count and serve no metrics.
    """

    node: Name
    host: Name
    failure_domain: Name
    peer_port: Port
    store: Name
    control: str = ""
    seeds: tuple[str, ...] = ()
    stop_grace_s: GraceSeconds = 6.0
    max_lease_ms: LeaseMs = 1000
    far_factor: Factor = 1.5
    max_drain_delay_ms: PositiveMs | None = None
    metrics: str = ""

    @property
    def addresses(self) -> tuple[str, ...]:
        """All addresses that are set, as ``host:port``."""
        optional = (self.control, self.metrics)
        return (self.store, *self.seeds, *filter(None, optional))

    @property
    def listening(self) -> dict[str, str]:
        """Addresses on which the process listens, by what they are for."""
        optional = {"control": self.control, "metrics": self.metrics}
        return {name: address for name, address in optional.items() if address}

    @property
    def seed_endpoints(self) -> list[tuple[str, int]]:
        """Host and port where each seed listens for other processes."""
        return [
            (split_address(seed)[0], self.peer_port) for seed in self.seeds
        ]


class DirectEntrySettings(DirectSettings, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes
    ----------
    callers : str
        Address on which callers connect, as ``host:port``.
    readiness : str
        Address on which the balancer checks whether the entry is ready,
        as ``host:port``.
    confines_routes : bool
        Whether a route whose jobs crash backend servers one after the other
        may use only a part of the agents.
    """

    callers: Name
    readiness: Name
    confines_routes: bool = False

    @property
    def addresses(self) -> tuple[str, ...]:
        """All addresses that are set, as ``host:port``."""
        return (*super().addresses, self.callers, self.readiness)

    @property
    def listening(self) -> dict[str, str]:
        """Addresses on which the process listens, by what they are for."""
        return {
            "peers": f"{self.host}:{self.peer_port}",
            "callers": self.callers,
            "readiness": self.readiness,
            **super().listening,
        }


class DirectAgentSettings(DirectSettings, frozen=True, kw_only=True):
    """Settings of an agent; `control` must not be empty.

    Attributes
    ----------
    backend : str
        Address of the backend server, as ``host:port``.
    suspects_servers : bool
        Whether a backend server gets no tasks while it is silent or all of
        its runs stand still.
    """

    backend: Name
    suspects_servers: bool = False

    @property
    def addresses(self) -> tuple[str, ...]:
        """All addresses that are set, as ``host:port``."""
        return (*super().addresses, self.backend, self.control)


S = TypeVar("S", bound=DirectSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises
    ------
    ValueError
        If it is not of the form ``host:port``, or nothing can be reached
        there.
    """
    host, _, port = address.rpartition(":")
    if not host or not (port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError(f"{address!r:.80} is not of the form host:port")
    violation = find_address_violation(host, int(port))
    if violation is not None:
        raise ValueError(violation)
    return host, int(port)


def load_direct_settings(
    path: pathlib.Path, settings_type: type[S]
) -> Result[S, str]:
    """Return the settings of a file, or a description of the error."""
    try:
        settings = decode_json(path.read_bytes(), settings_type)
        for address in settings.addresses:
            split_address(address)
    except (OSError, ValueError) as error:
        return Err(f"{path}: {error}")
    return Ok(settings)
