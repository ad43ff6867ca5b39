"""Other entries, the cells that they lead, and the assignment of cells.

Jobs and agents are assigned to the cells of a service by hash. An entry is
preferred as the leader of a cell by weighted rendezvous hashing.
"""

from collections.abc import Iterable
import dataclasses
import math

import xxhash

from egretcart.connection.cell_types import Term
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import EntryBeat
from egretcart.request.identity import JobId


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Cell:
    """A bounded group of a service's agents with one leader.

    Attributes
    ----------
    service : str
        Name of the service.
    index : int
        From 0 to the service's number of cells less one.
    """

    service: str
    index: int


def cell_of_job(service: str, job_id: JobId, cells: int) -> Cell:
    """Return the cell that a submission belongs to.

    Parameters
    ----------
    service : str
    job_id : JobId
    cells : int
        Number of cells of the service.

    Returns
    -------
    Cell
    """
    return Cell(service, xxhash.xxh3_64_intdigest(job_id.value) % cells)


def cell_of_agent(service: str, agent_id: str, cells: int) -> Cell:
    """Return the cell that an agent belongs to.

    Parameters
    ----------
    service : str
    agent_id : str
    cells : int
        Number of cells of the service.

    Returns
    -------
    Cell
    """
    return Cell(service, xxhash.xxh3_64_intdigest(agent_id.encode()) % cells)


def rank_entries(
    cell: Cell, entries: Iterable[EntryAddress]
) -> list[EntryAddress]:
    """Order entries by preference for the leadership of a cell.

    Uses weighted rendezvous hashing: a change of the set of entries moves
    cells only to entries that were added or away from entries that were
    removed.

    Parameters
    ----------
    cell : Cell
    entries : iterable of EntryAddress

    Returns
    -------
    list of EntryAddress
        The preferred leader comes first.
    """

    def score(entry: EntryAddress) -> float:
        name = f"{cell.service}/{cell.index}/{entry.entry_id}"
        fraction = (xxhash.xxh3_64_intdigest(name.encode()) + 0.5) / 2**64
        return -entry.weight / math.log(fraction)

    return sorted(
        entries,
        key=lambda entry: (score(entry), entry.entry_id),
        reverse=True,
    )


MS_PER_S = 1000
# Intervals without a heartbeat after which a peer counts as lost.
HEARTBEAT_INTERVALS_PER_TIMEOUT = 2.8
# Number of entries, first in a cell's order of preference, that exchange
# frequent heartbeats.
CANDIDATES_PER_CELL = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """State of another entry.

    Attributes
    ----------
    address : EntryAddress
    incarnation : int
        Number of this start of the peer.
    last_heartbeat_at : float
        Monotonic time in seconds of its last heartbeat, or of its hello
        before the first heartbeat.
    timeout_s : float
        Time in seconds without a heartbeat after which it counts as lost.
        Computed from the interval that its last heartbeat announced; before
        the first heartbeat, the time allowed for that.
    leading : dict of Cell to Term
        Cells that it claims to lead, and its terms.
    config_version : int
        Version of its active configuration; 0 before its first heartbeat
        or if it knows none.
    leaving : bool
        Whether it is shutting down.
    """

    address: EntryAddress
    incarnation: int
    last_heartbeat_at: float
    timeout_s: float
    leading: dict[Cell, Term] = dataclasses.field(default_factory=dict)
    config_version: int = 0
    leaving: bool = False


