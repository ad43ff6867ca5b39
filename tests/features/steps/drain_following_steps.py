import collections
import http.client
import itertools
import json
import math
import random
import sys
import time

from behave import given
from behave import then
from behave import when
from platform_deployment import Deployment
from platform_deployment import job
from platform_deployment import ROOT
from platform_deployment import wait_until
from platform_standins import StandIns
from platform_standins import StoreStandIn
import trio
from trio.testing import MockClock

from egretcart.direct.log.decisions import DependencyChanged
from egretcart.direct.process.store_follower import ConfigurationFollower
from egretcart.direct.process.store_follower import StandingOrderFollower
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.process.store.platform import Change
from egretcart.process.store.platform import Listing
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import StoredValue

sys.path.insert(0, str(ROOT / "platform"))

from adapter.drains import drained_domain
from adapter.drains import OPERATOR_PREFIX
from adapter.store import MetadataStore

CONFIG_KEY = "op/config"
ENTRIES = ("entry-1", "entry-2")
CALL_TIMEOUT_S = 1.0
SLOW_ANSWER_S = 0.8
WATCH_WAIT_S = 1.5
POLL_S = 0.01


class FaultyStore:
    """A `Platform` in memory whose calls fail as `fault` says."""

    def __init__(self):
        self.values = {}
        self.changes = []
        self.revision = 10
        self.forgotten = 0
        self.fault = ""
        self.calls = []
        self.called_at = []

    def write(self, *keys, removed=False):
        """Write or remove keys in one transaction."""
        self.revision += 1
        for key in keys:
            value = None if removed else StoredValue(b"1", self.revision)
            self.values.pop(key, None)
            if value is not None:
                self.values[key] = value
            self.changes.append(Change(key, value, self.revision))

    async def _call(self, name):
        self.calls.append(name)
        self.called_at.append(trio.current_time())
        await trio.sleep(0.004)
        if self.fault == "down":
            raise PlatformError("status 503")
        if self.fault == "silent":
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformError("no answer")
        if self.fault == "slow":
            await trio.sleep(SLOW_ANSWER_S)

    async def get(self, key):
        await self._call(f"get {key}")
        return self.values.get(key)

    async def list_range(self, keys):
        await self._call(f"list {keys.start}")
        found = {
            key: value
            for key, value in self.values.items()
            if key.startswith(keys.start)
        }
        return Listing(found, self.revision)

    async def watch(self, keys, revision, handle):
        self.calls.append(f"watch {keys.start}")
        while True:
            for change in await self._next_changes(keys, revision):
                revision = change.revision + 1
                handle(change)

    async def _next_changes(self, keys, revision):
        with trio.move_on_after(WATCH_WAIT_S):
            while True:
                await trio.sleep(POLL_S)
                if self.fault == "down":
                    raise PlatformError("status 503")
                if self.fault == "silent":
                    await trio.sleep(WATCH_WAIT_S + CALL_TIMEOUT_S)
                    raise PlatformError("no answer")
                if revision <= self.forgotten:
                    raise PlatformError("status 410")
                if self.fault == "slow":
                    await trio.sleep(SLOW_ANSWER_S)
                if self.fault == "forgotten":
                    continue
                found = [
                    change
                    for change in self.changes
                    if change.revision >= revision
                    and change.key.startswith(keys.start)
                ]
                if found:
                    return found
        return []


class Recorder:
    """Records what an entry learns, as a log and as callbacks."""

    def __init__(self):
        self.learnt = []
        self.lines = []

    def configure(self, configuration):
        self.learnt.append((trio.current_time(), configuration.version))

    def learn(self, drained):
        names = "".join(domain[-1] + " " for domain in drained.domains)
        self.learnt.append((trio.current_time(), names.strip()))

    def write(self, decision):
        self.lines.append(decision)

    @property
    def drains(self):
        return [what for _, what in self.learnt if isinstance(what, str)]


@given("a store with a configuration and an entry that follows its operators")
def start(context):
    context.store = FaultyStore()
    context.store.write(CONFIG_KEY)
    context.recorder = recorder = Recorder()
    context.follower = StandingOrderFollower(
        platform=context.store,
        prefix=OPERATOR_PREFIX,
        key=CONFIG_KEY,
        decode=lambda data: RoutingConfiguration(version=7),
        drained_domain=drained_domain,
        on_configuration=recorder.configure,
        on_drained=recorder.learn,
        log=recorder,
        source=random.Random(1),
    )


@given("an entry that follows only the configuration")
def start_without_drains(context):
    context.follower = ConfigurationFollower(
        platform=context.store,
        key=CONFIG_KEY,
        decode=lambda data: RoutingConfiguration(version=7),
        on_configuration=context.recorder.configure,
        log=context.recorder,
        source=random.Random(1),
    )


@given('"zone-a" is drained')
def drain_before(context):
    context.store.write("op/evacuate/zone-a")


