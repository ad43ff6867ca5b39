"""Schedule of the heartbeats that an entry sends to other entries."""

from collections.abc import Iterable

from egretcart.connection.entry_messages import CellLeader
from egretcart.connection.entry_messages import EntryBeat
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits

MS_PER_S = 1000


class HeartbeatSender:
    """Sends frequent heartbeats to a few entries and infrequent ones to all.

    The intervals are `beat_interval_s` and `distant_beat_interval_s` of
    `EntryLimits`. A change is sent to all entries immediately.

    Parameters
    ----------
    directory : Directory
        Selects the entries that get frequent heartbeats.
    limits : EntryLimits
        Sets both heartbeat intervals.

    Attributes
    ----------
    config_version : int
        Version of the active configuration, sent in every heartbeat; 0 if
        no configuration is known yet.
    next_heartbeat_at : float
        Monotonic time in seconds of the next frequent heartbeats.
    next_distant_heartbeat_at : float
        Monotonic time in seconds from which the next heartbeats go to all
        entries.
    reported_leaderships : tuple of CellLeader
        Cells that this entry led according to its last heartbeats.
    reported_version : int
        Configuration version in its last heartbeats; 0 before the first.
    """

    def __init__(self, *, directory: Directory, limits: EntryLimits) -> None:
        self.directory = directory
        self.limits = limits
        self.config_version = 0
        self.next_heartbeat_at = float("-inf")
        self.next_distant_heartbeat_at = float("-inf")
        self.reported_leaderships: tuple[CellLeader, ...] = ()
        self.reported_version = 0

    def is_due(self, now: float) -> bool:
        """Return whether it is time for the next heartbeat."""
        return now >= self.next_heartbeat_at

    def has_unreported_changes(self, claimed: tuple[CellLeader, ...]) -> bool:
        """Return whether a change has not been sent to other entries yet.

        A change is one of the led cells, their terms or the version of the
        configuration.
        """
        if self.config_version != self.reported_version:
            return True
        return claimed != self.reported_leaderships

    def schedule_broadcast(self) -> None:
        """Make the next heartbeats go to all entries."""
        self.next_distant_heartbeat_at = float("-inf")

    def initial_heartbeat(self, claimed: tuple[CellLeader, ...]) -> EntryBeat:
        """Return the first heartbeat for an entry that has connected."""
        return self._build_heartbeat(
            self.limits.distant_beat_interval_s, claimed
        )

    def send(
        self,
        now: float,
        *,
        claimed: tuple[CellLeader, ...],
        cells: Iterable[Cell],
    ) -> list[EntryEffect]:
        """Send the heartbeats that are due, or all after a change.

        Frequent heartbeats are sent by every call. See
        `has_unreported_changes` for what a change is.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        claimed : tuple of CellLeader
            Cells that this entry leads.
        cells : iterable of Cell
            All configured cells.

        Returns
        -------
        list of EntryEffect
        """
        limits = self.limits
        led_cells = [Cell(claim.service_name, claim.cell) for claim in claimed]
        frequent_peers = self.directory.frequent_heartbeat_peers(
            cells, led_cells
        )
        to_all = now >= self.next_distant_heartbeat_at
        to_all = to_all or self.has_unreported_changes(claimed)
        frequent_heartbeat = self._build_heartbeat(
            limits.beat_interval_s, claimed
        )
        distant_heartbeat = self._build_heartbeat(
            limits.distant_beat_interval_s, claimed
        )
        self.next_heartbeat_at = now + limits.beat_interval_s
        if to_all:
            self.next_distant_heartbeat_at = (
                now + limits.distant_beat_interval_s
            )
        self.reported_leaderships = claimed
        self.reported_version = self.config_version
        return [
            SendToPeer(
                entry_id,
                frequent_heartbeat
                if entry_id in frequent_peers
                else distant_heartbeat,
            )
            for entry_id in self.directory.peers
            if to_all or entry_id in frequent_peers
        ]

    def _build_heartbeat(
        self, interval_s: float, claimed: tuple[CellLeader, ...]
    ) -> EntryBeat:
        return EntryBeat(
            interval_ms=int(interval_s * MS_PER_S),
            config_version=self.config_version,
            leading=claimed,
            leaving=self.directory.leaving,
        )
