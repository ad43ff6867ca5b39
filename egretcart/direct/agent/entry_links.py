"""Sends an agent's messages and statuses to entries. Free of I/O."""

from collections.abc import Callable
from collections.abc import Collection

import msgspec

from egretcart.direct.agent.agent_types import AgentEffect
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.agent_types import Eviction
from egretcart.direct.agent.agent_types import SendToEntry
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import EntriesServed
from egretcart.direct.connection.messages import JobEvicted
from egretcart.direct.connection.messages import Message


class EntryLinks:
    """Sends messages to entries, and statuses when they are due.

    Parameters
    ----------
    effects : list of AgentEffect
        Messages are appended to it as effects.
    min_status_interval_s : float
        Shortest time between two statuses to an entry, in seconds, apart
        from heartbeats and from statuses to `entries_to_notify`.
    max_statuses_per_s : float
        Most statuses to all entries together, per second, with the same
        exceptions.
    retire_after_s : float
        See `DirectAgentLimits`.
    status : callable
        Returns the status for an entry, given the sequence number of the
        last `RunTasks` from it and the time.

    Attributes
    ----------
    entries : dict of str to EntryState
        Connected entries, and disconnected ones until their heartbeat
        timeout.
    evictions : list of Eviction
        Entries that wait until other entries' runs of a job have ended.
    status_changed : bool
        Whether the agent's vacancy has changed since statuses were sent.
    entries_to_notify : set of str
        Entries that get a status without waiting for the interval.
    """

    def __init__(
        self,
        *,
        effects: list[AgentEffect],
        min_status_interval_s: float,
        max_statuses_per_s: float,
        retire_after_s: float,
        status: Callable[[int, float], AgentStatus],
    ) -> None:
        self.effects = effects
        self.min_status_interval_s = min_status_interval_s
        self.max_statuses_per_s = max_statuses_per_s
        self.retire_after_s = retire_after_s
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
        """Send all entries the list of entries, after it has changed."""
        served = EntriesServed(entry_ids=tuple(self.entries))
        for entry_id in self.entries:
            self.send(entry_id, served)

    def notify_all(self) -> None:
        """Have a status sent to each entry without waiting."""
        self.entries_to_notify.update(self.entries)

    def send_due_statuses(self, now: float) -> None:
        """Send a status to each entry for which one is due.

        It is due at the heartbeat interval, at once for
        `entries_to_notify`, and after a change once the shortest interval
        has passed.
        """
        min_interval_s = max(
            self.min_status_interval_s,
            len(self.entries) / self.max_statuses_per_s,
        )
        for entry_id, state in self.entries.items():
            state.outdated = state.outdated or self.status_changed
            since_last_s = now - state.status_sent_at
            if (
                since_last_s >= state.heartbeat_interval_s
                or entry_id in self.entries_to_notify
                or (state.outdated and since_last_s >= min_interval_s)
            ):
                state.status_sent_at = now
                state.outdated = False
                self._send_status(entry_id, state, now)
        self.status_changed = False
        self.entries_to_notify.clear()

    def _send_status(
        self, entry_id: str, state: EntryState, now: float
    ) -> None:
        """Send a status, or a heartbeat if it is the same as the last."""
        status = self._status_for(state, now)
        is_news = status != state.reported
        state.reported = status
        self.send(entry_id, status if is_news else Beat())

    def _status_for(self, state: EntryState, now: float) -> AgentStatus:
        status = self.status(state.sequence, now)
        if state.is_retiring(self.retire_after_s, now):
            return msgspec.structs.replace(status, accepting=False)
        return status

    def mark_unwanted(self, unwanted: Collection[str], now: float) -> None:
        """Record which entries are outside the agent's working set."""
        for entry_id, state in self.entries.items():
            if entry_id not in unwanted:
                if state.is_retiring(self.retire_after_s, now):
                    self.entries_to_notify.add(entry_id)
                state.unwanted_since = 0.0
            elif not state.unwanted_since:
                state.unwanted_since = now

    def confirm_evictions(self, has_ended: Callable[[Eviction], bool]) -> None:
        """Notify entries for which the other runs of a job have ended."""
        for eviction in list(self.evictions):
            if has_ended(eviction):
                self.evictions.remove(eviction)
                self.send(
                    eviction.entry_id, JobEvicted(number=eviction.number)
                )
