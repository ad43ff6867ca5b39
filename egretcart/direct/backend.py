"""What an agent asks of the backend server beside it."""

import dataclasses
import enum
from typing import Protocol

from egretcart.direct.job import Ending
from egretcart.direct.job import Room
from egretcart.direct.job import TaskKey


@dataclasses.dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One life of a backend server; it knows nothing of an earlier one.

    Attributes
    ----------
    instance : str
        Name of the server, which a later life may bear again.
    born_ms : int
        Unix time of its start, in milliseconds.
    """

    instance: str
    born_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendReport:
    """What a backend server announces of itself.

    Attributes
    ----------
    lifetime : Lifetime
    service : str
    capacity : Room
    labels : tuple of str
    draining : bool
    clock_ms : int
        The server's steady clock.
    sequence : int
        Rises with each report of a lifetime.
    """

    lifetime: BackendIncarnation
    service: str
    capacity: Room
    labels: tuple[str, ...] = ()
    draining: bool = False
    clock_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A run that the backend server lists as running."""

    key: TaskKey
    run: int
    percent: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndedTask:
    """A run that the backend server lists as ended; numbers rise."""

    number: int
    key: TaskKey
    run: int
    ending: Ending


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """What runs and what has ended at a backend server.

    Attributes
    ----------
    clock_ms : int
        The server's steady clock at the answer.
    born_ms : int
        Unix time of the start of the lifetime that answers.
    running : tuple of RunningTask
    ended : tuple of EndedTask
        Those not yet acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


class StartAnswer(enum.Enum):
    """How a backend server answers an order to start a task.

    All but `STARTED` mean that the order has not begun and never will.
    """

    STARTED = "started"
    STALE_TOKEN = "stale_token"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other_lifetime"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollRequest:
    """Asks for a listing, and renews the lease of all that runs.

    Attributes
    ----------
    lifetime : Lifetime
    fencing_token : int
    acknowledged : int
        Ends up to this number may be forgotten.
    deadline_ms : int or None
        New end of the lease on the server's clock; None leaves it.
    wait_ms : int
        How long to wait for an end.
    """

    lifetime: BackendIncarnation
    fencing_token: int
    acknowledged: int
    deadline_ms: int | None
    wait_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartRequest:
    """Orders a run of a task.

    Attributes
    ----------
    lifetime : Lifetime
    fencing_token : int
    key : TaskKey
    run : int
    payload : str
    deadline_ms : int
        The order is refused past this time of the server's clock.
    """

    lifetime: BackendIncarnation
    fencing_token: int
    key: TaskKey
    run: int
    payload: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopRequest:
    """Orders the end of a run, also of one that is not there yet."""

    lifetime: BackendIncarnation
    fencing_token: int
    key: TaskKey
    run: int


class BackendCallError(Exception):
    """A call to a backend server brought no answer.

    Attributes
    ----------
    refused : bool
        Whether nobody listens there: the server has ended.
    """

    def __init__(self, reason: str, *, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class StaleTokenError(Exception):
    """The backend server has seen a higher fencing token.

    Attributes
    ----------
    clock_ms : int
        The server's clock, from which a higher token can be made.
    """

    def __init__(self, clock_ms: int) -> None:
        super().__init__(f"a higher fencing token was seen by {clock_ms} ms")
        self.clock_ms = clock_ms


class IncarnationMismatchError(Exception):
    """Another life of the backend server answers."""


class Backend(Protocol):
    """Calls to a backend server.

    Each raises `BackendUnanswered` if no answer came: the call may have
    been carried out, or may be later.
    """

    async def start(self, request: StartRequest) -> StartAnswer:
        """Order a run."""

    async def stop(self, request: StopRequest) -> None:
        """Order the end of a run."""

    async def poll(
        self, request: PollRequest, *, time_limit_s: float
    ) -> Listing:
        """Renew the lease and return what runs and what has ended.

        Raises
        ------
        StaleToken, OtherLifetime
        """
