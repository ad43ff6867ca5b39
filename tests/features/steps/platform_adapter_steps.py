import http.client
import json
import re
import signal
import sys
import threading
import time
import unittest.mock

from behave import given
from behave import then
import loopback
from loopback import LoopbackNetwork
import msgspec
from platform_deployment import Deployment
from platform_deployment import desired_state
from platform_deployment import job
from platform_deployment import ROOT
from platform_deployment import wait_until
from platform_standins import RunnerStandIn
from platform_standins import StandIns
from platform_standins import StoreStandIn
from raised_errors import raised_error
import trio
import trio.testing

from egretcart.connection.http_server import HttpResponse
from egretcart.direct.backend.backend import BackendCallError
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import IncarnationMismatchError
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import StaleTokenError
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import TaskKey
from egretcart.process.store.platform import KeyRange
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import Put

sys.path.insert(0, str(ROOT / "platform"))

from adapter.configuration import decode_configuration
from adapter.jobs import decode_job
from adapter.runner import decode_report
from adapter.runner import Runner
from adapter.store import MetadataStore

KEY = TaskKey("0" * 16, 0, 0)


@given("a store stand-in")
def start_store(context):
    context.stand_ins = StandIns()
    context.add_cleanup(context.stand_ins.close)
    context.store = StoreStandIn()
    port = context.stand_ins.serve(context.store.handle)
    context.client = MetadataStore(host="127.0.0.1", port=port)


def call(context, function, *arguments):
    return context.stand_ins.call(function, *arguments)


@then("a value is written, read, and swapped only at its revision")
def check_values(context):
    client = context.client
    assert call(context, client.get, "a/key") is None
    assert call(context, client.compare_and_swap, "a/key", b"one", 0)
    value = call(context, client.get, "a/key")
    assert value.data == b"one"
    assert not call(context, client.compare_and_swap, "a/key", b"two", 1)
    assert call(
        context, client.compare_and_swap, "a/key", b"two", value.revision
    )
    assert call(context, client.get, "a/key").data == b"two"


@then("a range of three pages is listed completely")
def check_pages(context):
    context.store.page_size = 2
    for number in range(5):
        context.store.put(f"pages/{number}", b"x")
    listing = call(context, context.client.list_range, prefix_range("pages/"))
    assert len(listing.values) == 5
    assert listing.revision == context.store.revision
    error = raised_error(
        ValueError,
        call,
        context,
        context.client.list_range,
        KeyRange("a", "q"),
    )
    assert "no prefix" in str(error)


@then("a key is deleted when its lease is revoked")
def check_lease(context):
    client = context.client
    lease = call(context, client.grant_lease, 5)
    call(context, client.transact, {}, (Put(key="l", data=b"", lease=lease),))
    assert call(context, client.keep_alive, lease)
    call(context, client.revoke_lease, lease)
    assert not call(context, client.keep_alive, lease)
    assert call(context, client.get, "l") is None


@then("a watch reports each change in order")
def check_watch(context):
    found = []
    revision = context.store.revision + 1

    async def watch():
        with trio.move_on_after(1.0):
            await context.client.watch(
                prefix_range("w/"), revision, found.append
            )

    context.stand_ins.start_soon(watch)
    for number in range(3):
        time.sleep(0.1)
        context.store.put(f"w/{number}", b"%d" % number)
    context.store.delete("w/0")
    time.sleep(0.3)
    data = [change.value and change.value.data for change in found]
    assert data == [b"0", b"1", b"2", None], found


@then('"busy", "silent" and "lost" answers raise an error within 2 seconds')
def check_failures(context):
    for mode in ("busy", "silent", "lost"):
        context.store.mode = mode
        started_at = time.monotonic()
        raised_error(PlatformError, call, context, context.client.get, "a/key")
        assert time.monotonic() - started_at < 2, mode
    context.store.mode = "sound"


