"""Reads standing orders and the list of entries from the store."""

from collections.abc import Callable
import random

import trio

from egretcart.direct.connection.messages import PeerAddress
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import DependencyChanged
from egretcart.direct.version.configuration import RoutingConfiguration
from egretcart.direct.version.drained_domains import drained_at
from egretcart.direct.version.drained_domains import DrainedDomains
from egretcart.process.store.platform import Change
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.registration import list_entries

# A configuration must be active two seconds after it was accepted, even if
# a watch has just been interrupted.
INITIAL_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.0
# While no configuration is known, all requests are refused.
UNCONFIGURED_RETRY_DELAY_S = 0.1
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
                addresses = await list_entries(
                    self.platform, on_unreadable=self._log_unreadable
                )
                for address in addresses:
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

    def _log_unreadable(self, key: str, error: ValueError) -> None:
        self.state.log.write(
            DependencyChanged(
                name=STORE,
                state="unreadable entry address",
                cause=f"{key}: {error}",
            )
        )

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

    Attributes
    ----------
    is_configured : bool
        Whether a configuration was passed on.
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
        self.is_configured = False

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
            if not self.is_configured:
                retry_delay_s = UNCONFIGURED_RETRY_DELAY_S
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
        self.is_configured = True
        self.on_configuration(configuration)


class StandingOrderFollower(ConfigurationFollower):
    """Watches all keys that operators write: configuration and drains.

    One listing and one watch from its revision on cover both. A watch that
    is refused, as its position is forgotten, is followed by a listing, like
    any other failure.

    Parameters
    ----------
    platform : Platform
    prefix : str
        Common prefix of the keys that operators write.
    key : str
        Key of the store under which the configuration is stored.
    decode : callable
        See `ConfigurationFollower`.
    drained_domain : callable
        Returns the failure domain that is drained while a key exists, or
        None if the key is of another kind. Raises `ValueError` if the key
        names no failure domain.
    on_configuration : callable
        Called with each configuration.
    on_drained : callable
        Called with each state of the drained failure domains, and before
        the configuration of the same listing.
    log : DecisionLog
    source : random.Random
        Source of jitter, so that entries do not call at the same time.

    Attributes
    ----------
    drained : DrainedDomains
        State at the last listing or change.
    drains_changed : trio.Event
        Set when `drained` has changed since it was last passed on.
    ignored_keys : set of str
        Keys that name no failure domain and were reported in the log.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        prefix: str,
        key: str,
        decode: Callable[[bytes], RoutingConfiguration],
        drained_domain: Callable[[str], str | None],
        on_configuration: Callable[[RoutingConfiguration], None],
        on_drained: Callable[[DrainedDomains], None],
        log: DecisionLog,
        source: random.Random,
    ) -> None:
        super().__init__(
            platform=platform,
            key=key,
            decode=decode,
            on_configuration=on_configuration,
            log=log,
            source=source,
        )
        self.prefix = prefix
        self.drained_domain = drained_domain
        self.on_drained = on_drained
        self.drained = DrainedDomains()
        self.drains_changed = trio.Event()
        self.ignored_keys: set[str] = set()

    async def run(self) -> None:
        """Read and watch until cancelled; retry with backoff after errors."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pass_on_changes)
            await super().run()

    async def _pass_on_changes(self) -> None:
        """Pass on drains once all changes of an answer were applied.

        Several failure domains may be drained by one write, and the state
        of a revision is passed on only once.
        """
        while True:
            await self.drains_changed.wait()
            self.drains_changed = trio.Event()
            self.on_drained(self.drained)

    async def _read_and_watch(self) -> None:
        keys = prefix_range(self.prefix)
        listing = await self.platform.list_range(keys)
        self.state.mark_available()
        domains = map(self._domain_of, listing.values)
        self.drained = drained_at(listing.revision, filter(None, domains))
        self.on_drained(self.drained)
        if self.key in listing.values:
            self._apply(listing.values[self.key].data)
        await self.platform.watch(
            keys, listing.revision + 1, self._apply_change
        )

    def _apply_change(self, change: Change) -> None:
        super()._apply_change(change)
        domain = self._domain_of(change.key)
        if domain:
            self.drained = self.drained.with_change(
                domain, change.revision, drained=change.value is not None
            )
            self.drains_changed.set()

    def _domain_of(self, key: str) -> str | None:
        """Return the failure domain that a key drains, or None."""
        try:
            return self.drained_domain(key)
        except ValueError as error:
            if key not in self.ignored_keys:
                self.ignored_keys.add(key)
                self.log.write(
                    DependencyChanged(
                        name=STORE, state="ignored drain", cause=str(error)
                    )
                )
            return None
