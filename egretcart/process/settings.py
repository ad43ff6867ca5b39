"""Settings of each process, read from JSON files."""

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
    """Base of all settings: frozen, unknown fields are errors."""


class Address(SettingsBase, frozen=True, kw_only=True):
    """Where a process listens or is reached.

    Attributes
    ----------
    host : str
        An IP number.
    port : int
        0 lets the system choose one.
    """

    host: Text
    port: Port


class EntrySettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of an entry.

    Attributes
    ----------
    entry_id : str
    failure_domain : str
    http : Address
        Where callers connect.
    operators : Address or None
        Where operators connect, if not where callers do.
    peer : Address
        Where agents and other entries connect.
    advertised : Address or None
        Peer address that others are told, if it is not `peer`.
    weight : int
        Share of the cells that it should lead, relative to others.
    stop_grace_s : float
        Time from a planned stop's start, when readiness goes off, until no
        new connections are accepted, in seconds.
    stop_limit_s : float
        Bound of a planned stop, in seconds.
    seeds : tuple of Address
        Peer addresses of other entries.
    platform : Address or None
        The platform's store.
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
        Stays the same over restarts at the same place.
    failure_domain : str
    service : str
    slots : int
        Tasks that the backend server runs at a time.
    connections : int
        Connections that the backend server accepts.
    backend : Address
    backend_path : str
        Path that tasks are posted to.
    stop_limit_s : float
        Bound of a planned stop, in seconds.
    seeds : tuple of Address
        Peer addresses of entries.
    http : Address or None
        Where health and metrics are served.
    platform : Address or None
        The platform's store; only asked for entries while none is known.
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
        """Refuse settings without any way to find an entry."""
        if not self.seeds and self.platform is None:
            raise ValueError("Expected `seeds`, `platform` or both")


class PlatformStandInSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the platform stand-in.

    Attributes
    ----------
    listen : Address
    file : str or None
        Keeps the data over a restart of the stand-in.
    """

    listen: Address
    file: Annotated[str, msgspec.Meta(min_length=1)] | None = None


class BackendStandInSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the backend server stand-in.

    Attributes
    ----------
    listen : Address
    slots : int
        Tasks that run at a time; more wait.
    seed : int
        Decides which starts are stragglers.
    behaviour : BackendBehaviour
    """

    listen: Address
    slots: Positive = 8
    seed: int = 0
    behaviour: BackendBehaviour = BackendBehaviour()


class NaiveSettings(SettingsBase, frozen=True, kw_only=True):
    """Settings of the naive version, the baseline of comparisons.

    Attributes
    ----------
    http : Address
        Where callers connect.
    backends : tuple of Address
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
        Settings class to fill.

    Returns
    -------
    Result of settings or str
        The error names the file, the path of the wrong field, the value
        found and what is accepted.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    return decode_checked(data, kind).map_err(
        lambda finding: f"{path}: {finding.to_line()}"
    )