@then("a watch whose history is gone raises an error")
def check_history(context):
    context.store.history_from = context.store.revision + 5
    error = raised_error(
        PlatformError,
        call,
        context,
        context.client.watch,
        prefix_range("w/"),
        1,
        lambda _: None,
    )
    assert "410" in str(error)


@then("a value that is not base64 raises an error")
def check_base64(context):
    context.store.put("bad", b"x")
    context.store.items["bad"]["value"] = "*"
    error = raised_error(
        PlatformError, call, context, context.client.get, "bad"
    )
    assert "base64" in str(error)


@then("a change at the end of a watch's wait is reported or follows")
def check_watch_end(context):
    """The stand-in answers a watch only up to what it has looked at."""

    async def watch_while_written():
        store = StoreStandIn()
        query = {"prefix": "a/", "after": store.revision, "waitMs": 4}
        answers = []

        async def watch():
            response = await store._watch(query)
            answers.append(json.loads(response.body))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.002)
            store.put("a/key", b"x")
        if not answers[0]["events"]:
            query["after"] = answers[0]["asOf"]
            await watch()
        return [event["key"] for event in answers[-1]["events"]]

    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(watch_while_written, clock=clock) == ["a/key"]


@given("a runner stand-in")
def start_runner(context):
    context.stand_ins = StandIns()
    context.add_cleanup(context.stand_ins.close)
    context.runner = RunnerStandIn(name="i-1", work_ms=50)
    port = context.stand_ins.serve(context.runner.handle)
    context.client = Runner(
        host="127.0.0.1", port=port, start_timeout_s=0.3, stop_timeout_s=0.3
    )


def start_request(context, run=1, token=5, ahead_ms=500, name="i-1"):
    return StartRequest(
        lifetime=BackendIncarnation(name, context.runner.backend.born_ms),
        fencing_token=token,
        key=KEY,
        run=run,
        payload="payload",
        deadline_ms=int(context.runner.backend.clock_ms) + ahead_ms,
    )


def poll_request(context, acknowledged=0, token=5, name="i-1", wait_ms=0):
    return PollRequest(
        lifetime=BackendIncarnation(name, context.runner.backend.born_ms),
        fencing_token=token,
        acknowledged=acknowledged,
        deadline_ms=int(context.runner.backend.clock_ms) + 500,
        wait_ms=wait_ms,
    )


@then("a start is answered as started, stale run, too late and stale token")
def check_starts(context):
    start = context.client.start
    answers = [
        call(context, start, start_request(context)),
        call(context, start, start_request(context)),
        call(context, start, start_request(context, run=2, ahead_ms=-50)),
        call(context, start, start_request(context, run=2, token=1)),
        call(context, start, start_request(context, name="i-2")),
    ]
    # The stand-in's time stands still until here, so that the run can't end
    # between two calls on a busy machine.
    context.stand_ins.start_soon(context.runner.run)
    time.sleep(0.15)
    answers.append(call(context, start, start_request(context, run=1)))
    assert answers == [
        StartAnswer.STARTED,
        StartAnswer.STARTED,
        StartAnswer.TOO_LATE,
        StartAnswer.STALE_TOKEN,
        StartAnswer.OTHER_LIFETIME,
        StartAnswer.STALE_RUN,
    ], answers


async def poll(context, request):
    return await context.client.poll(request, time_limit_s=0.5)


@then("a poll lists each ended run until it is acknowledged")
def check_polls(context):
    request = poll_request(context)
    listing = call(context, poll, context, request)
    assert [(e.number, e.key, e.ending) for e in listing.ended] == [
        (1, KEY, Ending.DONE)
    ]
    call(context, context.client.start, start_request(context, run=7))
    request = poll_request(context, acknowledged=1, wait_ms=200)
    listing = call(context, poll, context, request)
    assert [(e.number, e.run) for e in listing.ended] == [(2, 7)]
    request = poll_request(context, acknowledged=2)
    assert not call(context, poll, context, request).ended


