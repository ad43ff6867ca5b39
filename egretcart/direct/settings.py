"""Settings of the processes of direct dispatch, as JSON."""

import pathlib
from typing import Annotated
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class DirectSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What both roles are told.

    Attributes
    ----------
    node : str
        Name of the process; stays the same over restarts.
    host : str
        IP number of the machine.
    failure_domain : str
    peer_port : int
        Where entries listen for agents and other entries, on each machine.
    control : str
        Address where the backend server reports, as ``host:port``; empty
        if the process is told nothing.
    seeds : tuple of str
        Addresses of some entries; only their hosts count.
    store : str
        Address of the platform's store.
    stop_grace_s : float
        Time from a planned stop's start to its end, in seconds.
    max_lease_ms : int
        Longest lease that a backend server grants.
    far_factor : float
        How much longer a task takes on another rack than its data's.
    metrics : str
        Address where ``GET /metrics`` is answered; empty to count nothing.
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
    metrics: str = ""

    @property
    def seed_endpoints(self) -> list[tuple[str, int]]:
        """Where the entries among the seeds listen for other processes."""
        return [
            (split_address(seed)[0], self.peer_port) for seed in self.seeds
        ]


class DirectEntrySettings(DirectSettings, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes
    ----------
    callers : str
        Address where callers connect.
    readiness : str
        Address where the balancer asks whether the entry is ready.
    """

    callers: Name
    readiness: Name


class DirectAgentSettings(DirectSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    backend : str
        Address of the backend server.
    """

    backend: Name


S = TypeVar("S", bound=DirectSettings)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address.

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
    """Return the settings of a file, or what is wrong with them."""
    try:
        data = path.read_bytes()
        return Ok(msgspec.json.decode(data, type=settings_type))
    except (OSError, msgspec.DecodeError) as error:
        return Err(f"{path}: {error}")
