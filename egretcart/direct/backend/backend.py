"""Requests of an agent to its backend server, and the server's answers."""

import enum
from typing import Protocol

import msgspec

from egretcart.direct.request.bounds import Counter
from egretcart.direct.request.bounds import InstanceName
from egretcart.direct.request.bounds import Labels
from egretcart.direct.request.bounds import Name
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey


class BackendIncarnation(msgspec.Struct, frozen=True):
    """One incarnation of a backend server; it knows nothing of earlier ones.

    Attributes
    ----------
    instance : str
        Name of the server, which a later incarnation may have as well.
    born_ms : int
        Unix time of its start, in milliseconds.
    """

    instance: InstanceName
    born_ms: Counter


class BackendReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of a backend server as it reports it.

    Attributes
    ----------
    lifetime : BackendIncarnation
        The incarnation that reports.
    service : str
        Name of its service.
    capacity : Room
        All resources of the server, in use or free.
    labels : tuple of str
        Labels that a step can require, see `Step.requires` and
        `Step.data_rack`.
    draining : bool
        Whether the server is about to shut down; nothing more is started
        there.
    leaves_in_ms : int or None
        Shortest time for which a draining server still runs what it has, in
        milliseconds from the report on; None if it isn't known.
    cold_for_ms : int
        Time for which the server still runs tasks more slowly than later,
        in milliseconds from the report on; 0 for a warm one.
    clock_ms : int
        The server's monotonic clock, in milliseconds; 0 in a report that
        was restored from the store.
    sequence : int
        Rises with each report of an incarnation; 0 in a report that was
        restored from the store.
    """

    lifetime: BackendIncarnation
    service: Name
    capacity: Room
    labels: Labels = ()
    draining: bool = False
    leaves_in_ms: Counter | None = None
    cold_for_ms: Counter = 0
    clock_ms: Counter = 0
    sequence: Counter = 0


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A run that the backend server lists as running.

    Attributes
    ----------
    key : TaskKey
    run : int
        Number of the run, which rises with each run of the same task.
    percent : float
        Progress of the run, 0 to 100.
    """

    key: TaskKey
    run: int
    percent: float


class EndedTask(msgspec.Struct, frozen=True, kw_only=True):
    """A run that the backend server lists as ended.

    Attributes
    ----------
    number : int
        Number of the end, which rises with each run that ends at an
        incarnation of the server; `PollRequest.acknowledged` names it.
    key : TaskKey
    run : int
        Number of the run, which rises with each run of the same task.
    ending : Ending
    """

    number: int
    key: TaskKey
    run: int
    ending: Ending


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """Running and ended runs at a backend server.

    Attributes
    ----------
    clock_ms : int
        The server's monotonic clock at the answer, in milliseconds.
    born_ms : int
        Unix time of the start of the incarnation that answers, in
        milliseconds.
    running : tuple of RunningTask
    ended : tuple of EndedTask
        Ended runs that are not yet acknowledged.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


class StartAnswer(enum.Enum):
    """Answer of a backend server to a request to start a task.

    All but `STARTED` mean that the request has not started the run and
    never will.

    Attributes
    ----------
    STARTED
        The run has started.
    STALE_TOKEN
        The server has seen a higher fencing token.
    STALE_RUN
        The server has seen this or a higher run number of the task.
    TOO_LATE
        The request arrived after its deadline.
    NO_ROOM
        The server has too little free capacity.
    INVALID
        The server does not accept the task at all.
    UNHEALTHY
        The server is overloaded or unavailable.
    OTHER_LIFETIME
        Another incarnation of the server answered.
    NOT_SENT
        No server listens at the address.
    """

    STARTED = "started"
    STALE_TOKEN = "stale_token"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    OTHER_LIFETIME = "other_lifetime"
    NOT_SENT = "not_sent"


class PollRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for a listing, which also renews the lease of all runs.

    Attributes
    ----------
    lifetime : BackendIncarnation
        The incarnation that is asked.
    fencing_token : int
        The server refuses a token that is lower than one that it has seen.
    acknowledged : int
        `EndedTask.number` up to which the server may forget ended runs.
    deadline_ms : int or None
        New end of the lease on the server's clock, in milliseconds; None
        leaves it unchanged.
    wait_ms : int
        How long the server may wait for a run to end before it answers, in
        milliseconds; 0 for an answer at once.
    """

    lifetime: BackendIncarnation
    fencing_token: int
    acknowledged: int
    deadline_ms: int | None
    wait_ms: int


class StartRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to start a run of a task.

    Attributes
    ----------
    lifetime : BackendIncarnation
        The incarnation that is asked.
    fencing_token : int
        The server refuses a token that is lower than one that it has seen.
    key : TaskKey
    run : int
        Number of the run, which rises with each run of the same task.
    payload : str
        Passed on from the job.
    deadline_ms : int
        Time on the server's clock, in milliseconds, after which it refuses
        the request.
    """

    lifetime: BackendIncarnation
    fencing_token: int
    key: TaskKey
    run: int
    payload: str
    deadline_ms: int


class StopRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request to stop a run, also one that has not been started yet.

    Attributes
    ----------
    lifetime : BackendIncarnation
        The incarnation that is asked.
    fencing_token : int
        The server refuses a token that is lower than one that it has seen.
    key : TaskKey
    run : int
        Number of the run, which rises with each run of the same task.
    """

    lifetime: BackendIncarnation
    fencing_token: int
    key: TaskKey
    run: int


class BackendCallError(Exception):
    """A call to a backend server got no usable answer.

    Attributes
    ----------
    refused : bool
        Whether the connection was refused, so that the server has ended.
    answered : bool
        Whether the server has answered, but turned the call away.
    """

    def __init__(
        self, reason: str, *, refused: bool = False, answered: bool = False
    ) -> None:
        super().__init__(reason)
        self.refused = refused
        self.answered = answered


class StaleTokenError(Exception):
    """The backend server has seen a higher fencing token.

    Attributes
    ----------
    clock_ms : int
        The server's clock in milliseconds, from which a higher token can
        be derived.
    """

    def __init__(self, clock_ms: int) -> None:
        super().__init__(
            f"a higher fencing token was seen; server clock: {clock_ms} ms"
        )
        self.clock_ms = clock_ms


class IncarnationMismatchError(Exception):
    """Another incarnation of the backend server answers."""


class Backend(Protocol):
    """Calls to a backend server.

    Each raises `BackendCallError` if it gets no answer; the call may have
    taken effect, or may do so later.
    """

    async def start(self, request: StartRequest) -> StartAnswer:
        """Request the start of a run."""

    async def stop(self, request: StopRequest) -> None:
        """Request the end of a run."""

    async def poll(
        self, request: PollRequest, *, time_limit_s: float
    ) -> Listing:
        """Renew the lease and return the running and the ended runs.

        Raises
        ------
        StaleTokenError
            If the server has seen a higher fencing token.
        IncarnationMismatchError
            If another incarnation of the server answers.
        """
