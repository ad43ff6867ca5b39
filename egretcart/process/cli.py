"""The command line."""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import pathlib
import sys
from typing import Any

import docopt
import trio

from egretcart.process.agent import AgentLimits
from egretcart.process.agent_process import AgentProcess
from egretcart.process.clock import SystemClock
from egretcart.process.demo import run_demo
from egretcart.process.entry import EntryLimits
from egretcart.process.entry_process import EntryProcess
from egretcart.process.limits import LeaderLimits
from egretcart.process.planned_stop import stop_on_signal
from egretcart.process.settings import AgentSettings
from egretcart.process.settings import BackendStandInSettings
from egretcart.process.settings import EntrySettings
from egretcart.process.settings import load_settings
from egretcart.process.settings import PlatformStandInSettings
from egretcart.process.settings import SettingsBase
from egretcart.testing.backend import BackendStandIn
from egretcart.testing.platform import PlatformStandIn

USAGE = """egretcart: a dispatcher for floods of sub-second tasks.

Usage:
  egretcart entry SETTINGS
  egretcart agent SETTINGS
  egretcart standin platform SETTINGS
  egretcart standin backend SETTINGS
  egretcart demo
  egretcart (-h | --help)

Commands:
  entry             Run an entry: callers, operators and agents connect to it.
  agent             Run the agent beside one backend server.
  standin platform  Run a stand-in of the platform's key-value service.
  standin backend   Run a stand-in of a backend server.
  demo              Run a whole deployment in one process and one job on it.

Exit codes:
  0  done
  1  the command failed
  2  the command line or a file is wrong
"""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        Exit code.
    """
    try:
        parsed = docopt.docopt(USAGE, argv=arguments)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if parsed["demo"]:
        return trio.run(run_demo)
    if parsed["entry"]:
        return _run_role(parsed, EntrySettings, _run_entry)
    if parsed["agent"]:
        return _run_role(parsed, AgentSettings, _run_agent)
    if parsed["platform"]:
        return _run_role(parsed, PlatformStandInSettings, _run_platform)
    return _run_role(parsed, BackendStandInSettings, _run_backend)


def _run_role(
    parsed: dict[str, Any],
    kind: type[SettingsBase],
    run: Callable[[Any], Awaitable[None]],
) -> int:
    loaded = load_settings(pathlib.Path(parsed["SETTINGS"]), kind)
    if loaded.is_err():
        print(loaded.unwrap_err(), file=sys.stderr)
        return EXIT_USAGE
    status = EXIT_OK
    try:
        trio.run(run, loaded.unwrap())
    except* KeyboardInterrupt:
        status = EXIT_FAILED
    return status


async def _run_entry(settings: EntrySettings) -> None:
    process = EntryProcess(
        settings=settings,
        limits=EntryLimits(),
        leader_limits=LeaderLimits(),
        clock=SystemClock(),
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(process.run)
        nursery.start_soon(stop_on_signal, process, nursery.cancel_scope)
        await process.announce()


async def _run_agent(settings: AgentSettings) -> None:
    process = AgentProcess(
        settings=settings, limits=AgentLimits(), clock=SystemClock()
    )
    async with trio.open_nursery() as nursery:
        await nursery.start(process.run)
        nursery.start_soon(stop_on_signal, process, nursery.cancel_scope)
        await process.announce()


async def _run_platform(settings: PlatformStandInSettings) -> None:
    standin = PlatformStandIn(
        host=settings.listen.host, port=settings.listen.port
    )
    await _run_standin("platform", standin)


async def _run_backend(settings: BackendStandInSettings) -> None:
    standin = BackendStandIn(
        host=settings.listen.host,
        port=settings.listen.port,
        speed=settings.speed,
    )
    await _run_standin("backend", standin)


async def _run_standin(
    role: str, standin: PlatformStandIn | BackendStandIn
) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.run)
        print(json.dumps({"role": role, "port": port}), flush=True)
