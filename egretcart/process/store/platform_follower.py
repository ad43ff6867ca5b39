"""Watches the configuration, entries and rosters in the platform's store.

One range call and one open watch cover the configuration and the entries;
a second pair covers the rosters. Both pairs are renewed regularly, so that
a watch whose loss went undetected is replaced.
"""

from collections.abc import Callable
import random

import eliot
import trio

from egretcart.connection.cell_types import Roster
from egretcart.connection.entry_address import EntryAddress
from egretcart.process.cell.rosters import cell_of_key
from egretcart.process.cell.rosters import decode_roster
from egretcart.process.cell.rosters import ROSTERS_PREFIX
from egretcart.process.configuration.config_store import CONFIG_KEY
from egretcart.process.configuration.config_store import decode_configuration
from egretcart.process.entry.directory import Cell
from egretcart.process.store.platform import Change
from egretcart.process.store.platform import KeyRange
from egretcart.process.store.platform import Listing
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.registration import decode_address
from egretcart.process.store.registration import ENTRIES_PREFIX
from egretcart.version.document import Configuration

WATCH_RENEWAL_INTERVAL_S = 60.0
RETRY_DELAY_S = 1.0
# The configuration and the entries are adjacent in the order of the keys.
CONFIG_AND_ENTRIES_RANGE = KeyRange(
    CONFIG_KEY, prefix_range(ENTRIES_PREFIX).end
)
ROSTERS_RANGE = prefix_range(ROSTERS_PREFIX)


class PlatformFollower:
    """Passes the store's contents, and each change of them, to callbacks.

    Parameters
    ----------
    platform : Platform
    source : random.Random
        Source of jitter, so that entries do not call at the same time.
    on_read_started : callable
        Called before each read of the configuration; a watch follows it.
    on_configuration : callable
        Called with the stored document, or with None if there is none.
    on_entry : callable
        Called with the address of each registered entry; removals are not
        reported.
    on_roster : callable
        Called with each cell and its roster; unreadable rosters are left
        out.
    on_failure : callable
        Called whenever the store gives no usable answer.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        source: random.Random,
        on_read_started: Callable[[], None],
        on_configuration: Callable[[Configuration | None], None],
        on_entry: Callable[[EntryAddress], None],
        on_roster: Callable[[Cell, Roster], None],
        on_failure: Callable[[], None],
    ) -> None:
        self.platform = platform
        self.source = source
        self.on_read_started = on_read_started
        self.on_configuration = on_configuration
        self.on_entry = on_entry
        self.on_roster = on_roster
        self.on_failure = on_failure

    async def run(self) -> None:
        """Watch the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow, ROSTERS_RANGE)
            nursery.start_soon(self._follow, CONFIG_AND_ENTRIES_RANGE)

    async def _follow(self, keys: KeyRange) -> None:
        """Read and watch a range of keys, again and again."""
        while True:
            try:
                await self._read_and_watch(keys)
            except PlatformError:
                self.on_failure()
            await trio.sleep(RETRY_DELAY_S * self.source.uniform(0.1, 1.0))

    async def _read_and_watch(self, keys: KeyRange) -> None:
        """Read a range of keys, then watch it until it is due to be reread."""
        if keys is CONFIG_AND_ENTRIES_RANGE:
            self.on_read_started()
        listing = await self.platform.list_range(keys)
        self._apply_listing(keys, listing)
        renew_after_s = WATCH_RENEWAL_INTERVAL_S * self.source.uniform(
            0.75, 1.25
        )
        with trio.move_on_after(renew_after_s):
            await self.platform.watch(
                keys, listing.revision + 1, self._apply_change
            )

    def _apply_listing(self, keys: KeyRange, listing: Listing) -> None:
        for key, value in listing.values.items():
            self._apply_value(key, value.data)
        if (
            keys is CONFIG_AND_ENTRIES_RANGE
            and CONFIG_KEY not in listing.values
        ):
            self.on_configuration(None)

    def _apply_change(self, change: Change) -> None:
        if change.value is not None:
            self._apply_value(change.key, change.value.data)

    def _apply_value(self, key: str, data: bytes) -> None:
        if key == CONFIG_KEY:
            self.on_configuration(decode_configuration(data))
        elif key.startswith(ENTRIES_PREFIX):
            self._apply_address(key, data)
        elif key.startswith(ROSTERS_PREFIX):
            self._apply_roster(key, data)

    def _apply_address(self, key: str, data: bytes) -> None:
        try:
            address = decode_address(data)
        except ValueError as error:
            eliot.log_message(
                message_type="egretcart:unreadable_address",
                key=key,
                cause=str(error),
            )
            return
        self.on_entry(address)

    def _apply_roster(self, key: str, data: bytes) -> None:
        cell = cell_of_key(key)
        try:
            roster = decode_roster(data)
        except PlatformError:
            return
        if cell is not None:
            self.on_roster(cell, roster)
