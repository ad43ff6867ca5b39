import base64
import contextlib
import json
import random
import zlib

from behave import given
from behave import then
from platform_adapter_steps import call
from platform_adapter_steps import raised_error
from platform_standins import StandIns
import trio

from adapter.store import CALL_TIMEOUT_S
from adapter.store import MetadataStore
from egretcart.direct.version.configuration import decode_routing
from egretcart.direct.version.configuration import encode_routing
from egretcart.direct.version.configuration import MAX_DOCUMENT_BYTES
from egretcart.direct.version.configuration import Route
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.configuration_pull import ConfigurationPull
from egretcart.direct.version.configuration_pull import ConfigurationPullLimits
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range

LINK_BYTES_PER_S = 250_000
CHUNK_BYTES = 5_000
VALUE = random.Random(1).randbytes(300_000)
ITEM = {
    "key": "op/config",
    "value": base64.b64encode(VALUE).decode(),
    "revision": 5,
    "asOf": 5,
}
LIMITS = ConfigurationPullLimits()


class SlowStore:
    """Answers each request with the same item, through a slow link.

    Attributes
    ----------
    stops : bool
        Whether only half of each response is sent.
    calls : list of str
        Path of each request.
    """

    def __init__(self, *, stops):
        self.stops = stops
        self.calls = []

    async def serve(self, stream):
        # The client resets connections whose response it abandons.
        with contextlib.suppress(trio.BrokenResourceError):
            await self._serve_requests(stream)

    async def _serve_requests(self, stream):
        while data := await stream.receive_some(65536):
            path = data.split(b" ")[1].decode()
            self.calls.append(path)
            fields = ITEM
            if path.startswith("/kv-watch"):
                fields = {"events": [ITEM], "asOf": 5}
            await self._send(stream, json.dumps(fields).encode())

    async def _send(self, stream, body):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode())
        end = len(body) // 2 if self.stops else len(body)
        for start in range(0, end, CHUNK_BYTES):
            await trio.sleep(CHUNK_BYTES / LINK_BYTES_PER_S)
            await stream.send_all(body[start : min(start + CHUNK_BYTES, end)])


def start_store(context, *, stops):
    context.stand_ins = StandIns()
    context.add_cleanup(context.stand_ins.close)
    context.store = SlowStore(stops=stops)

    async def start():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        context.stand_ins.nursery.start_soon(
            trio.serve_listeners, context.store.serve, listeners
        )
        return listeners[0].socket.getsockname()[1]

    context.client = MetadataStore(host="127.0.0.1", port=call(context, start))


@given("a store whose responses of 400 KB pass through a link of 2 Mbit/s")
def start_slow_store(context):
    start_store(context, stops=False)


@given("a store whose responses stop in the middle")
def start_stopping_store(context):
    start_store(context, stops=True)


async def timed(function, *arguments):
    started_at = trio.current_time()
    try:
        return await function(*arguments), trio.current_time() - started_at
    except PlatformError as error:
        return error, trio.current_time() - started_at


@then("the value is read in one call that takes longer than its time limit")
def check_read(context):
    value, seconds = call(context, timed, context.client.get, "op/config")
    assert value.data == VALUE
    assert seconds > CALL_TIMEOUT_S, seconds
    assert len(context.store.calls) == 1, context.store.calls


@then("a watch reports the value in one call")
def check_watch(context):
    context.store.calls.clear()
    changes = []

    async def watch():
        with trio.move_on_after(3.0) as scope:

            def handle(change):
                changes.append(change)
                scope.cancel()

            await context.client.watch(prefix_range("op/config"), 1, handle)

    call(context, watch)
    assert changes[0].value.data == VALUE
    assert len(context.store.calls) == 1, context.store.calls


@then("reading the value fails within 2.5 seconds")
def check_abandoned(context):
    error, seconds = call(context, timed, context.client.get, "op/config")
    assert isinstance(error, PlatformError), error
    assert seconds < 2.5, seconds


def pull_with(**versions):
    pull = ConfigurationPull(limits=LIMITS, choose=min)
    for entry_id, version in versions.items():
        pull.record_version(entry_id, version)
    return pull


@then("no entry is asked while the store has time to deliver a version")
def check_store_first(context):
    pull = pull_with(a=3, b=4)
    assert pull.find_entry_to_ask(3, 10.0) is None
    assert pull.find_entry_to_ask(3, 9.9 + LIMITS.store_lead_s) is None
    assert pull.find_entry_to_ask(3, 10.1 + LIMITS.store_lead_s) == "b"


@then("one entry is asked at a time, and another one if it gives no answer")
def check_one_at_a_time(context):
    pull = pull_with(a=4, b=4)
    pull.find_entry_to_ask(3, 10.0)
    asked_at = 10.1 + LIMITS.store_lead_s
    assert pull.find_entry_to_ask(3, asked_at) == "a"
    assert pull.find_entry_to_ask(3, asked_at + 1.0) is None
    later = asked_at + LIMITS.answer_timeout_s + 0.1
    assert pull.find_entry_to_ask(3, later) == "b"
    pull.remove_entry("b")
    assert pull.find_entry_to_ask(3, later + 0.1) == "a"


@then("an entry without a configuration asks sooner")
def check_first(context):
    pull = pull_with(a=4)
    pull.find_entry_to_ask(0, 10.0)
    asked_at = 10.05 + LIMITS.first_store_lead_s
    assert pull.find_entry_to_ask(0, asked_at) == "a"


@then("nothing is asked once the version is active")
def check_active(context):
    pull = pull_with(a=4)
    pull.find_entry_to_ask(3, 10.0)
    assert pull.find_entry_to_ask(4, 12.0) is None
    pull.record_version("a", 5)
    assert pull.find_entry_to_ask(4, 13.0) is None


def large_configuration():
    return RoutingConfiguration(
        version=14,
        routes=tuple(
            Route(
                name=f"route-{number}",
                host=f"host-{number * 7919 % 1148}.example",
                prefix=f"/path-{number}/",
                service=f"service-{number % 7}",
                priority=number % 3,
                max_attempts=4,
                stretch=1.6,
                slack_ms=60.0,
            )
            for number in range(1148)
        ),
    )


@then("it is encoded in less than 40 KB and decoded unchanged")
def check_encoded(context):
    configuration = large_configuration()
    data = encode_routing(configuration)
    assert len(data) < 40_000, len(data)
    assert decode_routing(data) == configuration


@then("damaged or endless documents are refused with a reason")
def check_refused(context):
    data = encode_routing(large_configuration())
    endless = zlib.compress(b" " * (MAX_DOCUMENT_BYTES + 1))
    for wrong in (b"", b"{}", data[:-5], endless, zlib.compress(b"{")):
        assert str(raised_error(ValueError, decode_routing, wrong))
