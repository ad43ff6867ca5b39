import base64
import contextlib
import pathlib
import random
import tempfile

from behave import given
from behave import then
from behave import when
from hypothesis import given as each
from hypothesis import settings
from hypothesis import strategies
import msgspec
from platform_world import HOST
from platform_world import running
from platform_world import switch_faults
import trio

from egretcart.connection.cell_types import Roster
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpResponse
from egretcart.process.cell.rosters import read_roster
from egretcart.process.cell.rosters import roster_key
from egretcart.process.cell.rosters import write_roster
from egretcart.process.entry.directory import Cell
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import PlatformRefusal
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import Put
from egretcart.process.store.platform_follower import PlatformFollower
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.process.store.registration import list_entries
from egretcart.process.store.registration import Registrar
from egretcart.request.verdict import Verdict
from egretcart.testing.platform_store import PlatformStore


def encode(data):
    return base64.b64encode(data).decode()


@then("any transactions on the stand-in give the same result as a dictionary")
def check_transactions(context):
    keys = strategies.sampled_from([b"a", b"b", b"c"])
    transaction = strategies.tuples(
        strategies.dictionaries(keys, strategies.booleans()),
        strategies.dictionaries(keys, strategies.binary(max_size=2)),
        strategies.sets(keys),
    )

    @each(strategies.lists(transaction, max_size=30))
    def run(transactions):
        store = PlatformStore()
        model = {}
        for compares, puts, gone in transactions:
            revision = store.revision
            answer = store.transact(
                {
                    "compare": [
                        {
                            "key": encode(key),
                            "mod_revision": model.get(key, (0, 0))[0]
                            if is_met
                            else 10**6,
                        }
                        for key, is_met in compares.items()
                    ],
                    "success": [
                        {"request_delete_range": {"key": encode(key)}}
                        for key in sorted(gone)
                    ]
                    + [
                        {
                            "request_put": {
                                "key": encode(key),
                                "value": encode(value),
                            }
                        }
                        for key, value in puts.items()
                    ],
                }
            )
            conditions_hold = all(compares.values())
            is_overlapping = bool(gone & puts.keys())
            assert ("error" in answer) is is_overlapping
            if conditions_hold and not is_overlapping:
                assert answer["succeeded"]
                for key in gone:
                    model.pop(key, None)
                for key, value in puts.items():
                    model[key] = (revision + 1, value)
        found = {
            key: (pair.mod_revision, pair.value)
            for key, pair in store.pairs.items()
        }
        assert found == model

    run()


@given("a platform stand-in on loopback")
def platform_on_loopback(context):
    context.platform_file = None


@given("a platform stand-in that keeps its data in a file")
def platform_with_file(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.platform_file = pathlib.Path(folder.name) / "data.json"


@when("a key is written under a lease that is not renewed")
def write_leased_key(context):
    async def run():
        context.lapsed = []
        send, changes = trio.open_memory_channel(10)
        async with running() as (_, platform), trio.open_nursery() as nursery:
            nursery.start_soon(
                platform.watch, prefix_range("held/"), 1, send.send_nowait
            )
            lease = await platform.grant_lease(1)
            put = Put(key="held/a", data=b"x", lease=lease)
            assert await platform.transact({}, (put,))
            context.changes = [await changes.receive() for _ in range(2)]
            assert await platform.get("held/a") is None
            context.lapsed.append(await platform.keep_alive(lease))
            try:
                await platform.transact({}, (put,))
            except PlatformRefusal as error:
                context.lapsed.append(error.verdict)
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("its watch reports the key and then its removal")
def check_watch(context):
    put, gone = context.changes
    assert (put.key, put.value.data) == ("held/a", b"x")
    assert (gone.key, gone.value) == ("held/a", None)


@then("the expired lease can't be renewed or used")
def check_expired_lease(context):
    assert context.lapsed == [False, Verdict.NOT_RUN]


@when("the answer to a conditional write is lost")
def lose_answer(context):
    async def run():
        async with running() as (standin, platform):
            standin.faults.lost_replies = 1
            try:
                await platform.compare_and_swap("k", b"new", 0)
            except PlatformError as error:
                context.lost = error.verdict
            context.read_back = await platform.get("k")

    trio.run(run)


@then("the write is reported as may-have-run and can be read back")
def check_lost(context):
    assert context.lost is Verdict.MAY_HAVE_RUN
    assert context.read_back.data == b"new"


@then("calls to a platform that is down, slow or rate limited fail in time")
def check_faults(context):
    async def run():
        limits = {"call_timeout_s": 0.1, "probe_backoff_s": 0.02}
        async with running(**limits) as (standin, platform):
            context.recovered = []
            for fault in ({"down": True}, {"delay_ms": 60_000}):
                await check_fault(standin, platform, fault)
                context.recovered.append(await recover(standin, platform))
            await check_fault(standin, platform, {"calls_per_s": 0})
            context.recovered.append(await recover(standin, platform))

    async def check_fault(standin, platform, fault):
        await switch_faults(standin, **fault)
        for _ in range(6):
            try:
                await platform.get("k")
            except PlatformError:
                continue
            raise AssertionError(f"answered despite {fault}")

    async def recover(standin, platform):
        await switch_faults(standin)
        while True:
            with contextlib.suppress(PlatformError):
                await platform.get("k")
                return True
            await trio.sleep(0.02)

    trio.run(run)


@then("the platform answers again after each fault")
def check_recovered(context):
    assert context.recovered == [True, True, True]


ANSWER_FIELDS = (
    "header", "revision", "kvs", "key", "value", "mod_revision", "ID",
    "result", "TTL", "succeeded", "events", "kv", "type", "canceled", "error",
)  # fmt: skip
ANSWERS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from(["", "0", "7", "x", "YQ==", "DELETE", "\xff"]),
    lambda values: (
        strategies.lists(values, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(ANSWER_FIELDS),
            values,
            max_size=4,
        )
    ),
    max_leaves=6,
)


