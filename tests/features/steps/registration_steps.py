import random
import time

from behave import then
from behave import when
from platform_world import HOST
from platform_world import running
from processes import eventually
import trio

from egretcart.connection.entry_address import EntryAddress
from egretcart.process.store.registration import list_entries
from egretcart.process.store.registration import Registrar


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


@then("every entry knows the new processes")
def check_new_processes(context):
    deployment = context.deployment

    def known():
        found = [deployment.status(entry) for entry in deployment.entries]
        return all(
            len(status["peers"]) == 2 and "agent-new" in status["agents"]
            for status in found
        )

    eventually(known)


@when("a registered entry is paused until its lease has expired")
def pause_past_lease(context):
    async def run():
        address = EntryAddress(entry_id="entry-a", host=HOST, port=1)
        async with running() as (standin, platform):
            registrar = Registrar(
                platform=platform, address=address, source=random.Random(1)
            )
            await registrar.renew()
            context.before = await list_entries(platform)
            standin.store.expire_leases(time.monotonic() + 10**6)
            context.listed_while_paused = await list_entries(platform)
            await registrar.renew()
            context.listed_after_resume = await list_entries(platform)
            await registrar.renew()
            await registrar.leave()
            await registrar.renew()
            context.left = await list_entries(platform)
            context.address = address

    trio.run(run)


@then("the entry is listed again after it resumes")
def check_resumed(context):
    assert context.before == (context.address,)
    assert context.listed_while_paused == ()
    assert context.listed_after_resume == (context.address,)
    assert context.left == ()
