"""Counts system calls, tasks and their steps; see `job_cost.feature`."""

import contextlib
import json
import os
import random
from unittest import mock

from behave import then
from behave import when
import eliot
from job_release_steps import Exchange
from job_release_steps import JOB
from job_release_steps import ROUTE
import msgspec
import trio
import trio.testing

from egretcart.connection.frames import FrameCodec
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.peer_link import PeerLink
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.connection.messages import Beat
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.wire import DIRECT_PROTOCOL
from egretcart.direct.entry.entry import DirectEntry
from egretcart.direct.entry.entry_types import DirectEntryLimits
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.log.decisions import NullDecisionLog
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.log_lines import JsonDecisionLog
from egretcart.direct.log.log_lines import STDOUT
from egretcart.direct.request.job import Ending
from egretcart.process.clock import SystemClock

REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
TIMEOUT_S = 10


class Counter(trio.abc.Instrument):
    """Counts what is done while it counts.

    Steps are counted of all tasks but the one that drives the test.
    """

    def __init__(self):
        self.reads = self.writes = self.tasks = self.steps = 0
        self.driver = None

    def task_spawned(self, task):
        self.tasks += 1

    def before_task_step(self, task):
        self.steps += task is not self.driver

    @contextlib.contextmanager
    def counting(self):
        read, write = os.read, os.write

        def counted_read(*arguments):
            self.reads += 1
            return read(*arguments)

        def counted_write(*arguments):
            self.writes += 1
            return write(*arguments)

        self.driver = trio.lowlevel.current_task()
        trio.lowlevel.add_instrument(self)
        with mock.patch.multiple(os, read=counted_read, write=counted_write):
            yield
        trio.lowlevel.remove_instrument(self)


async def receive_some(stream):
    """Receive by a call that is not counted."""
    with trio.fail_after(TIMEOUT_S):
        return await stream.receive_some(100_000)


async def socket_streams():
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = listeners[0].socket.getsockname()
    near = await trio.open_tcp_stream(*address)
    return near, await listeners[0].accept()


async def respond(request):
    return HttpResponse(body=b'{"state":"completed"}')


def run(context, count, main):
    """Run an async function with a nursery, and keep what it counts."""
    context.count, context.counter = count, Counter()

    async def run_main():
        async with trio.open_nursery() as nursery:
            await main(nursery)
            nursery.cancel_scope.cancel()

    trio.run(run_main)


@when("{count:d} requests are served on one connection")
def serve_requests(context, count):
    async def main(nursery):
        caller, stream = await socket_streams()
        connection = HttpConnection(
            stream=stream,
            handler=respond,
            limits=HttpLimits(allows_half_close=False),
        )
        nursery.start_soon(connection.serve)
        await trio.testing.wait_all_tasks_blocked()
        with context.counter.counting():
            for _ in range(count):
                await caller.send_all(REQUEST)
                await trio.testing.wait_all_tasks_blocked()
                assert b"completed" in await receive_some(caller)

    run(context, count, main)


@when("{count:d} requests are exchanged on one connection")
def exchange_requests(context, count):
    async def main(nursery):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        client = HttpClient(host="127.0.0.1", port=port, max_connections=1)

        async def ask(times):
            for _ in range(times):
                await client.exchange("POST", "/a", time_limit_s=TIMEOUT_S)

        async def answer():
            assert b"POST" in await receive_some(stream)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
            await stream.send_all(head + b"{}")

        nursery.start_soon(ask, 1)
        stream = await listeners[0].accept()
        await answer()
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(ask, count + 1)
        await trio.testing.wait_all_tasks_blocked()
        # The steps from one response to the next request.
        with context.counter.counting():
            for _ in range(count):
                await answer()
                await trio.testing.wait_all_tasks_blocked()

    run(context, count, main)


@when("{count:d} frames of 3 messages are exchanged on a link")
def exchange_frames(context, count):
    async def main(nursery):
        peer, stream = await socket_streams()
        link = PeerLink(stream=stream, protocol=DIRECT_PROTOCOL)
        received = []

        async def serve():
            await link.run(received.append, first=[])

        nursery.start_soon(serve)
        link.confirm_hello()
        frame = DIRECT_PROTOCOL.codec.encode([Beat(version=1)] * 3)
        await trio.testing.wait_all_tasks_blocked()
        with context.counter.counting():
            for _ in range(count):
                await peer.send_all(frame)
                await trio.testing.wait_all_tasks_blocked()
                for _ in range(3):
                    link.post(Beat(version=1))
                link.flush()
                assert await receive_some(peer) == frame
        assert len(received) == 3 * count

    run(context, count, main)


@then(
    "each took {reads:d} read, {writes:d} write, {tasks:d} new tasks and at "
    "most {steps:d} step"
)
@then(
    "each took {reads:d} read, {writes:d} write, {tasks:d} new tasks and at "
    "most {steps:d} steps"
)
def check_counts(context, reads, writes, tasks, steps):
    counter, count = context.counter, context.count
    assert counter.reads == reads * count, counter.reads
    assert counter.writes == writes * count, counter.writes
    assert counter.tasks == tasks * count, counter.tasks
    assert counter.steps <= steps * count, counter.steps


