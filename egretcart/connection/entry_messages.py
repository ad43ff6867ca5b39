"""Messages between entries, and of entries to agents about versions."""

import msgspec

from egretcart.connection.cell_types import NO_TERM
from egretcart.connection.cell_types import Roster
from egretcart.connection.cell_types import Term
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_address import NO_ADDRESS


class EntryList(msgspec.Struct, frozen=True, kw_only=True):
    """The entries that the sender knows to be live."""

    entries: tuple[EntryAddress, ...] = ()


class EntryHello(msgspec.Struct, frozen=True, kw_only=True):
    """An entry introduces itself to another process.

    Attributes
    ----------
    address : EntryAddress
    incarnation : int
        Differs with every start of the entry's process.
    """

    address: EntryAddress = NO_ADDRESS
    incarnation: int = 0


class CellLeader(msgspec.Struct, frozen=True, kw_only=True):
    """A cell that the sender leads.

    Attributes
    ----------
    service_name : str
    cell : int
        Index of the cell within its service.
    term : Term
        The sender's term in this cell.
    """

    service_name: str = ""
    cell: int = 0
    term: Term = NO_TERM


class EntryBeat(msgspec.Struct, frozen=True, kw_only=True):
    """A heartbeat from one entry to another.

    Attributes
    ----------
    config_version : int
        Configuration version that the sender uses.
    leading : tuple of CellLeader
        All cells that the sender leads.
    leaving : bool
        Whether the sender is shutting down.
    interval_ms : int
        Longest time until the next heartbeat to this receiver, in
        milliseconds.
    """

    config_version: int = 0
    leading: tuple[CellLeader, ...] = ()
    leaving: bool = False
    interval_ms: int = 250


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """An entry forwards a caller's request to the leader of the job's cell.

    Attributes
    ----------
    request_id : int
        Number of the request, which the reply repeats.
    action : str
        ``submit``, ``read`` or ``cancel``.
    service_name : str
    job_id : bytes
    body : bytes
        Body of the caller's request.
    time_left_ms : int
        Unused: neither set nor read by this release.
    """

    request_id: int = 0
    action: str = ""
    service_name: str = ""
    job_id: bytes = b""
    body: bytes = b""
    time_left_ms: int = 0


class ForwardReply(msgspec.Struct, frozen=True, kw_only=True):
    """The leader's answer to a forwarded request.

    Attributes
    ----------
    request_id : int
        Number of the forwarded request.
    outcome : str
        Value of a `ReplyOutcome`.
    body : bytes
        JSON document for the caller.
    status : int
        HTTP status code for the caller.
    retry_after_ms : int
        Delay after which the caller may retry, in milliseconds; 0 if a
        retry is of no use.
    """

    request_id: int = 0
    outcome: str = ""
    body: bytes = b""
    status: int = 0
    retry_after_ms: int = 0


class ConfigRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for the receiver's configuration if it is newer.

    Attributes
    ----------
    version : int
        Configuration version that the sender knows.
    """

    version: int = 0


class CellRoster(msgspec.Struct, frozen=True, kw_only=True):
    """The newest roster of a cell that the sender knows.

    Attributes
    ----------
    service_name : str
    cell : int
        Index of the cell within its service.
    roster : Roster or None
    """

    service_name: str = ""
    cell: int = 0
    roster: Roster | None = None


class ConfigDocument(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration version, as JSON.

    Attributes
    ----------
    version : int
    document : bytes
        The configuration as JSON.
    rosters : tuple of CellRoster
        Rosters for a process that can't read them from the platform's
        store.
    """

    version: int = 0
    document: bytes = b""
    rosters: tuple[CellRoster, ...] = ()


class AgentConfig(msgspec.Struct, frozen=True, kw_only=True):
    """The part of a configuration version that an agent needs.

    Attributes
    ----------
    version : int
    drained : bool
        Whether the receiving agent is drained: it gets no new work.
    """

    version: int = 0
    drained: bool = False


EntryMessage = (
    EntryList
    | EntryHello
    | EntryBeat
    | Forward
    | ForwardReply
    | ConfigRequest
    | ConfigDocument
    | AgentConfig
)
