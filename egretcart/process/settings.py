"""Settings files of the processes: their fields, and how they are read."""

import pathlib
from typing import Annotated
from typing import TypeVar

import msgspec
from result import Err
from result import Result

from egretcart.testing.backend import BackendBehaviour
from egretcart.version.check import decode_checked

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]


class SettingsBase(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class of all settings: frozen, unknown fields are errors."""


class Address(SettingsBase, frozen=True, kw_only=True):
    """Address that a process listens on or is reached at.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        TCP port; 0 lets the operating system choose a free one.
    """

    host: Text
    port: Port


class EntrySettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes
    ----------
    entry_id : str
        Identifier of the entry in the deployment.
    failure_domain : str
        Name of the failure domain that the entry runs in.
    http : Address
        Address of the HTTP API that callers connect to.
    operators : Address or None
        Address of the HTTP API that operators connect to; None if they use
        `http`.
    peer : Address
        Address that agents and other entries connect to.
    advertised : Address or None
        Peer address that is reported to other processes; None if it is
        `peer`.
    weight : int
        Share of the cells that this entry should lead, relative to the
        weights of the other entries.
    stop_grace_s : float
        Time from the start of a graceful shutdown, when the entry reports
        that it is no longer ready, until it accepts no new connections, in
        seconds.
    stop_limit_s : float
        Longest time of a graceful shutdown, in seconds.
    seeds : tuple of Address
        Peer addresses of other entries, which the entry connects to at its
        start.
    platform : Address or None
        Address of the platform's key-value store; None if the entry uses no
        store.
    """

    entry_id: Text
    failure_domain: Text
    http: Address
    peer: Address
    operators: Address | None = None
    advertised: Address | None = None
    weight: Positive = 1
    stop_grace_s: Seconds = 2.0
    stop_limit_s: Seconds = 25.0
    seeds: tuple[Address, ...] = ()
    platform: Address | None = None


class AgentSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes
    ----------
    agent_id : str
        Identifier of the agent; stays the same when the agent restarts at
        the same place.
    failure_domain : str
        Name of the failure domain that the agent runs in.
    service : str
        Service whose tasks the backend server runs.
    slots : int
        Tasks that the backend server runs at a time.
    connections : int
        Connections that the backend server accepts.
    backend : Address
        HTTP address of the backend server.
    backend_path : str
        Path that tasks are posted to.
    stop_limit_s : float
        Longest time of a graceful shutdown, in seconds.
    seeds : tuple of Address
        Peer addresses of entries, which the agent connects to at its start.
    http : Address or None
        Address that health and metrics are served at; None if they are not
        served.
    platform : Address or None
        Address of the platform's key-value store, which is queried for
        entries only while the agent is connected to none; None if `seeds`
        are the only way to find entries.
    """

    agent_id: Text
    failure_domain: Text
    service: Text
    slots: Positive
    connections: Positive
    backend: Address
    backend_path: Text = "/"
    stop_limit_s: Seconds = 15.0
    http: Address | None = None
    seeds: tuple[Address, ...] = ()
    platform: Address | None = None

    def __post_init__(self) -> None:
        """Reject settings that give the agent no way to find an entry."""
        if not self.seeds and self.platform is None:
            raise ValueError("Expected `seeds`, `platform` or both")


class PlatformStandInSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the stand-in for the platform's key-value store.

    Attributes
    ----------
    listen : Address
        Address that the stand-in serves the store at.
    file : str or None
        File that keeps the data over a restart of the stand-in; None keeps
        them in memory only.
    """

    listen: Address
    file: Annotated[str, msgspec.Meta(min_length=1)] | None = None


class BackendStandInSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the backend server stand-in.

    Attributes
    ----------
    listen : Address
        HTTP address that the stand-in serves tasks at.
    slots : int
        Tasks that run at a time; further tasks wait.
    seed : int
        Seed of the random choice of stragglers.
    behaviour : BackendBehaviour
        Speed and simulated faults of the stand-in.
    """

    listen: Address
    slots: Positive = 8
    seed: int = 0
    behaviour: BackendBehaviour = BackendBehaviour()


class NaiveSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the naive dispatcher, the baseline of measurements.

    Attributes
    ----------
    http : Address
        Address of the HTTP API that callers connect to.
    backends : tuple of Address
        HTTP addresses of the backend servers.
    slots : int
        Tasks that each backend server runs at a time.
    connections : int
        Connections that each backend server accepts.
    """

    http: Address
    backends: Annotated[tuple[Address, ...], msgspec.Meta(min_length=1)]
    slots: Positive = 8
    connections: Positive = 64


S = TypeVar("S")


def load_settings(path: pathlib.Path, kind: type[S]) -> Result[S, str]:
    """Read and check a settings file.

    Parameters
    ----------
    path : pathlib.Path
    kind : type
        Settings class that the file is decoded to.

    Returns
    -------
    Result of settings or str
        The error names the file, the path of the invalid field, the value
        found and the values that are accepted.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    return decode_checked(data, kind).map_err(
        lambda finding: f"{path}: {finding.to_line()}"
    )
