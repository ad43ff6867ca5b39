"""Waits, at the start of a process, for its settings and its addresses."""

import pathlib
from typing import Generic
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result
import trio

from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import ProcessChanged
from egretcart.direct.process.settings import DirectSettings
from egretcart.direct.process.settings import load_direct_settings
from egretcart.direct.process.settings import split_address

RETRY_INTERVAL_S = 0.1

S = TypeVar("S", bound=DirectSettings)
# By the names of `DirectSettings.listening`.
Listeners = dict[str, list[trio.SocketListener]]


class StartConditions(msgspec.Struct, Generic[S], frozen=True, kw_only=True):
    """What a process needs to start.

    Attributes
    ----------
    settings : DirectSettings
    listeners : dict of str to list of trio.SocketListener
        Open sockets of the addresses in `settings.listening`, by their name.
    """

    settings: S
    listeners: Listeners


async def wait_for_start(
    *, path: pathlib.Path, settings_type: type[S], log: DecisionLog
) -> StartConditions[S]:
    """Wait until the settings are valid and their addresses can be opened.

    The settings file may not be written yet, or another process may still
    listen at an address. The file is read again each time, as its correction
    may be what helps. Each new reason to wait is logged once.
    """
    former = None
    while True:
        conditions = await _try_start(path, settings_type)
        if isinstance(conditions, Ok):
            return conditions.ok_value
        if conditions.err_value != former:
            former = conditions.err_value
            log.write(former)
        await trio.sleep(RETRY_INTERVAL_S)


async def _try_start(
    path: pathlib.Path, settings_type: type[S]
) -> Result[StartConditions[S], ProcessChanged]:
    loaded = load_direct_settings(path, settings_type)
    if not isinstance(loaded, Ok):
        return Err(
            ProcessChanged(state="settings wrong", cause=loaded.err_value)
        )
    settings = loaded.ok_value
    opened = await _open_listeners(settings.listening)
    return opened.map(
        lambda listeners: StartConditions(
            settings=settings, listeners=listeners
        )
    )


async def _open_listeners(
    addresses: dict[str, str],
) -> Result[Listeners, ProcessChanged]:
    """Open the sockets of all addresses, or of none."""
    listeners: Listeners = {}
    for name, address in addresses.items():
        host, port = split_address(address)
        try:
            listeners[name] = await trio.open_tcp_listeners(port, host=host)
        except OSError as error:
            await _close_all(listeners)
            return Err(
                ProcessChanged(
                    state="address not available",
                    cause=f"{name} {address}: {error}",
                )
            )
    return Ok(listeners)


async def _close_all(listeners: Listeners) -> None:
    for sockets in listeners.values():
        for listener in sockets:
            await listener.aclose()
