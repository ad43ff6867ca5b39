"""Waits, at the start of a process, for its settings and its addresses."""

import contextlib
import pathlib
import socket
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
# Connections that may wait to be accepted; the operating system lowers it.
BACKLOG = 0xFFFF

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
    """Open the sockets of all addresses, or of none.

    None listens before all are bound, so that nobody connects to a process
    that may have to wait.
    """
    sockets: dict[str, list[trio.socket.SocketType]] = {}
    with contextlib.ExitStack() as opened:
        for name, address in addresses.items():
            try:
                sockets[name] = await _bind(address, opened)
            except OSError as error:
                return _not_available(name, address, error)
        for name, address in addresses.items():
            try:
                for bound in sockets[name]:
                    bound.listen(BACKLOG)
            except OSError as error:
                return _not_available(name, address, error)
        opened.pop_all()
    return Ok(
        {
            name: [trio.SocketListener(bound) for bound in listening]
            for name, listening in sockets.items()
        }
    )


async def _bind(
    address: str, opened: contextlib.ExitStack
) -> list[trio.socket.SocketType]:
    """Return a bound socket for each address that a host stands for."""
    host, port = split_address(address)
    found = await trio.socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM, flags=socket.AI_PASSIVE
    )
    sockets = []
    for family, kind, protocol, _name, endpoint in found:
        bound = opened.enter_context(
            trio.socket.socket(family, kind, protocol)
        )
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            bound.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        await bound.bind(endpoint)
        sockets.append(bound)
    return sockets


def _not_available(
    name: str, address: str, error: OSError
) -> Err[ProcessChanged]:
    return Err(
        ProcessChanged(
            state="address not available", cause=f"{name} {address}: {error}"
        )
    )
