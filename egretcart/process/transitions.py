"""State changes of a process, found by comparing its state at two times.

Free of I/O. These changes are all that `egretcart.process.logs` writes.
"""

from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import enum

from egretcart.process.cell.leadership import Phase
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.entry import Entry


class StateChangeKind(enum.Enum):
    """Type of a state change; the value names it in the log.

    Attributes
    ----------
    TOOK_OVER, STEPPED_DOWN
        The entry began, or ended, to serve a cell.
    AGENT_JOINED, AGENT_LOST
        An agent connected to the entry, or its connection ended.
    PEER_JOINED, PEER_LOST
        Another entry connected to the entry, or its connection ended.
    LEASE_LAPSED
        The lease of an agent with work expired.
    DRAINING
        A graceful shutdown began.
    STORE_LOST, STORE_BACK
        The circuit breaker of the calls to the platform's store left the
        state closed, or returned to it.
    STORE_BEHIND, STORE_REPAIRED
        The store was found to have lost accepted configuration versions, or
        to have them again.
    """

    TOOK_OVER = "took_over"
    STEPPED_DOWN = "stepped_down"
    AGENT_JOINED = "agent_joined"
    AGENT_LOST = "agent_lost"
    PEER_JOINED = "peer_joined"
    PEER_LOST = "peer_lost"
    LEASE_LAPSED = "lease_lapsed"
    DRAINING = "draining"
    STORE_LOST = "store_lost"
    STORE_BACK = "store_back"
    STORE_BEHIND = "store_behind"
    STORE_REPAIRED = "store_repaired"


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """One state change.

    Attributes
    ----------
    kind : StateChangeKind
    subject : str
        What has changed: the id of an agent or entry, a cell with its term,
        a term, or a fixed word such as "store".
    """

    kind: StateChangeKind
    subject: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryState:
    """The part of an entry's state whose changes are logged.

    Attributes
    ----------
    serving : frozenset of (Cell, int)
        Cells that the entry serves, each with the counter of its term.
    agents, peers : frozenset of str
        Ids of the connected agents and of the other connected entries.
    leaving : bool
        Whether the entry is shutting down.
    store_behind : bool
        Whether the platform's store has lost configuration versions that
        were accepted.
    """

    serving: frozenset[tuple[Cell, int]] = frozenset()
    agents: frozenset[str] = frozenset()
    peers: frozenset[str] = frozenset()
    leaving: bool = False
    store_behind: bool = False


def state_of(entry: Entry) -> EntryState:
    """Return the part of an entry's state whose changes are logged."""
    return EntryState(
        serving=frozenset(
            (cell, leadership.term.counter)
            for cell, leadership in entry.leaderships.items()
            if leadership.phase is Phase.SERVING
        ),
        agents=frozenset(entry.agents),
        peers=frozenset(entry.directory.peers),
        leaving=entry.directory.leaving,
        store_behind=entry.sync.store_is_behind,
    )


def find_state_changes(
    before: EntryState, after: EntryState
) -> list[StateChange]:
    """Return the changes from one state to another, in a fixed order.

    Parameters
    ----------
    before, after : EntryState

    Returns
    -------
    list of StateChange
    """
    if before == after:
        return []
    changes = [
        StateChange(StateChangeKind.STEPPED_DOWN, _cell_term_name(*served))
        for served in sorted(before.serving - after.serving)
    ]
    changes += [
        StateChange(StateChangeKind.TOOK_OVER, _cell_term_name(*served))
        for served in sorted(after.serving - before.serving)
    ]
    changes += _membership_changes(
        before.agents,
        after.agents,
        StateChangeKind.AGENT_JOINED,
        StateChangeKind.AGENT_LOST,
    )
    changes += _membership_changes(
        before.peers,
        after.peers,
        StateChangeKind.PEER_JOINED,
        StateChangeKind.PEER_LOST,
    )
    if after.leaving and not before.leaving:
        changes.append(StateChange(StateChangeKind.DRAINING, "entry"))
    if after.store_behind and not before.store_behind:
        changes.append(StateChange(StateChangeKind.STORE_BEHIND, "store"))
    if before.store_behind and not after.store_behind:
        changes.append(StateChange(StateChangeKind.STORE_REPAIRED, "store"))
    return changes


def _membership_changes(
    before: Set[str],
    after: Set[str],
    joined: StateChangeKind,
    lost: StateChangeKind,
) -> Iterable[StateChange]:
    for name in sorted(before - after):
        yield StateChange(lost, name)
    for name in sorted(after - before):
        yield StateChange(joined, name)


def _cell_term_name(cell: Cell, counter: int) -> str:
    return f"{cell.service}/{cell.index} term {counter}"
