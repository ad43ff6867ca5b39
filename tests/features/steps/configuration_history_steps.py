import json
import pathlib
import sys
import tempfile

from behave import then
from behave import when
from configuration_world import COMMAND_LIMIT_S
from configuration_world import lose_answers
from configuration_world import proposed
from configuration_world import ROOT
from hypothesis import given as each
from hypothesis import strategies
import msgspec
from platform_world import HOST
from platform_world import running
import trio

from egretcart.process.configuration.config_store import apply_change
from egretcart.process.configuration.config_store import DOCUMENTS_PREFIX
from egretcart.process.configuration.config_store import HISTORY_PREFIX
from egretcart.process.configuration.config_store import HistoryLimits
from egretcart.process.configuration.config_store import PlatformConfigStore
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform_follower import CONFIG_AND_ENTRIES_RANGE
from egretcart.version.change import Accepted
from egretcart.version.change import AuditEntry
from egretcart.version.change import Forgotten
from egretcart.version.change import NOTHING_STORED
from egretcart.version.difference import Difference
from egretcart.version.difference import shorten_differences

LIMITS = HistoryLimits(max_documents=3, max_entries=5)
OPERATOR_COUNT = 20


async def versions_below(platform, prefix):
    """Return the versions that have a key with a prefix.

    The keys must lie outside the range that the entries watch.
    """
    keys = prefix_range(prefix)
    assert (
        not CONFIG_AND_ENTRIES_RANGE.start
        <= keys.start
        < CONFIG_AND_ENTRIES_RANGE.end
    )
    listing = await platform.list_range(keys)
    return sorted(int(key.removeprefix(prefix)) for key in listing.values)


def written_change_ids(standin):
    """Return the change id of each version ever written, pruned or not."""
    prefix = HISTORY_PREFIX.encode()
    entries = [
        msgspec.json.decode(change.value, type=AuditEntry)
        for change in standin.store.changes
        if change.key.startswith(prefix) and change.value is not None
    ]
    return {entry.version: entry.change_id for entry in entries}


async def apply_next(store, number):
    current = await store.read_current() or NOTHING_STORED
    change = proposed(number, current.document.version)
    return change, await apply_change(
        store, change, time_limit_s=COMMAND_LIMIT_S
    )


@when("100 applies run concurrently, keeping 5 audit entries, 3 documents")
def apply_concurrently(context):
    context.outcomes = {}

    async def operator(store, numbers):
        for number in numbers:
            change, outcome = await apply_next(store, number)
            context.outcomes[change.change_id] = outcome

    async def run():
        async with running(calls_per_s=1e6, burst=1e6) as (standin, platform):
            store = PlatformConfigStore(platform=platform, limits=LIMITS)
            async with trio.open_nursery() as faults:
                faults.start_soon(lose_answers, standin)
                async with trio.open_nursery() as operators:
                    for first in range(OPERATOR_COUNT):
                        numbers = range(1 + first, 101, OPERATOR_COUNT)
                        operators.start_soon(operator, store, numbers)
                faults.cancel_scope.cancel()
            standin.faults.lost_replies = 0
            context.written = written_change_ids(standin)
            context.entries = await versions_below(platform, HISTORY_PREFIX)
            context.documents = await versions_below(
                platform, DOCUMENTS_PREFIX
            )

    trio.run(run)


@then("the store holds just the newest 5 audit entries and 3 documents")
def check_kept(context):
    versions = sorted(context.written)
    assert versions == list(range(1, len(versions) + 1))
    assert len(versions) > LIMITS.max_entries, versions
    assert context.entries == versions[-LIMITS.max_entries :]
    assert context.documents == versions[-LIMITS.max_documents :]


@then("each outcome agrees with the versions that were written")
def check_outcomes(context):
    assert len(context.outcomes) == 100
    version_of = {i: version for version, i in context.written.items()}
    for change_id, outcome in context.outcomes.items():
        if isinstance(outcome, Accepted):
            assert version_of[change_id] == outcome.version
        elif not isinstance(outcome, Forgotten):
            assert change_id not in version_of, outcome


