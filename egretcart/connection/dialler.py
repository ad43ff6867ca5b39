"""Keeps connections to a set of addresses open."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import trio

REDIAL_S = 0.1
# A host behind a partition does not answer; the system would try for minutes
# and at ever longer intervals.
CONNECT_LIMIT_S = 1.0
# An address that has not answered for so long is dialled no more, unless it
# is a seed or someone names it again.
FORGET_S = 30.0

Endpoint = tuple[str, int]


class Dialler:
    """Dials each known address again whenever its connection ends.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs one task an address.
    seeds : iterable of pairs of str and int
        Hosts and ports that are never given up.
    converse : callable
        Uses a connection until it ends.
    own : pair of str and int, optional
        This process's own address, which is not dialled.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        seeds: Iterable[Endpoint],
        converse: Callable[[trio.SocketStream], Awaitable[None]],
        own: Endpoint | None = None,
    ) -> None:
        self.nursery = nursery
        self.seeds = frozenset(seeds)
        self.converse = converse
        self.own = own
        self.targets: set[Endpoint] = set()
        for host, port in self.seeds:
            self.ensure(host, port)

    def ensure(self, host: str, port: int) -> None:
        """Dial an address unless that is done already."""
        endpoint = (host, port)
        if endpoint in self.targets or endpoint == self.own:
            return
        self.targets.add(endpoint)
        self.nursery.start_soon(self._dial, endpoint)

    async def _dial(self, endpoint: Endpoint) -> None:
        heard_at = trio.current_time()
        while True:
            try:
                with trio.fail_after(CONNECT_LIMIT_S):
                    stream = await trio.open_tcp_stream(*endpoint)
            except (OSError, trio.TooSlowError):
                gone_s = trio.current_time() - heard_at
                if gone_s > FORGET_S and endpoint not in self.seeds:
                    self.targets.discard(endpoint)
                    return
            else:
                await self.converse(stream)
                heard_at = trio.current_time()
            await trio.sleep(REDIAL_S)
