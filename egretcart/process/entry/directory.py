"""Which entries are live and which of them leads a cell."""

from collections.abc import Iterable
import dataclasses
import math

import xxhash

from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import Term
from egretcart.request.identity import JobId


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Cell:
    """A bounded group of a service's agents with one leader.

    Attributes
    ----------
    service : str
    index : int
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
    """Order entries by preference for a cell.

    Weighted rendezvous hashing: a change of the set of entries moves only
    the cells of the entries that came or went.

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
# Heartbeats that a peer may miss before it is taken for dead.
HEARTBEAT_INTERVALS_PER_TIMEOUT = 2.8
# Entries that watch each other closely for the sake of one cell.
CANDIDATES_PER_CELL = 3


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """Another entry.

    Attributes
    ----------
    address : EntryAddress
    incarnation : int
    last_heard : float
        Monotonic time of its last heartbeat.
    timeout_s : float
        Silence after which it is taken for dead, from the interval that
        it has announced.
    leading : dict of Cell to Term
    config_version : int
    leaving : bool
    """

    address: EntryAddress
    incarnation: int
    last_heartbeat_at: float
    timeout_s: float
    leading: dict[Cell, Term] = dataclasses.field(default_factory=dict)
    config_version: int = 0
    leaving: bool = False


class Directory:
    """The live entries as one entry sees them.

    Parameters
    ----------
    own : EntryAddress
    peer_timeout_s : float
        Time for a new peer's first heartbeat, in seconds.

    Attributes
    ----------
    peers : dict of str to Peer
    leaving : bool
        Whether this entry is leaving.
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

    def lost(self, entry_id: str) -> None:
        """Record that the connection to a peer was lost."""
        self.peers.pop(entry_id, None)

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers that were heard lately."""
        return [
            peer
            for peer in self.peers.values()
            if now < peer.last_heartbeat_at + peer.timeout_s
        ]

    def closely_monitored_peers(
        self, cells: Iterable[Cell], led: Iterable[Cell] = ()
    ) -> set[str]:
        """Return the peers to which this entry owes frequent heartbeats.

        The first candidates for a cell watch each other closely, so that
        a leader's successor notices its death. So does a leader that is no
        candidate any more. All others need to know only who leads, which is
        told at once when it changes.

        Parameters
        ----------
        cells : iterable of Cell
            All configured cells.
        led : iterable of Cell, optional
            Those that this entry leads.

        Returns
        -------
        set of str
            Entry ids.
        """
        entries = [self.own] + [peer.address for peer in self.peers.values()]
        close: set[str] = set()
        led_cells = set(led)
        for cell in cells:
            ranked = rank_entries(cell, entries)[:CANDIDATES_PER_CELL]
            candidates = {entry.entry_id for entry in ranked}
            if self.own.entry_id in candidates or cell in led_cells:
                close |= candidates
        close.discard(self.own.entry_id)
        return close

    def highest_claim(self, cell: Cell, now: float) -> tuple[Term, str] | None:
        """Return the highest term that a live peer claims for a cell.

        Parameters
        ----------
        cell : Cell
        now : float

        Returns
        -------
        tuple of Term and str, or None
            The term and the peer's entry id.
        """
        claims = [
            (peer.leading[cell], peer.address.entry_id)
            for peer in self.live_peers(now)
            if cell in peer.leading
        ]
        return max(claims, default=None)

    def preferred_leader(self, cell: Cell, now: float) -> str | None:
        """Return the entry that should lead a cell, or None if all leave."""
        entries = [
            peer.address for peer in self.live_peers(now) if not peer.leaving
        ]
        if not self.leaving:
            entries.append(self.own)
        ranked = rank_entries(cell, entries)
        return ranked[0].entry_id if ranked else None

    def addresses(self, now: float) -> tuple[EntryAddress, ...]:
        """Return this entry and its live peers that are not leaving."""
        live = [
            peer.address for peer in self.live_peers(now) if not peer.leaving
        ]
        own = [] if self.leaving else [self.own]
        return tuple(own + live)
