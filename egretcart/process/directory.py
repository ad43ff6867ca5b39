"""Which entries are live and which of them leads a cell."""

from collections.abc import Iterable
import dataclasses
import math

import xxhash

from egretcart.connection.messages import CellLeader
from egretcart.connection.messages import EntryAddress
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


@dataclasses.dataclass(kw_only=True, slots=True)
class Peer:
    """Another entry.

    Attributes
    ----------
    address : EntryAddress
    incarnation : int
    last_heard : float
        Monotonic time of its last message.
    leading : dict of Cell to Term
    config_version : int
    leaving : bool
    """

    address: EntryAddress
    incarnation: int
    last_heard: float
    leading: dict[Cell, Term] = dataclasses.field(default_factory=dict)
    config_version: int = 0
    leaving: bool = False


class Directory:
    """The live entries as one entry sees them.

    Parameters
    ----------
    own : EntryAddress
    peer_timeout_s : float
        Silence after which a peer is taken for dead, in seconds.

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

    def heard_hello(
        self, address: EntryAddress, incarnation: int, now: float
    ) -> None:
        """Record that a peer connected."""
        self.peers[address.entry_id] = Peer(
            address=address, incarnation=incarnation, last_heard=now
        )

    def heard_beat(
        self,
        entry_id: str,
        *,
        leading: Iterable[CellLeader],
        config_version: int,
        leaving: bool,
        now: float,
    ) -> None:
        """Record a peer's heartbeat."""
        peer = self.peers.get(entry_id)
        if peer is None:
            return
        peer.last_heard = now
        peer.config_version = config_version
        peer.leaving = leaving
        peer.leading = {
            Cell(claim.service_name, claim.cell): claim.term
            for claim in leading
        }

    def lost(self, entry_id: str) -> None:
        """Record that the connection to a peer was lost."""
        self.peers.pop(entry_id, None)

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers that were heard lately."""
        oldest = now - self.peer_timeout_s
        return [
            peer for peer in self.peers.values() if peer.last_heard > oldest
        ]

    def claimant(self, cell: Cell, now: float) -> tuple[Term, str] | None:
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

    def preferred(self, cell: Cell, now: float) -> str | None:
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
