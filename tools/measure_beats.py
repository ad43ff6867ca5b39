"""Measures the traffic of heartbeats between entries.

Runs the decision logic and the codec of entries in one process, without a
network, and prints one JSON document: heartbeats per second that an entry
sends, and bytes per second that it sends and receives.
"""

import json
import statistics

from measure_capacity import PACKET_OVERHEAD_BYTES

from egretcart.connection.codec import encode_frame
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import EntryList
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import rank_entries
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.testing.clock import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

SERVICE = "snapcheck"
TICK_INTERVAL_S = 0.05
WARM_UP_S = 5.0
MEASURED_S = 30.0


class SimulatedEntries:
    """Entries that receive each other's messages without loss or delay.

    Parameters
    ----------
    entries, cells : int
        Number of entries, and number of cells of the only service.

    Attributes
    ----------
    clock : ManualClock
    silent : set of str
        IDs of entries that neither run ticks nor receive messages.
    entries : dict of str to Entry
        By entry ID.
    cells : list of Cell
        Cells of the only service.
    configuration : Configuration
        Active configuration of all entries.
    heartbeats_sent : dict of str to int
        Heartbeats sent since the last `reset`, by entry ID.
    bytes_sent, bytes_received : dict of str to int
        Bytes of heartbeats since the last `reset`, by entry ID. Each
        heartbeat counts as one packet, headers included.
    """

    def __init__(self, entries: int, cells: int) -> None:
        self.clock = ManualClock()
        self.silent: set[str] = set()
        self.entries: dict[str, Entry] = {}
        self.cells = [Cell(SERVICE, number) for number in range(cells)]
        self.configuration = Configuration(
            version=1, services=(Service(name=SERVICE, cells=cells),)
        )
        for number in range(entries):
            entry_id = f"entry-{number}"
            self.entries[entry_id] = Entry(
                address=EntryAddress(entry_id=entry_id),
                incarnation=number + 1,
                configuration=self.configuration,
                limits=EntryLimits(),
                leader_limits=LeaderLimits(),
                clock=self.clock,
            )
        for entry in self.entries.values():
            for peer in self.entries.values():
                if peer is not entry:
                    entry.peer_connected(peer.address, peer.incarnation)
        self.reset()

    def reset(self) -> None:
        """Set all counts to zero."""
        self.heartbeats_sent = dict.fromkeys(self.entries, 0)
        self.bytes_sent = dict.fromkeys(self.entries, 0)
        self.bytes_received = dict.fromkeys(self.entries, 0)

    def ranked(self, cell: Cell) -> list[str]:
        """Return the entry IDs by preference for a cell, best first."""
        addresses = [entry.address for entry in self.entries.values()]
        return [entry.entry_id for entry in rank_entries(cell, addresses)]

    def claim_all_cells(self) -> None:
        """Let the most preferred entry of each cell become its leader."""
        for cell in self.cells:
            leader = self.entries[self.ranked(cell)[0]]
            leader.claims.take_over(cell, self.configuration)

    def run(self, seconds: float) -> None:
        """Advance the clock by a time, one tick interval after another."""
        for _ in range(int(seconds / TICK_INTERVAL_S)):
            self.clock.advance(TICK_INTERVAL_S)
            for entry_id, entry in self.entries.items():
                if entry_id not in self.silent:
                    self.deliver(entry_id, entry.tick())

    def deliver(self, entry_id: str, effects: list) -> None:
        """Deliver an entry's messages to its peers, and their answers.

        Only heartbeats are counted. Entry lists are not delivered.
        """
        for effect in effects:
            if not isinstance(effect, SendToPeer):
                continue
            if isinstance(effect.message, EntryBeat):
                self._count_heartbeat(
                    entry_id, effect.entry_id, effect.message
                )
            if effect.entry_id in self.silent:
                continue
            if isinstance(effect.message, EntryList):
                continue
            receiver = self.entries[effect.entry_id]
            answers = receiver.peer_message(entry_id, effect.message)
            self.deliver(effect.entry_id, answers)

    def _count_heartbeat(
        self, sender: str, receiver: str, beat: EntryBeat
    ) -> None:
        size = len(encode_frame([beat])) + PACKET_OVERHEAD_BYTES
        self.heartbeats_sent[sender] += 1
        self.bytes_sent[sender] += size
        self.bytes_received[receiver] += size


def measure(entries: int, cells: int) -> dict[str, float]:
    """Return the heartbeats and their bytes per second of an idle entry.

    Parameters
    ----------
    entries, cells : int
        Number of entries, and number of cells of the only service.

    Returns
    -------
    dict
        Mean and maximum over the entries.
    """
    simulated_entries = SimulatedEntries(entries, cells)
    simulated_entries.claim_all_cells()
    simulated_entries.run(WARM_UP_S)
    simulated_entries.reset()
    simulated_entries.run(MEASURED_S)
    sent = [
        count / MEASURED_S for count in simulated_entries.bytes_sent.values()
    ]
    bytes_both_ways = [
        (
            simulated_entries.bytes_sent[name]
            + simulated_entries.bytes_received[name]
        )
        / MEASURED_S
        for name in simulated_entries.entries
    ]
    return {
        "entries": entries,
        "cells": cells,
        "beats_sent_mean": statistics.mean(
            simulated_entries.heartbeats_sent.values()
        )
        / MEASURED_S,
        "beats_sent_max": max(simulated_entries.heartbeats_sent.values())
        / MEASURED_S,
        "bytes_sent_mean": statistics.mean(sent),
        "bytes_sent_max": max(sent),
        "bytes_both_ways_mean": statistics.mean(bytes_both_ways),
        "bytes_both_ways_max": max(bytes_both_ways),
    }


def main() -> None:
    """Print the traffic in deployments of several sizes as JSON."""
    measurements = [measure(3, 1), measure(30, 27), measure(45, 24)]
    print(json.dumps(measurements, indent=2))


if __name__ == "__main__":
    main()