@when("12 versions are applied one after the other")
def apply_in_turn(context):
    async def run():
        async with running() as (standin, platform):
            store = PlatformConfigStore(platform=platform, limits=LIMITS)
            for number in range(1, 13):
                change = proposed(number, number - 1)
                outcome = await apply_change(
                    store, change, time_limit_s=COMMAND_LIMIT_S
                )
                assert outcome == Accepted(version=number), outcome
            context.calls = dict(standin.calls_by_path)

    trio.run(run)


@then("each of them took one read and one transaction")
def check_calls(context):
    assert context.calls == {"/v3/kv/range": 12, "/v3/kv/txn": 12}


@when("8 versions are applied and the commands ask for pruned ones")
def ask_for_pruned(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name) / "configuration.json"

    async def command(port, *arguments):
        done = await trio.run_process(
            [
                sys.executable,
                "-m",
                "egretcart",
                *arguments,
                f"--platform={HOST}:{port}",
            ],
            cwd=ROOT,
            capture_stdout=True,
            capture_stderr=True,
            check=False,
        )
        return done.returncode, (done.stdout + done.stderr).decode()

    async def apply(port, *options):
        return await command(
            port, "apply", str(path), "--reason=test", "--yes", *options
        )

    async def run():
        async with running() as (standin, platform):
            store = PlatformConfigStore(platform=platform, limits=LIMITS)
            for number in range(1, 9):
                await apply_next(store, number)
            port = standin.port
            context.shown = {
                version: await command(port, "show", f"--version={version}")
                for version in (3, 4, 7, 9)
            }
            context.history_output = await command(
                port, "history", "--last=20"
            )
            path.write_text(
                json.dumps(
                    {
                        "services": [{"name": "snapcheck"}],
                        "max_tasks_per_job": 77,
                    }
                )
            )
            context.conflict = await apply(port, "--base=2")
            context.forgotten = await apply(port, "--base=2", "--change=c-2")
            path.write_text(context.shown[7][1])
            context.rollback = await apply(port, "--base=8")

    trio.run(run)


@then("a pruned document is reported with its audit entry")
def check_pruned_document(context):
    status, output = context.shown[4]
    assert status == 2, output
    assert "the document of version 4 has been pruned" in output, output
    assert "by x: y" in output, output
    status, output = context.shown[7]
    assert status == 0, output
    assert json.loads(output)["version"] == 7, output
    status, output = context.shown[9]
    assert status == 2, output
    assert "there is no version 9; accepted: 1 to 8" in output, output


@then("a pruned audit entry is reported by show and history")
def check_pruned_entry(context):
    status, output = context.shown[3]
    assert status == 2, output
    assert "version 3 has been pruned with its audit entry" in output, output
    status, output = context.history_output
    assert status == 0, output
    assert "audit entries before version 4 have been pruned" in output, output
    assert output.count("  change ") == LIMITS.max_entries, output


@then("an apply on a pruned base is refused with a clear error")
def check_pruned_base(context):
    status, output = context.conflict
    assert status == 1, output
    assert "made from version 2, but 8 is in force" in output, output
    assert "audit entry of version 3 has been pruned" in output, output


@then("a change whose audit entry is pruned is reported as not known")
def check_forgotten(context):
    status, output = context.forgotten
    assert status == 1, output
    assert "not known any more: change c-2" in output, output


@then("a rollback to a kept version is accepted")
def check_rollback(context):
    status, output = context.rollback
    assert status == 0, output
    assert "accepted: version 9" in output, output


@then("differences are kept up to a bound and the others are counted")
def check_shortening(context):
    differences = strategies.builds(
        Difference,
        path=strategies.text("ab", max_size=5),
        after=strategies.text("ab", max_size=50),
    )

    @each(
        strategies.lists(differences, max_size=9).map(tuple),
        strategies.integers(0, 300),
    )
    def run(found, max_bytes):
        kept, omitted = shorten_differences(found, max_bytes=max_bytes)
        sizes = [len(msgspec.json.encode(one)) for one in kept]
        assert sum(sizes) <= max_bytes
        assert len(kept) + omitted == len(found)
        rest = iter(found)
        assert all(one in rest for one in kept), "out of order"
        omitted_differences = [one for one in found if one not in kept]
        smallest = min(
            (len(msgspec.json.encode(one)) for one in omitted_differences),
            default=max_bytes + 1,
        )
        assert sum(sizes) + smallest > max_bytes

    run()