class Directory:
    """The other entries that are connected to one entry.

    Parameters
    ----------
    own : EntryAddress
        Address of the entry that has this directory; "this entry" below.
    peer_timeout_s : float
        Time in seconds within which a new peer must send its first
        heartbeat.

    Attributes
    ----------
    peers : dict of str to Peer
        Connected entries by entry id.
    leaving : bool
        Whether this entry is shutting down.
    """

    def __init__(self, *, own: EntryAddress, peer_timeout_s: float) -> None:
        self.own = own
        self.peer_timeout_s = peer_timeout_s
        self.peers: dict[str, Peer] = {}
        self.leaving = False

    def record_hello(
        self, address: EntryAddress, incarnation: int, now: float
    ) -> None:
        """Record that a peer connected."""
        self.peers[address.entry_id] = Peer(
            address=address,
            incarnation=incarnation,
            last_heartbeat_at=now,
            timeout_s=self.peer_timeout_s,
        )

    def record_heartbeat(
        self,
        entry_id: str,
        *,
        beat: EntryBeat,
        now: float,
    ) -> None:
        """Record a peer's heartbeat."""
        peer = self.peers.get(entry_id)
        if peer is None:
            return
        peer.last_heartbeat_at = now
        peer.timeout_s = (
            beat.interval_ms / MS_PER_S * HEARTBEAT_INTERVALS_PER_TIMEOUT
        )
        peer.config_version = beat.config_version
        peer.leaving = beat.leaving
        peer.leading = {
            Cell(claim.service_name, claim.cell): claim.term
            for claim in beat.leading
        }

    def remove_peer(self, entry_id: str) -> None:
        """Record that the connection to a peer was lost."""
        self.peers.pop(entry_id, None)

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers whose heartbeat timeout has not passed."""
        return [
            peer
            for peer in self.peers.values()
            if now < peer.last_heartbeat_at + peer.timeout_s
        ]

    def frequent_heartbeat_peers(
        self, cells: Iterable[Cell], led: Iterable[Cell] = ()
    ) -> set[str]:
        """Return the peers to which this entry sends frequent heartbeats.

        The first `CANDIDATES_PER_CELL` entries of a cell's order of
        preference send each other frequent heartbeats, so that a leader's
        successor detects its loss. A leader that is no longer one of them
        also sends them frequent heartbeats. All other entries need to know
        only who leads, and a change of that is sent immediately.

        Parameters
        ----------
        cells : iterable of Cell
            All configured cells.
        led : iterable of Cell, optional
            Cells that this entry leads.

        Returns
        -------
        set of str
            Entry ids.
        """
        entries = [self.own] + [peer.address for peer in self.peers.values()]
        frequent_peers: set[str] = set()
        led_cells = set(led)
        for cell in cells:
            ranked = rank_entries(cell, entries)[:CANDIDATES_PER_CELL]
            candidates = {entry.entry_id for entry in ranked}
            if self.own.entry_id in candidates or cell in led_cells:
                frequent_peers |= candidates
        frequent_peers.discard(self.own.entry_id)
        return frequent_peers

    def highest_claim(self, cell: Cell, now: float) -> tuple[Term, str] | None:
        """Return the highest term that a live peer claims for a cell.

        Parameters
        ----------
        cell : Cell
        now : float
            Monotonic time in seconds.

        Returns
        -------
        tuple of Term and str, or None
            The term and the peer's entry id; None if no live peer claims
            the cell.
        """
        claims = [
            (peer.leading[cell], peer.address.entry_id)
            for peer in self.live_peers(now)
            if cell in peer.leading
        ]
        return max(claims, default=None)

    def preferred_leader(self, cell: Cell, now: float) -> str | None:
        """Return the id of the entry that should lead a cell.

        None if this entry and all live peers are shutting down.
        """
        entries = [
            peer.address for peer in self.live_peers(now) if not peer.leaving
        ]
        if not self.leaving:
            entries.append(self.own)
        ranked = rank_entries(cell, entries)
        return ranked[0].entry_id if ranked else None

    def addresses(self, now: float) -> tuple[EntryAddress, ...]:
        """Return the addresses of the live entries, this one included.

        Entries that are shutting down are left out.
        """
        live = [
            peer.address for peer in self.live_peers(now) if not peer.leaving
        ]
        own = [] if self.leaving else [self.own]
        return tuple(own + live)
