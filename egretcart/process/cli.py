"""Command line of egretcart: parses the arguments and runs one command."""

from collections.abc import Awaitable
from collections.abc import Callable
import fileinput
import json
import pathlib
import sys
from typing import Any

import docopt
import trio

from egretcart.direct.log.explain import explain
from egretcart.direct.log.summary import JobSummary
from egretcart.direct.log.summary import summarize
from egretcart.direct.version.configuration import USEFUL_LATENCY_FACTOR
from egretcart.load.command import load_command
from egretcart.process.agent.agent_process import AgentProcess
from egretcart.process.agent.agent_types import AgentLimits
from egretcart.process.cell.limits import LeaderLimits
from egretcart.process.clock import SystemClock
from egretcart.process.demo import run_demo
from egretcart.process.entry.entry_limits import EntryLimits
from egretcart.process.entry.entry_process import EntryProcess
from egretcart.process.logs import log_to_stderr
from egretcart.process.operators.operator_commands import OPERATOR_COMMANDS
from egretcart.process.operators.operator_commands import run_operator_command
from egretcart.process.planned_stop import stop_on_signal
from egretcart.process.settings import AgentSettings
from egretcart.process.settings import BackendStandInSettings
from egretcart.process.settings import EntrySettings
from egretcart.process.settings import load_settings
from egretcart.process.settings import NaiveSettings
from egretcart.process.settings import PlatformStandInSettings
from egretcart.process.settings import SettingsBase
from egretcart.process.submit import submit_command
from egretcart.testing.backend import BackendStandIn
from egretcart.testing.naive import run_naive
from egretcart.testing.platform import PlatformStandIn

USAGE = """egretcart: a dispatcher for floods of sub-second tasks.

Usage:
  egretcart entry SETTINGS
  egretcart agent SETTINGS
  egretcart standin platform SETTINGS
  egretcart standin backend SETTINGS
  egretcart standin naive SETTINGS
  egretcart submit JOB
  egretcart load PROFILE [--json]
  egretcart demo
  egretcart check FILE...
  egretcart schema
  egretcart diff FILE [--platform=ADDRESS | --entry=ADDRESS]
  egretcart apply FILE --reason=TEXT [--yes] [--base=VERSION] [--change=ID]
            [--as=NAME] [--platform=ADDRESS | --entry=ADDRESS]
  egretcart show [--version=VERSION | --in-force]
            [--platform=ADDRESS | --entry=ADDRESS]
  egretcart history [--last=COUNT] [--platform=ADDRESS | --entry=ADDRESS]
  egretcart status [--platform=ADDRESS | --entry=ADDRESS]
  egretcart drain AGENT [--undo] [--reason=TEXT] [--yes] [--as=NAME]
            [--platform=ADDRESS | --entry=ADDRESS]
  egretcart explain --summary [--plot=PATH] [FILE...]
  egretcart explain JOB_ID [FILE...]
  egretcart repair --reason=TEXT [--yes] [--as=NAME]
            [--platform=ADDRESS | --entry=ADDRESS]
  egretcart (-h | --help)

Commands:
  entry             Run an entry: callers, operators and agents connect to it.
  agent             Run the agent beside one backend server.
  standin platform  Run a stand-in of the platform's key-value service.
  standin backend   Run a stand-in of a backend server.
  standin naive     Run the naive version that measures are compared with.
  submit            Submit the job of a file and print its answer.
  load              Submit the jobs of a profile and print the measures.
  demo              Run a whole deployment in one process and one job on it.
  check             Check configuration and settings files, and together.
  schema            Print the JSON schema of the configuration.
  diff              Compare a configuration file with what is in force.
  apply             Put a configuration file in force, as a whole.
  show              Print the configuration that is in force, or a former one.
  history           Print who changed what, when and why.
  status            Print each process's version, role, terms and load.
  drain             Give an agent no new work, or --undo that.
  explain           Print the life of one job from the log lines of entries
                    and agents, or a --summary of all jobs; without files,
                    from standard input.
  repair            Put what entries have in force into a store that lost it.

Options:
  --platform=ADDRESS  HOST:PORT of the platform's store; the environment
                      variable EGRETCART_PLATFORM is the default.
  --entry=ADDRESS     HOST:PORT of any entry's HTTP API, in place of it; the
                      default is EGRETCART_ENTRY.
  --plot=PATH         Also write the summary as a plot; the suffix names its
                      format, such as .png or .svg. Needs matplotlib.
  --reason=TEXT       Why, for the audit trail.
  --yes               Do not ask before the change is made.
  --base=VERSION      Version that the file was made from; by default the
                      version that the file states.
  --change=ID         Ask again for a change whose outcome was not known.
  --as=NAME           Who, for the audit trail; by default user and host.
  --version=VERSION   A version of the history.
  --in-force          What the entries have in force, in place of what the
                      store has.
  --last=COUNT        Versions to print [default: 20].
  --undo              Give the agent work again.
  --summary           What became of all jobs, by route, number of tasks,
                      entry and second.

Exit codes:
  0  done
  1  the command failed
  2  the command line or a file is wrong
  3  the outcome is not known: ask again with --change
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
    if any(parsed[name] for name in OPERATOR_COMMANDS):
        return run_operator_command(parsed)
    if parsed["--summary"]:
        return summary_command(parsed["FILE"], plot=parsed["--plot"])
    if parsed["explain"]:
        return explain_command(parsed["JOB_ID"], parsed["FILE"])
    if parsed["submit"]:
        return submit_command(pathlib.Path(parsed["JOB"]))
    if parsed["load"]:
        profile = pathlib.Path(parsed["PROFILE"])
        return load_command(profile, as_json=parsed["--json"])
    if parsed["naive"]:
        return _run_with_settings(parsed, NaiveSettings, run_naive)
    if parsed["entry"]:
        return _run_with_settings(parsed, EntrySettings, _run_entry)
    if parsed["agent"]:
        return _run_with_settings(parsed, AgentSettings, _run_agent)
    if parsed["platform"]:
        return _run_with_settings(
            parsed, PlatformStandInSettings, _run_platform
        )
    return _run_with_settings(parsed, BackendStandInSettings, _run_backend)


def explain_command(job_id: str, files: list[str]) -> int:
    """Print a job's history from log lines; fail if no line names the job."""
    try:
        with fileinput.input(files, errors="replace") as lines:
            job_history = explain(job_id, lines)
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if not job_history:
        print(f'no line names job "{job_id}"', file=sys.stderr)
        return EXIT_FAILED
    print("\n".join(job_history))
    return EXIT_OK


