"""What an agent owes the entries that are connected to it. Free of I/O."""

from collections.abc import Callable

from egretcart.direct.agent_types import AgentEffect
from egretcart.direct.agent_types import EntryState
from egretcart.direct.agent_types import Eviction
from egretcart.direct.agent_types import SendToEntry
from egretcart.direct.messages import AgentStatus
from egretcart.direct.messages import EntriesServed
from egretcart.direct.messages import JobEvicted
from egretcart.direct.messages import Message


class EntryLinks:
    """Sends messages to entries, and statuses when they are due.

    Parameters
    ----------
    effects : list of AgentEffect
        Where messages are added.
    status_gap_s : float
        Shortest time between two statuses, in seconds.
    max_statuses_per_s : float
        Statuses to all entries together, but for those that are due.
    status : callable
        Returns the status for an entry, given the last sequence that it
        has sent.

    Attributes
    ----------
    entries : dict of str to EntryState
    evictions : list of Eviction
        Entries that wait until a job's other runs are over.
    """

    def __init__(
        self,
        *,
        effects: list[AgentEffect],
        min_status_interval_s: float,
        max_statuses_per_s: float,
        status: Callable[[int, float], AgentStatus],
    ) -> None:
        self.effects = effects
        self.min_status_interval_s = min_status_interval_s
        self.max_statuses_per_s = max_statuses_per_s
        self.status = status
        self.entries: dict[str, EntryState] = {}
        self.evictions: list[Eviction] = []
        self.status_changed = False
        self.entries_to_notify: set[str] = set()

    def send(self, entry_id: str, message: Message) -> None:
        """Send a message if the entry is connected."""
        state = self.entries.get(entry_id)
        if state is not None and state.connected:
            self.effects.append(SendToEntry(entry_id, message))

    def send_entries_served(self) -> None:
        """Tell all entries of each other; one has come or gone."""
        served = EntriesServed(entry_ids=tuple(self.entries))
        for entry_id in self.entries:
            self.send(entry_id, served)

    def send_due_statuses(self, now: float) -> None:
        """Send statuses to those that should have a new one."""
        shortest_s = max(
            self.min_status_interval_s,
            len(self.entries) / self.max_statuses_per_s,
        )
        for entry_id, state in self.entries.items():
            state.outdated = state.outdated or self.status_changed
            gap_s = now - state.status_sent_at
            if (
                gap_s >= state.heartbeat_interval_s
                or entry_id in self.entries_to_notify
                or (state.outdated and gap_s >= shortest_s)
            ):
                state.status_sent_at = now
                state.outdated = False
                self.send(entry_id, self.status(state.sequence, now))
        self.status_changed = False
        self.entries_to_notify.clear()

    def confirm_evictions(self, is_over: Callable[[Eviction], bool]) -> None:
        """Tell entries whose wait for a job's other runs is over."""
        for eviction in list(self.evictions):
            if is_over(eviction):
                self.evictions.remove(eviction)
                self.send(
                    eviction.entry_id, JobEvicted(number=eviction.number)
                )
