import contextlib
import http.client
import signal
import threading

from behave import then
from behave import when
from configuration_world import COMMAND_LIMIT_S
from configuration_world import lose_answers
from configuration_world import proposed
from platform_world import HOST
from platform_world import running
from processes import request
import trio

from egretcart.process.configuration.config_store import apply_change
from egretcart.process.configuration.config_store import PlatformConfigStore
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.version.change import Accepted
from egretcart.version.change import NOTHING_STORED

OPERATOR_COUNT = 40


@when("200 applies run concurrently while every tenth answer is lost")
def apply_concurrently(context):
    async def operator(port, numbers, outcomes):
        platform = EtcdPlatform(host=HOST, port=port)
        store = PlatformConfigStore(platform=platform)
        for number in numbers:
            current = await store.read_current() or NOTHING_STORED
            change = proposed(number, current.document.version)
            outcomes[change.change_id] = await apply_change(
                store, change, time_limit_s=COMMAND_LIMIT_S
            )

    async def run():
        context.outcomes = {}
        async with running() as (standin, platform):
            async with trio.open_nursery() as faults:
                faults.start_soon(lose_answers, standin)
                async with trio.open_nursery() as operators:
                    for first in range(1, OPERATOR_COUNT + 1):
                        operators.start_soon(
                            operator,
                            standin.port,
                            range(first, 201, OPERATOR_COUNT),
                            context.outcomes,
                        )
                faults.cancel_scope.cancel()
            standin.faults.lost_replies = 0
            store = PlatformConfigStore(platform=platform)
            context.current = await store.read_current()
            context.history = await store.read_history(0)
            last = context.history[-1].version
            context.last_document = await store.read_document(last)

    trio.run(run)


@then("the history has just the accepted ones, in consecutive versions")
def check_history(context):
    assert len(context.outcomes) == 200
    accepted = {
        outcome.version: change_id
        for change_id, outcome in context.outcomes.items()
        if isinstance(outcome, Accepted)
    }
    recorded = {e.version: e.change_id for e in context.history}
    assert recorded == accepted
    assert sorted(recorded) == list(range(1, len(recorded) + 1))
    assert all(entry.base == entry.version - 1 for entry in context.history)
    assert context.current.document == context.last_document


class VersionWatcher:
    """Polls entries for the versions of all processes, on a thread.

    It records each version that is older than one seen before.
    """

    def __init__(self, entries):
        self.stopping = threading.Event()
        self.seen = {}
        self.regressions = []
        self.thread = threading.Thread(target=self.run, args=(entries,))
        self.thread.start()

    def run(self, entries):
        while not self.stopping.wait(0.02):
            for entry in entries:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.poll_entry(entry)

    def poll_entry(self, entry):
        port = entry.ready["http_port"]
        report = request(port, "GET", "/v1/processes", limit_s=0.5)[2]
        self.record_version(
            (entry.name, port), report["entry"]["config_version"]
        )
        for agent in report["agents"]:
            if agent["is_led"]:
                key = (entry.name, port, agent["agent_id"], agent["term"])
                self.record_version(key, agent["config_version"])

    def record_version(self, key, version):
        if version < self.seen.get(key, 0):
            self.regressions.append((key, self.seen[key], version))
        self.seen[key] = version

    def stop(self):
        self.stopping.set()
        self.thread.join()


@when("concurrent applies run while one entry freezes and one is replaced")
def apply_with_faults(context):
    deployment = context.deployment
    frozen, replaced, kept = deployment.entries
    watcher = VersionWatcher([frozen, replaced, kept])

    async def operator(store, numbers):
        for number in numbers:
            current = await store.read_current()
            change = proposed(number, current.document.version)
            await apply_change(store, change, time_limit_s=COMMAND_LIMIT_S)
            await trio.sleep(0.05)

    async def run():
        port = deployment.platform.ready["port"]
        async with trio.open_nursery() as nursery:
            for first in range(4):
                platform = EtcdPlatform(host=HOST, port=port)
                store = PlatformConfigStore(platform=platform)
                numbers = range(1 + first, 101, 4)
                nursery.start_soon(operator, store, numbers)
            await trio.sleep(0.3)
            frozen.signal(signal.SIGSTOP)
            replaced.kill()
            await trio.sleep(1.5)
            frozen.signal(signal.SIGCONT)
        context.last = (await store.read_current()).document.version

    try:
        trio.run(run)
        deployment.entries = [frozen, kept]
        deployment.entries.append(deployment.start_entry(replaced.name))
        deployment.wait_for_version(context.last)
    finally:
        watcher.stop()
    context.watcher = watcher


@then("no process was ever seen with an older version than before")
def check_no_regression(context):
    watcher = context.watcher
    assert not watcher.regressions, watcher.regressions
    assert len(watcher.seen) >= 6, watcher.seen


@then("every live process has the last accepted version")
def check_last(context):
    found = context.deployment.versions()
    assert set(found.values()) == {context.last}, (found, context.last)
    assert context.last > 10, context.last
