"""Registration of live entries under leases in the platform's store."""

from collections.abc import Callable
import random

import msgspec
import trio

from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_address import find_address_violation
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import PlatformRefusal
from egretcart.process.store.platform import prefix_range
from egretcart.process.store.platform import Put
from egretcart.request.json_decoding import decode_json

ENTRIES_PREFIX = "egretcart/entries/"
LEASE_TTL_S = 30
LEASE_RENEWAL_INTERVAL_S = 10.0
RETRY_DELAY_S = 1.0


def entry_key(entry_id: str) -> str:
    """Return the key under which an entry is registered."""
    return f"{ENTRIES_PREFIX}{entry_id}"


def decode_address(data: bytes) -> EntryAddress:
    """Return a registered address.

    Raises
    ------
    ValueError
        If the data is no address at which a process can be reached.
    """
    address = decode_json(data, EntryAddress)
    for host, port in (
        (address.host, address.port),
        (address.http_host, address.http_port),
    ):
        violation = find_address_violation(host, port)
        if violation is not None:
            raise ValueError(violation)
    return address


def _ignore(_key: str, _error: ValueError) -> None:
    """Do nothing."""


async def list_entries(
    platform: Platform,
    *,
    on_unreadable: Callable[[str, ValueError], None] = _ignore,
) -> tuple[EntryAddress, ...]:
    """Return the addresses of all registered entries.

    Parameters
    ----------
    platform : Platform
    on_unreadable : callable, optional
        Called with the key of each address that can't be read, and why. It
        is left out.
    """
    listing = await platform.list_range(prefix_range(ENTRIES_PREFIX))
    found: list[EntryAddress] = []
    for key, value in listing.values.items():
        try:
            found.append(decode_address(value.data))
        except ValueError as error:
            on_unreadable(key, error)
    return tuple(found)


class Registrar:
    """Keeps one entry registered while its process runs.

    Parameters
    ----------
    platform : Platform
    address : EntryAddress
    source : random.Random
        Source of jitter, so that entries do not call at the same time.

    Attributes
    ----------
    lease : int
        Identifier of the lease in the store under which the entry is
        registered; 0 while it is not.
    is_deregistered : bool
        Whether the registration was ended for good, so that the entry must
        not be registered again.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        address: EntryAddress,
        source: random.Random,
    ) -> None:
        self.platform = platform
        self.address = address
        self.source = source
        self.lease = 0
        self.is_deregistered = False

    async def run(self) -> None:
        """Register the entry and renew its lease until cancelled."""
        while True:
            try:
                await self.renew()
                delay_s = LEASE_RENEWAL_INTERVAL_S
            except PlatformRefusal:
                self.lease = 0
                delay_s = RETRY_DELAY_S
            except PlatformError:
                delay_s = RETRY_DELAY_S
            await trio.sleep(delay_s * self.source.uniform(0.5, 1.0))

    async def renew(self) -> None:
        """Renew the registration, or register again if it has expired.

        Raises
        ------
        PlatformError
            If the store gives no usable answer.
        """
        if self.is_deregistered:
            return
        if self.lease and not await self.platform.keep_alive(self.lease):
            self.lease = 0
        if self.lease:
            return
        lease = await self.platform.grant_lease(LEASE_TTL_S)
        value = msgspec.json.encode(msgspec.structs.asdict(self.address))
        key = entry_key(self.address.entry_id)
        await self.platform.transact(
            {}, (Put(key=key, data=value, lease=lease),)
        )
        self.lease = lease
        if self.is_deregistered:
            await self.leave()

    async def leave(self) -> None:
        """End the registration for good.

        If the store gives no answer, the registration ends when its lease
        expires.
        """
        self.is_deregistered = True
        lease, self.lease = self.lease, 0
        if not lease:
            return
        try:
            await self.platform.revoke_lease(lease)
        except PlatformError:
            return
