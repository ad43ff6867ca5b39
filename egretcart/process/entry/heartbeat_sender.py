"""When an entry sends heartbeats to which other entries."""

from collections.abc import Iterable

from egretcart.connection.messages import CellLeader
from egretcart.connection.messages import EntryBeat
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits

MS_PER_S = 1000


class HeartbeatSender:
    """Sends heartbeats often to a few entries and rarely to all.

    Parameters
    ----------
    directory : Directory
    limits : EntryLimits

    Attributes
    ----------
    config_version : int
        Told in every heartbeat.
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
        """Return whether other entries have to be told of a change."""
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
        """Send the heartbeats that are due, or all if there is news.

        Parameters
        ----------
        now : float
            Monotonic time.
        claimed : tuple of CellLeader
            Cells that this entry leads.
        cells : iterable of Cell
            All configured cells.

        Returns
        -------
        list of EntryEffect
        """
        limits = self.limits
        led = [Cell(claim.service_name, claim.cell) for claim in claimed]
        close = self.directory.closely_monitored_peers(cells, led)
        everyone = now >= self.next_distant_heartbeat_at
        everyone = everyone or self.has_unreported_changes(claimed)
        near = self._build_heartbeat(limits.beat_interval_s, claimed)
        distant = self._build_heartbeat(
            limits.distant_beat_interval_s, claimed
        )
        self.next_heartbeat_at = now + limits.beat_interval_s
        if everyone:
            self.next_distant_heartbeat_at = (
                now + limits.distant_beat_interval_s
            )
        self.reported_leaderships = claimed
        self.reported_version = self.config_version
        return [
            SendToPeer(entry_id, near if entry_id in close else distant)
            for entry_id in self.directory.peers
            if everyone or entry_id in close
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