def play(context, script):
    """Run the follower while a script changes the store."""

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(context.follower.run)
            await trio.sleep(1.0)
            await script()
            await trio.sleep(6.0)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def keys_of(names):
    return [f"op/evacuate/{name}" for name in names.split(", ")]


@when('"{names}" is drained, and a configuration is written')
def drain_and_configure(context, names):
    async def script():
        context.store.write(*keys_of(names))
        await trio.sleep(0.5)
        context.store.write(CONFIG_KEY)

    play(context, script)


@when('"{names}" are drained by one write')
def drain_at_once(context, names):
    async def script():
        context.store.write(*keys_of(names))

    play(context, script)


@when('"{names}" are drained and taken back in this order')
def drain_in_turn(context, names):
    async def script():
        for removed in (False, True):
            for key in keys_of(names):
                context.store.write(key, removed=removed)
                await trio.sleep(0.2)

    play(context, script)


@when('"{name}" is drained for {seconds:g} seconds')
def drain_shortly(context, name, seconds):
    async def script():
        context.store.write(*keys_of(name))
        await trio.sleep(seconds)
        context.store.write(*keys_of(name), removed=True)

    play(context, script)


@when(
    'the store is {fault} for {seconds:g} seconds, and "{name}" is {what} '
    "meanwhile"
)
def hide_change(context, fault, seconds, name, what):
    async def script():
        store = context.store
        store.fault = fault
        await trio.sleep(seconds / 2)
        store.write(*keys_of(name), removed=what == "taken back")
        await trio.sleep(seconds / 2)
        store.fault = ""
        if fault == "forgotten":
            store.forgotten = store.revision
        context.ended_at = trio.current_time()

    play(context, script)


@when("the store is down for {seconds:g} seconds from its start")
def start_without_store(context, seconds):
    async def script():
        # The follower has run for a second before.
        await trio.sleep(seconds - 1)
        context.store.fault = ""
        context.ended_at = trio.current_time()

    context.store.fault = "down"
    play(context, script)


@then("the entry has learnt its configuration within {limit_s:g} s of the end")
def check_first_configuration(context, limit_s):
    [(learnt_at, _)] = context.recorder.learnt
    assert context.ended_at <= learnt_at <= context.ended_at + limit_s


def calls_per_second(context):
    """Return the calls in each second before the fault's end, last first."""
    counts = collections.Counter(
        math.floor(context.ended_at - at)
        for at in context.store.called_at
        if at < context.ended_at
    )
    return [counts[second] for second in range(5)]


@then("it has made at most {count:d} calls in each of these seconds")
def check_calls(context, count):
    assert 0 < max(calls_per_second(context)) <= count


@then(
    "it has made at most {count:d} calls in each of the last 3 of these "
    "seconds"
)
def check_calls_backoff(context, count):
    assert max(calls_per_second(context)[:3]) <= count


@when('the key "{key}" is written three times and listed again')
def write_key(context, key):
    async def script():
        for _ in range(3):
            context.store.write(key.replace("\\x07", "\x07"))
            await trio.sleep(0.2)
        context.store.forgotten = context.store.revision + 1
        await trio.sleep(1.0)
        context.store.forgotten = 0

    play(context, script)


@then('the entry has made the calls "{calls}"')
def check_calls(context, calls):
    assert ", ".join(context.store.calls) == calls, context.store.calls


@then('it has learnt "" and then "{states}"')
def check_states(context, states):
    expected = [state.replace("-", "") for state in states.split(", ")]
    assert context.recorder.drains == ["", *expected], context.recorder.drains


@then("it has learnt the drains of a listing before its configuration")
def check_order(context):
    assert [what for _, what in context.recorder.learnt][:2] == ["", 7]


@then("it has learnt nothing of drains")
def check_no_drains(context):
    assert [what for _, what in context.recorder.learnt] == [7, 7]


@then('the last that it has learnt is ""')
def check_last(context):
    assert context.recorder.drains[-1] == "", context.recorder.drains


@then(
    'it has learnt "{state}" within {limit_s:g} seconds of the end of the '
    "fault"
)
def check_learnt(context, state, limit_s):
    at = [at for at, what in context.recorder.learnt if what == state]
    assert at, context.recorder.learnt
    assert at[0] - context.ended_at <= limit_s, (at, context.ended_at)
    assert context.recorder.drains[-1] == state


def ignored(context):
    return [
        line
        for line in context.recorder.lines
        if isinstance(line, DependencyChanged)
        and line.state == "ignored drain"
    ]


@then("one line reports an ignored drain")
def check_one_line(context):
    assert len(ignored(context)) == 1, ignored(context)


@then("no line reports an ignored drain")
def check_no_line(context):
    assert not ignored(context)