@then(
    "another incarnation, a lower token and no listener raise different errors"
)
def check_poll_errors(context):
    for request, expected in (
        (poll_request(context, name="i-2"), IncarnationMismatchError),
        (poll_request(context, token=1), StaleTokenError),
    ):
        raised_error(expected, call, context, poll, context, request)
    unserved_runner = Runner(
        host="127.0.0.1", port=1, start_timeout_s=0.3, stop_timeout_s=0.3
    )
    request = start_request(context)
    error = raised_error(
        BackendCallError, call, context, unserved_runner.start, request
    )
    assert error.refused


@then("a poll that is turned away has been answered, one without listener not")
def check_turned_away(context):
    async def turn_away(request):
        return HttpResponse(status=503)

    port = context.stand_ins.serve(turn_away)
    for used_port, answered in ((port, True), (1, False)):
        client = Runner(
            host="127.0.0.1",
            port=used_port,
            start_timeout_s=0.3,
            stop_timeout_s=0.3,
        )

        async def poll_there(client=client):
            return await client.poll(poll_request(context), time_limit_s=0.5)

        error = raised_error(BackendCallError, call, context, poll_there)
        assert error.answered is answered, error


@then("the report {report} is refused with a reason")
def check_report(context, report):
    kinds = (msgspec.DecodeError, ValueError)
    assert str(raised_error(kinds, decode_report, "i-1", report.encode()))


@then("a report with {fields} leaves in {leaves} and is cold for {cold:d} ms")
def check_report_times(context, fields, leaves, cold):
    body = {
        "service": "s",
        "capacity": {"cpu": 1, "memMb": 1},
        "seq": 1,
        "clockMs": 1,
        "born": 1,
        **json.loads(fields),
    }
    report = decode_report("i-1", json.dumps(body).encode())
    assert str(report.leaves_in_ms) == leaves, report
    assert report.cold_for_ms == cold, report


@then("the job {job} is of kind {kind}")
def check_job_kind(context, job, kind):
    assert decode_job("0" * 16, job.encode()).kind.value == kind


@then(
    "a desired state with unknown fields is decoded, an invalid one is refused"
)
def check_desired_state(context):
    configuration = decode_configuration(desired_state(3, novelty={"a": 1}))
    route = configuration.route_of("host.example", "/queue/abc")
    assert (configuration.version, route.max_attempts) == (3, 4)
    assert route.slack_ms == 60
    assert configuration.route_of("host.example", "/other/") is None
    assert configuration.limits.max_body_bytes == 1000
    for data in (b"{}", b"[", b'{"version":"x","routes":[]}'):
        raised_error(ValueError, decode_configuration, data)


@then("{count:d} deployments side by side share no address")
def check_addresses(context, count):
    context.networks = []
    for _ in range(count):
        context.networks.append(LoopbackNetwork())
        context.add_cleanup(context.networks[-1].close)
    hosts = [network.host(1) for network in context.networks]
    assert len(set(hosts)) == count, hosts
    taken = context.networks[0]
    with unittest.mock.patch.object(
        loopback, "random_prefix", side_effect=[taken.prefix, "127.9.9"]
    ):
        other = LoopbackNetwork()
    context.add_cleanup(other.close)
    assert other.prefix == "127.9.9", other.prefix


@then("no outgoing connection can take one of their ports")
def check_ports(context):
    first, last = map(int, loopback.PORT_RANGE_PATH.read_text().split())
    ports = set(context.networks[0].ports.values())
    assert len(ports) == len(loopback.PARTS), ports
    assert not any(first <= port <= last for port in ports), ports


@given("a store, two runners and the processes of the platform's roles")
def start_deployment(context):
    deployment = context.deployment = Deployment(context)
    for name in ("entry-1", "entry-2"):
        wait_until(lambda n=name: deployment.is_ready(n), 20, name)
    # The agents discover the second entry through the first one's report.
    wait_until(
        lambda: all(
            any('"peer": "entry-2"' in line for line in deployment.lines(name))
            for name in ("agent-1", "agent-2")
        ),
        10,
        "agents at the second entry",
    )


