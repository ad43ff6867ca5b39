import pathlib
import sys

from behave import given
from behave import then
from behave import when
import msgspec

from egretcart.connection.messages import CellLeader
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryBeat
from egretcart.connection.messages import Forward
from egretcart.connection.messages import Term
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
def start_fleet(context, entries, cells):
    context.simulated_entries = SimulatedEntries(entries, cells)
    context.simulated_entries.run(5)
    context.simulated_entries.reset()


@when("the entries run for {seconds:d} s without work")
def run_fleet(context, seconds):
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


@when("the leader of a cell falls silent")
def silence_leader(context):
    simulated_entries = context.simulated_entries
    context.dead, context.successor = simulated_entries.ranked(CELL)[:2]
    simulated_entries.silent.add(context.dead)


@then("the next candidate of its cell takes it for dead within {limit:d} s")
def check_noticed(context, limit):
    simulated_entries = context.simulated_entries
    simulated_entries.run(limit)
    directory = simulated_entries.entries[context.successor].directory
    live = directory.live_peers(simulated_entries.clock.monotonic())
    assert context.dead not in {peer.address.entry_id for peer in live}
    preferred_leader = directory.preferred_leader(
        CELL, simulated_entries.clock.monotonic()
    )
    assert preferred_leader == context.successor


class RecordingLink:
    """Stands in for a connection to a peer."""

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
    greet(context)
    body = b'{"tasks": [{"payload": 1}]}'
    _, effects = entry.request(SUBMIT, "snapcheck", new_job_id(), body)
    process.apply_effects(effects)
    assert forwards(context) == 1


def greet(context):
    """Let the leading peer introduce itself."""
    entry = context.process.entry
    entry.peer_connected(EntryAddress(entry_id="entry-1"), 2)
    leading = (CellLeader(service_name="snapcheck", cell=0, term=Term(1, 2)),)
    beat = EntryBeat(config_version=1, leading=leading)
    context.process.apply_effects(entry.peer_message("entry-1", beat))


def forwards(context):
    return sum(isinstance(m, Forward) for m in context.link.sent)


@when("the peer connects anew before the former connection has ended")
def connect_anew(context):
    process = context.process
    process._replace_link("entry-1", process.accepted_links, RecordingLink())
    greet(context)


@then("the request is forwarded again")
def check_forwarded(context):
    assert forwards(context) == 2, context.link.sent


@when("an entry that is no candidate leads a cell and falls silent")
def silence_stranger(context):
    simulated_entries = context.simulated_entries
    *candidates, context.dead = simulated_entries.ranked(CELL)
    context.successor = candidates[0]
    leader = simulated_entries.entries[context.dead]
    leader.claims.take_over(CELL, leader.configuration)
    simulated_entries.run(6)
    directory = simulated_entries.entries[context.successor].directory
    _, highest_claim = directory.highest_claim(
        CELL, simulated_entries.clock.monotonic()
    )
    assert highest_claim == context.dead
    simulated_entries.silent.add(context.dead)


@when("one entry learns of a new version")
def configure_one(context):
    simulated_entries = context.simulated_entries
    # No distant heartbeat is due by itself for the next seconds.
    simulated_entries.run(1)
    newer = msgspec.structs.replace(simulated_entries.configuration, version=2)
    effects = simulated_entries.entries["entry-0"].configure(newer)
    simulated_entries.deliver("entry-0", effects)


@then("every entry has it in force within {limit:f} s")
def check_in_force(context, limit):
    simulated_entries = context.simulated_entries
    simulated_entries.run(limit)
    versions = {
        e.configuration.version for e in simulated_entries.entries.values()
    }
    assert versions == {2}, versions