@then(
    "a watch of the store stand-in reports the revisions of a write and a "
    "removal"
)
def check_change_revisions(context):
    stand_ins = StandIns()
    context.add_cleanup(stand_ins.close)
    store = context.stand_in = StoreStandIn()
    context.stand_ins = stand_ins
    port = stand_ins.serve(store.handle)
    context.client = MetadataStore(host="127.0.0.1", port=port)
    found = []
    begun = store.revision

    async def watch():
        with trio.move_on_after(0.5):
            await context.client.watch(
                prefix_range("op/"), begun + 1, found.append
            )

    stand_ins.start_soon(watch)
    time.sleep(0.1)
    store.put("op/evacuate/zone-a", b"{}")
    store.delete("op/evacuate/zone-a")
    time.sleep(0.3)
    seen = [(change.revision, change.value is None) for change in found]
    assert seen == [(begun + 1, False), (begun + 2, True)], seen


@then("a listing of many pages names the revision at which its reading began")
def check_listing_revision(context):
    store = context.stand_in
    store.page_size = 1
    for number in range(3):
        store.put(f"op/{number}", b"x")
    begun = store.revision
    answer_range = store._range

    def write_between_pages(query):
        answer = answer_range(query)
        store.put("op/0", b"newer")
        return answer

    store._range = write_between_pages
    listing = context.stand_ins.call(
        context.client.list_range, prefix_range("op/")
    )
    assert (len(listing.values), listing.revision) == (3, begun), listing


class DrainedDeployment(Deployment):
    """Two failure domains of an entry and an agent, which follow drains."""

    job_numbers = itertools.count(1)

    def _settings(self, name):
        return {
            **super()._settings(name),
            "failure_domain": f"zone-{name[-1]}",
            "max_drain_delay_ms": 5000,
        }

    def submit(self, name):
        """Submit a job; return its status, and the header for retries."""
        connection = http.client.HTTPConnection(
            self.hosts[name], self.ports[name]["front"], timeout=10
        )
        connection.request(
            "POST",
            f"/queue/{next(self.job_numbers):016x}",
            body=json.dumps(job(count=8)),
            headers={"Host": "host.example"},
        )
        response = connection.getresponse()
        self.last_answer = response.read()
        connection.close()
        return response.status, response.headers.get("Retry-After")

    def started(self):
        return {
            name: len(runner.backend.started)
            for name, runner in self.runners.items()
        }

    def drained(self, name):
        status, body = self.ask(name, "GET", "/ready", part="ready")
        assert status == 200, status
        return body["drained"]


@given("a store, two runners and processes that follow drains")
def start_processes(context):
    deployment = context.deployment = DrainedDeployment(context)
    for name in ENTRIES:
        wait_until(lambda n=name: deployment.is_ready(n), 20, name)
        wait_until(
            lambda n=name: all(
                any(f'"peer": "{n}"' in line for line in deployment.lines(a))
                for a in ("agent-1", "agent-2")
            ),
            10,
            f"agents at {name}",
        )
    for name in ("agent-1", "agent-2"):
        wait_until(
            lambda n=name: any(
                '"state": "answering"' in line for line in deployment.lines(n)
            ),
            20,
            f"the runner of {name}",
        )


@when('"{domain}" is drained in the store')
def drain_in_store(context, domain):
    deployment = context.deployment
    deployment.store.put(f"op/evacuate/{domain}", b"{}")
    for name in ENTRIES:
        wait_until(
            lambda n=name: domain in deployment.drained(n), 2, "the drain"
        )


@then('tasks of a job at each entry begin only at "{agents}"')
def check_begin(context, agents):
    deployment = context.deployment
    before = deployment.started()
    for name in ENTRIES:
        status, _ = deployment.submit(name)
        assert status == 200, (name, status, deployment.last_answer)
    begun = {
        name
        for name, count in deployment.started().items()
        if count > before[name]
    }
    assert begun == set(agents.split(", ")), begun


@then("a job at each entry is refused with a time after which to retry")
def check_processes_refuse(context):
    for name in ENTRIES:
        status, retry_after = context.deployment.submit(name)
        assert status == 503, (name, status)
        assert int(retry_after) >= 1, retry_after


@then('both entries are ready and list "{domains}" as drained')
def check_listed(context, domains):
    for name in ENTRIES:
        drained = context.deployment.drained(name)
        known = {
            process: [
                line
                for line in context.deployment.lines(process)
                if "DomainsDrained" in line
            ]
            for process in context.deployment.processes
        }
        assert drained == domains.split(", "), (name, drained, known)


@when('the store is busy and "{name}" is killed and started again')
def restart_without_store(context, name):
    deployment = context.deployment
    deployment.store.mode = "busy"
    deployment.processes[name].kill()
    deployment.processes[name].wait()
    deployment._start_entry(name)
    wait_until(lambda: deployment.is_ready(name), 20, name)


@when("the store is back and both failure domains are taken back")
def take_back(context):
    deployment = context.deployment
    deployment.store.mode = "sound"
    for domain in ("zone-1", "zone-2"):
        deployment.store.delete(f"op/evacuate/{domain}")
    for name in ENTRIES:
        wait_until(
            lambda n=name: not deployment.drained(n), 4, "the end of drains"
        )
    time.sleep(0.3)