@then("a client's job is completed")
def check_job(context):
    for name in ("entry-1", "entry-2"):
        path = f"/queue/{name[-1] * 16}"
        answer = context.deployment.ask(name, "POST", path, job(count=8))
        assert answer == (200, {"state": "completed"}), answer


@then("an unknown route, a malformed job and a kept job are refused")
def check_refused(context):
    ask = context.deployment.ask
    path = "/queue/" + "a" * 16
    assert ask("entry-1", "POST", "/other/" + "a" * 16, job())[0] == 404
    assert ask("entry-1", "POST", path, {"steps": 1})[0] == 400
    assert ask("entry-1", "POST", path, job(count=0))[0] == 400
    assert ask("entry-1", "POST", path, job(bestEffort=False))[0] == 503
    assert ask("entry-1", "GET", path)[0] == 410
    assert ask("entry-1", "GET", "/queue/") == (200, {"waiting": 0})


@then("a new desired state is active within {limit_s:d} seconds")
def check_new_version(context, limit_s):
    deployment = context.deployment
    deployment.store.put("op/config", desired_state(2, "/renamed/"))
    for name in ("entry-1", "entry-2"):
        wait_until(
            lambda n=name: deployment.ask(n, "GET", "/renamed/")[0] == 200,
            limit_s,
            "the new route",
        )
        assert deployment.ask(name, "GET", "/queue/")[0] == 404


@then("a stopped entry answers its accepted jobs before it exits")
def check_stop(context):
    deployment = context.deployment
    answers = []
    path = "/renamed/" + "b" * 16
    submit_thread = threading.Thread(
        target=lambda: answers.append(
            deployment.ask("entry-1", "POST", path, job(count=16))
        )
    )
    submit_thread.start()
    time.sleep(0.05)
    deployment.processes["entry-1"].send_signal(signal.SIGTERM)
    submit_thread.join()
    assert answers == [(200, {"state": "completed"})], answers
    assert deployment.processes["entry-1"].wait(timeout=7) == 0
    assert not deployment.is_ready("entry-1")


def sum_counters(deployment, name, pattern):
    """Return the sum of a process's counters whose lines match a pattern."""
    host, port = deployment.hosts[name], deployment.ports[name]["metrics"]
    connection = http.client.HTTPConnection(host, port, timeout=10)
    connection.request("GET", "/metrics")
    text = connection.getresponse().read().decode()
    connection.close()
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if re.match(pattern, line)
    )


@then("the processes serve their counters")
def check_counts(context):
    deployment = context.deployment
    jobs = [
        sum_counters(
            deployment, name, r"egretcart_jobs\w*{outcome=\"completed\""
        )
        for name in ("entry-1", "entry-2")
    ]
    assert jobs == [1, 1], jobs
    runs = sum(
        sum_counters(deployment, name, r"egretcart_runs\w*{ending=\"done\"")
        for name in ("agent-1", "agent-2")
    )
    assert runs == 16, runs
    started = sum(
        sum_counters(deployment, name, r"egretcart_queue_time\w*_count")
        for name in ("agent-1", "agent-2")
    )
    assert started == 16, started


@then("the processes wrote one JSON line for each decision")
def check_lines(context):
    kinds = set()
    for name in context.deployment.processes:
        for line in context.deployment.lines(name):
            record = json.loads(line)
            assert record["process"] == name
            kinds.add(record["message_type"].removeprefix("egretcart:"))
    assert kinds >= {
        "JobAccepted",
        "JobRefused",
        "JobAnswered",
        "TasksPlaced",
        "RunStarted",
        "RunEnded",
        "PeerChanged",
        "BackendChanged",
        "ConfigurationAccepted",
        "ProcessChanged",
    }, kinds
