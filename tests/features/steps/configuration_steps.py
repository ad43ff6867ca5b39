from concurrent.futures import ThreadPoolExecutor
import contextlib
import http.client
import json
import random
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
from configuration_world import COMMAND_LIMIT_S
from configuration_world import ConfiguredDeployment
from configuration_world import lose_answers
from configuration_world import proposed
from platform_world import HOST
from platform_world import running
from processes import eventually
from processes import request
import trio

from egretcart.connection.messages import EntryAddress
from egretcart.process.config_store import apply_change
from egretcart.process.config_store import PlatformConfigStore
from egretcart.process.etcd_platform import EtcdPlatform
from egretcart.process.registration import list_entries
from egretcart.process.registration import Registrar
from egretcart.request.identity import new_job_id
from egretcart.version.change import Accepted
from egretcart.version.change import NOTHING_STORED

RACERS = 40


@when("200 applies race while every tenth answer is lost")
def race(context):
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
                    for first in range(1, RACERS + 1):
                        operators.start_soon(
                            operator,
                            standin.port,
                            range(first, 201, RACERS),
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


@then("the history is one line without a gap of just the accepted ones")
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


@given("a configured deployment of {entries:d} entries and {agents:d} agents")
def configured_deployment(context, entries, agents):
    context.deployment = ConfiguredDeployment(entries, agents)
    context.add_cleanup(context.deployment.close)


def answer_through_every_entry(deployment, tasks=24):
    payloads = [{"payload": {"run_ms": 20, "echo": n}} for n in range(tasks)]
    with ThreadPoolExecutor() as pool:
        answers = list(
            pool.map(
                lambda entry: deployment.submit(entry, payloads),
                deployment.entries,
            )
        )
    for status, answer in answers:
        assert status == 200, answer


def starts_at(deployment, agent_id):
    names = [agent.name for agent in deployment.agents]
    backend = deployment.backends[names.index(agent_id)]
    report = request(backend.ready["port"], "GET", "/starts")[2]
    return len(report["starts"])


@when("an agent is drained by the command")
def drain(context):
    deployment = context.deployment
    status, output = deployment.command("drain", "agent-1", "--yes")
    assert status == 0, output
    assert "accepted: version 2" in output, output


@then("every process names the same version")
def check_versions(context):
    context.deployment.wait_for_version(2)
    status, output = context.deployment.command("status")
    assert status == 0, output
    assert output.count("version 2") >= 5, output


@then("jobs start nothing at the drained agent")
def check_drained(context):
    deployment = context.deployment
    before = starts_at(deployment, "agent-1")
    answer_through_every_entry(deployment)
    assert starts_at(deployment, "agent-1") == before


@then("jobs start tasks there again once the drain is undone")
def check_undrained(context):
    deployment = context.deployment
    entry = deployment.entries[0]
    command = ("drain", "agent-1", "--undo", "--yes")
    status, output = deployment.command(*command, entry=entry)
    assert status == 0, output
    deployment.wait_for_version(3)
    before = starts_at(deployment, "agent-1")
    answer_through_every_entry(deployment)
    assert starts_at(deployment, "agent-1") > before


@when("the platform is killed and another entry is started")
def kill_platform(context):
    deployment = context.deployment
    status, output = deployment.apply_file(max_tasks_per_job=99)
    assert status == 0, output
    deployment.wait_for_version(2)
    deployment.platform.kill()
    # One seed must do: the others are learned from it.
    seeds = deployment.peer_seeds()[:1]
    deployment.peer_seeds = lambda: seeds
    deployment.entries.append(deployment.start_entry("entry-late"))


@then("the new entry serves the version in force without the platform")
def check_late_entry(context):
    deployment = context.deployment
    deployment.wait_for_version(2)
    late = deployment.entries[-1]
    eventually(lambda: len(deployment.status(late)["peers"]) == 2)
    eventually(lambda: len(deployment.status(late)["agents"]) == 3)
    answer_through_every_entry(deployment)


@then("an apply ends as not accepted with nothing written")
def check_apply_without_platform(context):
    deployment = context.deployment
    late = deployment.entries[-1]
    status, output = deployment.apply_file(max_tasks_per_job=98, entry=late)
    assert status == 1, output
    assert "not accepted, nothing was written" in output, output


@then("after the platform's return the next version is in force everywhere")
def check_return(context):
    deployment = context.deployment
    deployment.restart_platform()
    status, output = deployment.apply_file(max_tasks_per_job=97)
    assert status == 0, output
    deployment.wait_for_version(3)


@when("the platform is frozen during an apply")
def freeze_platform(context):
    deployment = context.deployment
    context.change_id = str(new_job_id())
    context.path = deployment.write_file(max_tasks_per_job=96)
    deployment.platform.signal(signal.SIGSTOP)
    options = ("--reason", "test", "--yes", "--change", context.change_id)
    status, output = deployment.command("apply", context.path, *options)
    assert status == 3, output
    assert f"--base 1 --change {context.change_id}" in output, output


@then("jobs are answered through every entry")
def check_jobs(context):
    answer_through_every_entry(context.deployment)


@then("the change is settled by its id once the platform thaws")
def settle(context):
    deployment = context.deployment
    deployment.platform.signal(signal.SIGCONT)
    options = ("--reason", "test", "--yes", "--change", context.change_id)
    status, output = deployment.command("apply", context.path, *options)
    assert status == 0, output
    assert "accepted: version 2" in output, output
    deployment.wait_for_version(2)


@then("a slow platform still accepts a change")
def check_slow(context):
    deployment = context.deployment
    faults = json.dumps({"delay_ms": 400})
    port = deployment.platform.ready["port"]
    request(port, "POST", "/control/faults", faults)
    status, output = deployment.apply_file(max_tasks_per_job=95)
    assert status == 0, output
    deployment.wait_for_version(3)


class VersionWatcher:
    """Asks entries for all versions, again and again, on a thread."""

    def __init__(self, entries):
        self.stopping = threading.Event()
        self.seen = {}
        self.steps_back = []
        self.thread = threading.Thread(target=self.run, args=(entries,))
        self.thread.start()

    def run(self, entries):
        while not self.stopping.wait(0.02):
            for entry in entries:
                with contextlib.suppress(OSError, http.client.HTTPException):
                    self.ask(entry)

    def ask(self, entry):
        port = entry.ready["http_port"]
        report = request(port, "GET", "/v1/processes", limit_s=0.5)[2]
        self.note((entry.name, port), report["entry"]["config_version"])
        for agent in report["agents"]:
            if agent["is_led"]:
                key = (entry.name, port, agent["agent_id"], agent["term"])
                self.note(key, agent["config_version"])

    def note(self, key, version):
        if version < self.seen.get(key, 0):
            self.steps_back.append((key, self.seen[key], version))
        self.seen[key] = version

    def stop(self):
        self.stopping.set()
        self.thread.join()


@when("applies race while an entry is frozen and another is replaced")
def race_with_faults(context):
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
def check_no_step_back(context):
    watcher = context.watcher
    assert not watcher.steps_back, watcher.steps_back
    assert len(watcher.seen) >= 6, watcher.seen


@then("every live process has the last accepted version")
def check_last(context):
    found = context.deployment.versions()
    assert set(found.values()) == {context.last}, (found, context.last)
    assert context.last > 10, context.last


@when("an entry and an agent are started without seeds")
def start_without_seeds(context):
    deployment = context.deployment
    deployment.peer_seeds = list
    deployment.entries.append(deployment.start_entry("entry-new"))
    original = deployment.start

    def start(name, role, settings):
        if role == ["agent"]:
            address = {"host": HOST, "port": deployment.platform.ready["port"]}
            settings = {**settings, "platform": address}
        return original(name, role, settings)

    deployment.start = start
    backend = deployment.start_backend("agent-new")
    deployment.agents.append(deployment.start_agent("agent-new", backend))


@then("every entry knows the newcomers")
def check_newcomers(context):
    deployment = context.deployment

    def known():
        found = [deployment.status(entry) for entry in deployment.entries]
        return all(
            len(status["peers"]) == 2 and "agent-new" in status["agents"]
            for status in found
        )

    eventually(known)


@when("a registered entry sleeps until its lease has lapsed")
def sleep_past_lease(context):
    async def run():
        address = EntryAddress(entry_id="entry-a", host=HOST, port=1)
        async with running() as (standin, platform):
            registrar = Registrar(
                platform=platform, address=address, source=random.Random(1)
            )
            await registrar.renew()
            context.before = await list_entries(platform)
            standin.store.lapse(time.monotonic() + 10**6)
            context.asleep = await list_entries(platform)
            await registrar.renew()
            context.awake = await list_entries(platform)
            await registrar.renew()
            await registrar.leave()
            await registrar.renew()
            context.left = await list_entries(platform)
            context.address = address

    trio.run(run)


@then("the entry is found again after it wakes")
def check_woken(context):
    assert context.before == (context.address,)
    assert context.asleep == ()
    assert context.awake == (context.address,)
    assert context.left == ()
