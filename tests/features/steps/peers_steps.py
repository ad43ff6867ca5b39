import pathlib
import sys

from behave import given
from behave import then
from behave import when
import msgspec

from egretcart.connection.cell_types import Term
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import CellLeader
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.entry_messages import Forward
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.entry_observer import EntryObserver
from egretcart.process.entry.entry_process import EntryProcess
from egretcart.process.entry.pending import SUBMIT
from egretcart.process.settings import Address
from egretcart.process.settings import EntrySettings
from egretcart.request.identity import new_job_id
from egretcart.testing import ManualClock
from egretcart.version.document import Configuration
from egretcart.version.document import Service

sys.path.append(str(pathlib.Path(__file__).parents[3] / "tools"))

from measure_beats import SimulatedEntries

CELL = Cell("snapcheck", 3)


@given("{entries:d} entries that lead {cells:d} cells of one service")
def start_entries(context, entries, cells):
    context.simulated_entries = SimulatedEntries(entries, cells)
    context.simulated_entries.run(5)
    context.simulated_entries.reset()


@when("the entries run for {seconds:d} s without work")
def run_entries(context, seconds):
    context.seconds = seconds
    context.simulated_entries.run(seconds)


@then("every entry sees every other entry live")
def check_live(context):
    simulated_entries = context.simulated_entries
    now = simulated_entries.clock.monotonic()
    for entry in simulated_entries.entries.values():
        live = {p.address.entry_id for p in entry.directory.live_peers(now)}
        assert live == set(simulated_entries.entries) - {
            entry.address.entry_id
        }


@then("no entry sends more than {limit:d} heartbeats a second")
def check_rate(context, limit):
    busiest = (
        max(context.simulated_entries.heartbeats_sent.values())
        / context.seconds
    )
    assert busiest <= limit, busiest


@when("the leader of a cell stops sending")
def silence_leader(context):
    simulated_entries = context.simulated_entries
    context.silenced, context.successor = simulated_entries.ranked(CELL)[:2]
    simulated_entries.silent.add(context.silenced)


@then("the next candidate of its cell detects its loss within {limit:d} s")
def check_loss_detected(context, limit):
    simulated_entries = context.simulated_entries
    simulated_entries.run(limit)
    directory = simulated_entries.entries[context.successor].directory
    live = directory.live_peers(simulated_entries.clock.monotonic())
    assert context.silenced not in {peer.address.entry_id for peer in live}
    preferred_leader = directory.preferred_leader(
        CELL, simulated_entries.clock.monotonic()
    )
    assert preferred_leader == context.successor


class RecordingLink:
    """Records the messages sent on a simulated link to a peer."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def close(self):
        pass


@given("an entry process that has forwarded a request to a leading peer")
def forward_request(context):
    clock = ManualClock()
    anywhere = Address(host="127.0.0.1", port=0)
    process = context.process = EntryProcess(
        settings=EntrySettings(
            entry_id="entry-0",
            failure_domain="d",
            http=anywhere,
            peer=anywhere,
        ),
        limits=EntryLimits(),
        leader_limits=LeaderLimits(),
        clock=clock,
    )
    entry = process.entry = Entry(
        address=EntryAddress(entry_id="entry-0"),
        incarnation=1,
        configuration=Configuration(
            version=1, services=(Service(name="snapcheck"),)
        ),
        limits=EntryLimits(),
        leader_limits=LeaderLimits(),
        clock=clock,
    )
    process.observer = EntryObserver(
        entry=entry, metrics=process.metrics, log=process.log
    )
    context.link = process.dialled_links["entry-1"] = RecordingLink()
    process._replace_link("entry-1", process.accepted_links, RecordingLink())
    introduce_leading_peer(context)
    body = b'{"tasks": [{"payload": 1}]}'
    _, effects = entry.request(SUBMIT, "snapcheck", new_job_id(), body)
    process.apply_effects(effects)
    assert count_forwards(context) == 1


def introduce_leading_peer(context):
    """Deliver the hello and the first heartbeat of the leading peer."""
    entry = context.process.entry
    entry.peer_connected(EntryAddress(entry_id="entry-1"), 2)
    leading = (CellLeader(service_name="snapcheck", cell=0, term=Term(1, 2)),)
    beat = EntryBeat(config_version=1, leading=leading)
    context.process.apply_effects(entry.peer_message("entry-1", beat))


def count_forwards(context):
    return sum(isinstance(m, Forward) for m in context.link.sent)


@when("the peer reconnects before its previous connection has ended")
def reconnect_peer(context):
    process = context.process
    process._replace_link("entry-1", process.accepted_links, RecordingLink())
    introduce_leading_peer(context)


@then("the request is forwarded again")
def check_forwarded(context):
    assert count_forwards(context) == 2, context.link.sent


@when("an entry that is not a candidate leads a cell and stops sending")
def silence_non_candidate(context):
    simulated_entries = context.simulated_entries
    *candidates, context.silenced = simulated_entries.ranked(CELL)
    context.successor = candidates[0]
    leader = simulated_entries.entries[context.silenced]
    leader.claims.take_over(CELL, leader.configuration)
    simulated_entries.run(6)
    directory = simulated_entries.entries[context.successor].directory
    _, highest_claim = directory.highest_claim(
        CELL, simulated_entries.clock.monotonic()
    )
    assert highest_claim == context.silenced
    simulated_entries.silent.add(context.silenced)


@when("one entry receives a new configuration version")
def configure_one(context):
    simulated_entries = context.simulated_entries
    # The next periodic distant heartbeat is then seconds away, so that only
    # the new version can cause one.
    simulated_entries.run(1)
    newer = msgspec.structs.replace(simulated_entries.configuration, version=2)
    effects = simulated_entries.entries["entry-0"].configure(newer)
    simulated_entries.deliver("entry-0", effects)


@then("the version is active at every entry within {limit:f} s")
def check_active(context, limit):
    simulated_entries = context.simulated_entries
    simulated_entries.run(limit)
    versions = {
        e.configuration.version for e in simulated_entries.entries.values()
    }
    assert versions == {2}, versions
