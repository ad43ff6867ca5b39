"""Settings of the processes of direct dispatch, read from JSON files."""

import pathlib
from typing import Annotated
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from egretcart.request.json_decoding import decode_json

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
PositiveMs = Annotated[float, msgspec.Meta(gt=0)]


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
    stop_grace_s: float = 6.0
    max_lease_ms: int = 1000
    far_factor: float = 1.5
    max_drain_delay_ms: PositiveMs | None = None
    metrics: str = ""

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


class DirectAgentSettings(DirectSettings, frozen=True, kw_only=True):
    """Settings of an agent.

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


S = TypeVar("S", bound=DirectSettings)


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises
    ------
    ValueError
        If it is not of the form ``host:port``.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f'"{address}" is not of the form host:port')
    return host, int(port)


def load_direct_settings(
    path: pathlib.Path, settings_type: type[S]
) -> Result[S, str]:
    """Return the settings of a file, or a description of the error."""
    try:
        data = path.read_bytes()
        return Ok(decode_json(data, settings_type))
    except (OSError, msgspec.DecodeError) as error:
        return Err(f"{path}: {error}")