@when("a heartbeat is encoded for {count:d} links")
def encode_heartbeat(context, count):
    codec = FrameCodec(
        structs=DIRECT_PROTOCOL.codec.structs, message_types=(Beat,)
    )
    heartbeat = Beat(version=7)
    with mock.patch.object(codec, "_encode", wraps=codec._encode) as encode:
        frames = {codec.encode([heartbeat]) for _ in range(count)}
    assert frames == {codec.encode([Beat(version=7)])}
    context.encodings = encode.call_count


@then("it was encoded once")
def check_encodings(context):
    assert context.encodings == 1, context.encodings


@when("{lines:d} decisions are logged in each of {turns:d} turns")
def log_decisions(context, lines, turns):
    context.written = []

    def write(descriptor, data):
        assert descriptor == STDOUT
        context.written.append(data)
        return len(data)

    async def main(nursery):
        log = JsonDecisionLog(process_id="p-1", clock=SystemClock())
        nursery.start_soon(log.run)
        for _ in range(turns):
            for _ in range(lines):
                log.write(PeerChanged(peer="p-2", state="connected"))
            await trio.testing.wait_all_tasks_blocked()
        eliot.remove_destination(log._enqueue_line)

    with (
        mock.patch.object(os, "write", write),
        mock.patch.object(os, "set_blocking"),
    ):
        run(context, turns, main)


@then("{writes:d} writes have written {lines:d} lines of one eliot task")
def check_lines(context, writes, lines):
    assert len(context.written) == writes, len(context.written)
    records = [
        json.loads(line) for line in b"".join(context.written).splitlines()
    ]
    assert len(records) == lines, len(records)
    assert len({record["task_uuid"] for record in records}) == 1
    assert [record["task_level"] for record in records] == [
        [number] for number in range(1, lines + 1)
    ]


@when("an agent sends 4 statuses, of which the third has changed")
def send_statuses(context):
    queued = iter((1, 1, 2, 2))
    effects = []
    links = EntryLinks(
        effects=effects,
        min_status_interval_s=0.0,
        max_statuses_per_s=1000.0,
        retire_after_s=60.0,
        status=lambda sequence, now: AgentStatus(queued=next(queued)),
    )
    links.entries["entry-1"] = EntryState(
        incarnation=1, last_message_at=0.0, heartbeat_interval_s=0.1
    )
    for number in range(1, 5):
        links.send_due_statuses(float(number))
    context.sent = [effect.message for effect in effects]


@then('it has sent "{kinds}"')
def check_sent(context, kinds):
    names = [type(message).__name__ for message in context.sent]
    assert names == kinds.split(", "), names


@then("an entry takes the heartbeat for a status of that time")
def check_received(context):
    entry = DirectEntry(
        entry_id="entry-1",
        limits=DirectEntryLimits(),
        log=NullDecisionLog(),
        source=random.Random(1),
    )
    hello = AgentHello(status=AgentStatus(agent_id="agent-1", queued=2))
    entry.agent_connected(hello, 1.0)
    entry.receive("agent-1", context.sent[-1], 3.0)
    view = entry.state.agents["agent-1"]
    assert (view.status_at, view.last_message_at) == (3.0, 3.0)
    assert view.status == hello.status


class CountedTasks(dict):
    """Tasks of a job that count how often they are gone over."""

    passes = 0

    def values(self):
        self.passes += 1
        return super().values()


def sent_tasks(effects):
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendToAgent)
        and isinstance(effect.message, RunTasks)
    ]


@when("an entry has sent all tasks of {count:d} jobs")
def send_all_tasks(context, count):
    exchange = context.exchange = Exchange()
    for number in range(count):
        job = msgspec.structs.replace(JOB, job_id=f"{number:016x}")
        effects = exchange.entry.submit(number, job, ROUTE, exchange.now)
        assert len(sent_tasks(effects)) == 1
    context.jobs = list(exchange.entry.jobs.values())
    for held in context.jobs:
        held.tasks = CountedTasks(held.tasks)


@then("a dispatch goes over the tasks of no job")
def check_no_passes(context):
    context.exchange.entry.dispatch_waiting(context.exchange.now)
    assert not any(held.tasks.passes for held in context.jobs)


@then("once a task came back, it is sent again by the next dispatch")
def check_sent_again(context):
    entry, now = context.exchange.entry, context.exchange.now
    first, *others = context.jobs
    (task,) = first.tasks.values()
    key = task.key
    ended = TaskEnded(
        job_id=key.job_id,
        step=key.step,
        index=key.index,
        run=task.run,
        ending=Ending.NOT_RUN.value,
    )
    entry.receive("agent", ended, now)
    (again,) = sent_tasks(entry.dispatch_waiting(now))
    assert (again.job_id, again.run) == (key.job_id, ended.run + 1), again
    assert not any(held.tasks.passes for held in others)
    assert [held.waiting_count for held in context.jobs] == [0, 0, 0]
