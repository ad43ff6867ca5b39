"""A platform stand-in and its client on one event loop."""

import contextlib

import msgspec
import trio

from egretcart.connection.http_client import HttpClient
from egretcart.process.store.etcd_platform import EtcdPlatform
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.testing.platform import PlatformStandIn

HOST = "127.0.0.1"
LIMIT_S = 30


@contextlib.asynccontextmanager
async def running(path=None, *, observer=None, **limits):
    """Run a stand-in; yield it and its client."""
    standin = PlatformStandIn(path=path)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.run)
        with trio.fail_after(LIMIT_S):
            yield (
                standin,
                EtcdPlatform(
                    host=HOST,
                    port=port,
                    limits=PlatformLimits(**limits),
                    observer=observer,
                ),
            )
        nursery.cancel_scope.cancel()


async def switch_faults(standin, **faults):
    """Set the stand-in's faults; those that are not given are switched off."""
    client = HttpClient(host=HOST, port=standin.port, max_connections=1)
    body = msgspec.json.encode(faults)
    response = await client.exchange(
        "POST", "/control/faults", body=body, time_limit_s=LIMIT_S
    )
    assert response.status == 200, response.body
    await client.aclose()