@then("any JSON as an answer is either decoded or raises a platform error")
def check_invalid_answers(context):
    async def serve(stream):
        connection = HttpConnection(
            stream=stream, handler=handle, limits=HttpLimits()
        )
        await connection.serve()

    async def handle(request):
        body = msgspec.json.encode(context.answer)
        if request.path != "/v3/watch":
            return HttpResponse(body=body)

        async def lines():
            yield body + b"\n"

        return HttpResponse(chunks=lines())

    async def call(answer):
        context.answer = answer
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            platform = EtcdPlatform(
                host=HOST, port=port, limits=PlatformLimits(max_attempts=1)
            )
            for make in (
                lambda: platform.get("k"),
                lambda: platform.list_range(prefix_range("k/")),
                lambda: platform.transact({"k": 1}, ()),
                lambda: platform.grant_lease(1),
                lambda: platform.keep_alive(1),
                lambda: platform.revoke_lease(1),
                lambda: platform.watch(
                    prefix_range("k/"), 1, lambda change: None
                ),
            ):
                platform.guard.succeeded()
                with contextlib.suppress(PlatformError):
                    await make()
            nursery.cancel_scope.cancel()

    @settings(max_examples=60, deadline=None)
    @each(ANSWERS)
    def run(answer):
        trio.run(call, answer)

    run()


@when("the value under a roster's key is not a roster")
def write_invalid_roster(context):
    cell = Cell("snapcheck", 0)

    async def run():
        async with running() as (_, platform):
            key = roster_key(cell)
            assert await platform.compare_and_swap(key, b"{", 0)
            try:
                await read_roster(platform, cell)
            except PlatformError as error:
                context.read_error = str(error)
            roster = Roster(version=2)
            context.written = await write_roster(platform, cell, roster)
            context.kept = await platform.get(key)

    trio.run(run)


@then("reading and writing the roster fail like calls without an answer")
def check_invalid_roster(context):
    assert "holds no Roster" in context.read_error
    assert context.written is None
    assert context.kept.data == b"{"


@when("it is restarted after a write under a lease")
def restart_standin(context):
    async def write():
        async with running(context.platform_file) as (_, platform):
            lease = await platform.grant_lease(3600)
            put = Put(key="k", data=b"kept", lease=lease)
            assert await platform.transact({}, (put,))
            return lease, await platform.get("k")

    async def read(lease):
        async with running(context.platform_file) as (_, platform):
            return await platform.get("k"), await platform.keep_alive(lease)

    lease, context.before = trio.run(write)
    context.after = trio.run(read, lease)


@then("the value, its revision and the lease are still there")
def check_kept(context):
    assert context.after == (context.before, True)


@when("30 entries watch and register during an outage of the platform")
def outage(context):
    async def entry(name, port):
        platform = EtcdPlatform(host=HOST, port=port)
        follower = PlatformFollower(
            platform=platform,
            source=random.Random(name),
            on_read_started=lambda: None,
            on_configuration=lambda document: None,
            on_entry=lambda address: None,
            on_roster=lambda cell, roster: None,
            on_failure=lambda: None,
        )
        registrar = Registrar(
            platform=platform,
            address=EntryAddress(entry_id=name, host=HOST, port=1),
            source=random.Random(name),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.run)
            nursery.start_soon(registrar.run)

    async def registered(platform):
        while True:
            with contextlib.suppress(PlatformError):
                if len(await list_entries(platform)) == 30:
                    return
            await trio.sleep(0.1)

    async def run():
        async with (
            running() as (standin, platform),
            trio.open_nursery() as nursery,
        ):
            for number in range(30):
                nursery.start_soon(entry, f"e{number}", standin.port)
            await registered(platform)
            await switch_faults(standin, down=True)
            before = standin.calls
            began = trio.current_time()
            await trio.sleep(8)
            context.outage_s = trio.current_time() - began
            context.calls_in_outage = standin.calls - before
            standin.store.expire_leases(trio.current_time() + 10**6)
            await switch_faults(standin)
            before = standin.calls
            await registered(platform)
            context.calls_after = standin.calls - before
            nursery.cancel_scope.cancel()

    trio.run(run)


@then("each entry has made only a few probes during the outage")
def check_probes(context):
    limits = PlatformLimits()
    probes, remaining_s, pause_s = 0, context.outage_s, limits.probe_backoff_s
    while remaining_s > 0:
        probes += 1
        remaining_s -= pause_s / 2
        pause_s = min(limits.max_probe_backoff_s, pause_s * 2)
    callers = 3
    allowed = limits.failure_threshold + callers + probes
    assert context.calls_in_outage <= 30 * allowed, context.calls_in_outage


@then("each entry has made only a few calls after the outage")
def check_calls_after(context):
    # Two ranges, two watches, a renewal, a grant, a put, and retries; and
    # the calls with which the test polls the registrations.
    polls = 100
    assert context.calls_after <= 30 * 10 + polls, context.calls_after
