"""Reads the configuration and the list of entries from the store."""

from collections.abc import Callable
import random

import trio

from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.process.store.platform import Change
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.registration import list_entries

# A configuration must be active two seconds after it was accepted, even if
# a watch has just been interrupted.
INITIAL_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.0
LIST_ENTRIES_INTERVAL_S = 5.0
# A process that is connected to an entry learns from it of all others, so it
# lists them only in case that one does not know them either.
CONNECTED_LIST_INTERVAL_S = 30.0
STORE = "store"


class StoreAvailability:
    """Logs once when the store is lost, and once when it is back.

    Parameters
    ----------
    log : DecisionLog
    """

    def __init__(self, *, log: DecisionLog) -> None:
        self.log = log
        self.lost = False

    def mark_lost(self, error: PlatformError) -> None:
        """Record a failed call."""
        if not self.lost:
            self.lost = True
            self.log.write(
                DependencyChanged(name=STORE, state="lost", cause=str(error))
            )

    def mark_available(self) -> None:
        """Record a call that was answered."""
        if self.lost:
            self.lost = False
            self.log.write(DependencyChanged(name=STORE, state="back"))


class EntryFinder:
    """Lists the registered entries periodically and passes them on.

    Parameters
    ----------
    platform : Platform
    on_entry : callable
        Called with the address of each registered entry.
    is_connected : callable
        Returns whether the process is connected to another entry.
    log : DecisionLog
    source : random.Random
        Source of jitter, so that processes do not call at the same time.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        on_entry: Callable[[PeerAddress], None],
        is_connected: Callable[[], bool],
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        self.platform = platform
        self.on_entry = on_entry
        self.is_connected = is_connected
        self.state = StoreAvailability(log=log)
        self.source = source

    async def run(self) -> None:
        """List entries periodically until cancelled."""
        while True:
            listed_at = trio.current_time()
            try:
                for address in await list_entries(self.platform):
                    self.on_entry(
                        PeerAddress(
                            host=address.host,
                            port=address.port,
                            failure_domain=address.failure_domain,
                        )
                    )
                self.state.mark_available()
            except PlatformError as error:
                self.state.mark_lost(error)
            await self._sleep_interval()
            while (
                self.is_connected()
                and trio.current_time() - listed_at < CONNECTED_LIST_INTERVAL_S
            ):
                await self._sleep_interval()

    async def _sleep_interval(self) -> None:
        await trio.sleep(
            LIST_ENTRIES_INTERVAL_S * self.source.uniform(0.8, 1.2)
        )


class ConfigurationFollower:
    """Watches the store and passes on each accepted configuration.

    Parameters
    ----------
    platform : Platform
    key : str
        Key of the store under which the configuration is stored.
    decode : callable
        Returns the configuration decoded from a stored value, or raises
        `ValueError`.
    on_configuration : callable
        Called with each configuration.
    log : DecisionLog
    source : random.Random
        Source of jitter, so that entries do not call at the same time.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        key: str,
        decode: Callable[[bytes], RoutingConfiguration],
        on_configuration: Callable[[RoutingConfiguration], None],
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        self.platform = platform
        self.key = key
        self.decode = decode
        self.on_configuration = on_configuration
        self.log = log
        self.state = StoreAvailability(log=log)
        self.source = source

    async def run(self) -> None:
        """Read and watch until cancelled; retry with backoff after errors."""
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            started_at = trio.current_time()
            try:
                await self._read_and_watch()
            except PlatformError as error:
                self.state.mark_lost(error)
            if trio.current_time() - started_at > MAX_RETRY_DELAY_S:
                retry_delay_s = INITIAL_RETRY_DELAY_S
            await trio.sleep(retry_delay_s * self.source.uniform(0.5, 1.0))
            retry_delay_s = min(MAX_RETRY_DELAY_S, retry_delay_s * 1.5)

    async def _read_and_watch(self) -> None:
        revision = 0
        value = await self.platform.get(self.key)
        if value is not None:
            revision = value.revision
            self._apply(value.data)
        self.state.mark_available()
        await self.platform.watch(
            prefix_range(self.key), revision + 1, self._apply_change
        )

    def _apply_change(self, change: Change) -> None:
        if change.key == self.key and change.value is not None:
            self._apply(change.value.data)

    def _apply(self, data: bytes) -> None:
        try:
            configuration = self.decode(data)
        except ValueError as error:
            self.log.write(
                DependencyChanged(
                    name=STORE,
                    state="unreadable configuration",
                    cause=str(error),
                )
            )
            return
        self.on_configuration(configuration)
