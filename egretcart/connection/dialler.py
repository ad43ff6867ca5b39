"""Client that connects to a set of addresses and reconnects."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
from typing import Protocol

import trio

from egretcart.connection.connecting import open_stream

REDIAL_INTERVAL_S = 0.05
# A host behind a network partition does not answer. Without this limit, the
# operating system would retry for minutes at ever longer intervals.
CONNECT_TIMEOUT_S = 1.0
# A packet that was sent to a machine without power is lost, and the operating
# system repeats it only after a second. Another attempt is therefore made
# this long after the last one, while that one waits for its answer.
ATTEMPT_INTERVAL_S = 0.1
# An address that has been unreachable for longer than this is no longer
# dialled, unless it is a seed or `ensure_dialled` is called for it again.
UNREACHABLE_EXPIRY_S = 30.0

Endpoint = tuple[str, int]
Connect = Callable[[str, int], Awaitable[trio.SocketStream]]


class DialPolicy(Protocol):
    """Decides which addresses are dialled."""

    def is_wanted(self, endpoint: Endpoint) -> bool:
        """Whether an address is to be dialled again."""

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Record that an address could not be reached."""

    def remove(self, endpoint: Endpoint) -> None:
        """Record that an address was unreachable for long."""


class DialAll:
    """Dials every address."""

    def is_wanted(self, endpoint: Endpoint) -> bool:
        """Return True."""
        return True

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Do nothing."""

    def remove(self, endpoint: Endpoint) -> None:
        """Do nothing."""


class Dialler:
    """Dials each known address again whenever its connection ends.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs one task for each address.
    seeds : iterable of pairs of str and int
        Hosts and ports that are dialled from the start, and again without a
        time limit.
    run_connection : callable
        Async function that is given a connected stream and returns once the
        connection has ended.
    own : pair of str and int, optional
        This process's own address, which is not dialled; None if it has
        none.
    policy : DialPolicy, optional
        By default, all addresses are dialled.
    connect : callable, optional
        Async function that returns a stream to a host and port, or raises
        `OSError`. By default, it opens a TCP connection.

    Attributes
    ----------
    dialled_endpoints : set of pairs of str and int
        Hosts and ports that are being dialled or are connected.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        seeds: Iterable[Endpoint],
        run_connection: Callable[[trio.SocketStream], Awaitable[None]],
        own: Endpoint | None = None,
        policy: DialPolicy | None = None,
        connect: Connect = open_stream,
    ) -> None:
        self.nursery = nursery
        self.seeds = frozenset(seeds)
        self.run_connection = run_connection
        self.own = own
        self.policy = policy or DialAll()
        self.connect = connect
        self.dialled_endpoints: set[Endpoint] = set()
        for host, port in self.seeds:
            self.ensure_dialled(host, port)

    def ensure_dialled(self, host: str, port: int) -> None:
        """Start to dial an address, unless it is being dialled already."""
        endpoint = (host, port)
        if endpoint in self.dialled_endpoints or endpoint == self.own:
            return
        self.dialled_endpoints.add(endpoint)
        self.nursery.start_soon(self._dial, endpoint)

    async def _dial(self, endpoint: Endpoint) -> None:
        last_connected_at = trio.current_time()
        while self.policy.is_wanted(endpoint):
            stream = await self._connect(endpoint)
            if stream is None:
                self.policy.mark_unreachable(endpoint)
                unreachable_s = trio.current_time() - last_connected_at
                if (
                    unreachable_s > UNREACHABLE_EXPIRY_S
                    and endpoint not in self.seeds
                ):
                    self.policy.remove(endpoint)
                    break
            else:
                await self.run_connection(stream)
                last_connected_at = trio.current_time()
            await trio.sleep(REDIAL_INTERVAL_S)
        self.dialled_endpoints.discard(endpoint)

    async def _connect(self, endpoint: Endpoint) -> trio.SocketStream | None:
        """Return a stream to an address, or None if it can't be reached.

        Attempts overlap; the first answer, a connection or a refusal, ends
        all of them.
        """
        streams: list[trio.SocketStream] = []
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            async with trio.open_nursery() as attempts:
                while True:
                    attempts.start_soon(
                        self._attempt, endpoint, streams, attempts.cancel_scope
                    )
                    await trio.sleep(ATTEMPT_INTERVAL_S)
        for surplus in streams[1:]:
            await trio.aclose_forcefully(surplus)
        return streams[0] if streams else None

    async def _attempt(
        self,
        endpoint: Endpoint,
        streams: list[trio.SocketStream],
        attempts: trio.CancelScope,
    ) -> None:
        """Connect once; add the stream to `streams` and end all attempts."""
        # A refusal is an answer too: the machine has power.
        with contextlib.suppress(OSError):
            streams.append(await self.connect(*endpoint))
        attempts.cancel()