def summary_command(files: list[str], *, plot: str | None = None) -> int:
    """Print what became of all jobs; fail if no line names a job."""
    try:
        with fileinput.input(files, errors="replace") as lines:
            summary = summarize(
                lines, useful_latency_factor=USEFUL_LATENCY_FACTOR
            )
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if not summary.fates:
        print("no line names a job", file=sys.stderr)
        return EXIT_FAILED
    print("\n".join(summary.text()))
    return EXIT_OK if plot is None else _write_plot(summary, plot)


def _write_plot(summary: JobSummary, path: str) -> int:
    """Write the plot of a summary; fail if that is not possible."""
    try:
        from egretcart.direct.log.summary_plot import plot_summary
    except ImportError as error:
        print(f"--plot needs matplotlib: {error}", file=sys.stderr)
        return EXIT_FAILED
    try:
        plot_summary(summary, pathlib.Path(path))
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_OK


def _run_with_settings(
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
        log=log_to_stderr(),
    )
    await _run_process(process)


async def _run_agent(settings: AgentSettings) -> None:
    process = AgentProcess(
        settings=settings,
        limits=AgentLimits(),
        clock=SystemClock(),
        log=log_to_stderr(),
    )
    await _run_process(process)


async def _run_process(process: EntryProcess | AgentProcess) -> None:
    """Run a process until its graceful shutdown is over."""
    async with trio.open_nursery() as nursery:
        await nursery.start(process.run)
        nursery.start_soon(stop_on_signal, process, nursery.cancel_scope)
        await process.print_ready()


async def _run_platform(settings: PlatformStandInSettings) -> None:
    standin = PlatformStandIn(
        host=settings.listen.host,
        port=settings.listen.port,
        path=pathlib.Path(settings.file) if settings.file else None,
    )
    await _run_standin("platform", standin)


async def _run_backend(settings: BackendStandInSettings) -> None:
    standin = BackendStandIn(
        host=settings.listen.host,
        port=settings.listen.port,
        slots=settings.slots,
        behaviour=settings.behaviour,
        seed=settings.seed,
    )
    await _run_standin("backend", standin)


async def _run_standin(
    role: str, standin: PlatformStandIn | BackendStandIn
) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.run)
        print(json.dumps({"role": role, "port": port}), flush=True)
