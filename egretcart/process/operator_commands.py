"""The operators' commands."""

import datetime
import getpass
import os
import pathlib
import socket
import sys
from typing import Any

import msgspec
import trio
import uuid6

from egretcart.process.check_command import check_files
from egretcart.process.check_command import print_schema
from egretcart.process.operator_client import ask_all_entries
from egretcart.process.operator_client import EntryClient
from egretcart.process.operator_client import OperatorClient
from egretcart.process.operator_client import PlatformClient
from egretcart.process.platform import PlatformError
from egretcart.process.settings import Address
from egretcart.process.status_command import print_status
from egretcart.version.change import Accepted
from egretcart.version.change import Conflict
from egretcart.version.change import CurrentVersion
from egretcart.version.change import Ended
from egretcart.version.change import NOTHING_STORED
from egretcart.version.change import NotReached
from egretcart.version.change import ProposedChange
from egretcart.version.change import Refused
from egretcart.version.change import Unchanged
from egretcart.version.change import Undecided
from egretcart.version.check import check_change
from egretcart.version.check import check_quotas
from egretcart.version.check import parse_document
from egretcart.version.difference import Difference
from egretcart.version.difference import find_differences
from egretcart.version.document import Configuration

OPERATOR_COMMANDS = (
    "check",
    "schema",
    "diff",
    "apply",
    "show",
    "history",
    "status",
    "drain",
)
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNDECIDED = 3
APPLY_LIMIT_S = 10.0
PLATFORM_VARIABLE = "EGRETCART_PLATFORM"
ENTRY_VARIABLE = "EGRETCART_ENTRY"


class UsageError(Exception):
    """The command line or a file is wrong."""


def run_operator_command(parsed: dict[str, Any]) -> int:
    """Run one command.

    Parameters
    ----------
    parsed : dict
        The parsed command line.

    Returns
    -------
    int
        Exit code.
    """
    if parsed["check"]:
        return check_files(parsed["FILE"])
    if parsed["schema"]:
        return print_schema()
    try:
        return trio.run(_run, parsed)
    except UsageError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except PlatformError as error:
        print(f"no answer: {error}", file=sys.stderr)
        return EXIT_FAILED


async def _run(parsed: dict[str, Any]) -> int:
    client = _client(parsed)
    if parsed["diff"]:
        return await _diff(client, parsed)
    if parsed["apply"]:
        return await _apply(client, parsed)
    if parsed["show"]:
        return await _show(client, parsed)
    if parsed["history"]:
        return await _history(client, parsed)
    if parsed["drain"]:
        return await _drain(client, parsed)
    return await print_status(client)


def _client(parsed: dict[str, Any]) -> OperatorClient:
    """Return a client of the address given, or of the environment's."""
    if parsed["--entry"]:
        return EntryClient(address=_address(parsed["--entry"]))
    if parsed["--platform"]:
        return PlatformClient(address=_address(parsed["--platform"]))
    platform = os.environ.get(PLATFORM_VARIABLE)
    if platform:
        return PlatformClient(address=_address(platform))
    entry = os.environ.get(ENTRY_VARIABLE)
    if entry:
        return EntryClient(address=_address(entry))
    raise UsageError(
        "no address: give --platform or --entry, or set "
        f"{PLATFORM_VARIABLE} or {ENTRY_VARIABLE}"
    )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise UsageError(f"address {text!r}; accepted: HOST:PORT")
    return Address(host=host.strip("[]"), port=int(port))


def _number(parsed: dict[str, Any], option: str) -> int | None:
    text = parsed[option]
    if text is None:
        return None
    if not text.isdecimal():
        raise UsageError(f"{option} is {text!r}; accepted: a number")
    return int(text)


def _load(parsed: dict[str, Any]) -> Configuration:
    path = pathlib.Path(parsed["FILE"][0])
    try:
        data = path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    result = parse_document(data)
    if result.is_err():
        findings = result.unwrap_err()
        raise UsageError(
            "\n".join(f"{path}: {found.to_line()}" for found in findings)
        )
    return result.unwrap()


async def _read_current(client: OperatorClient) -> CurrentVersion:
    return await client.read_current() or NOTHING_STORED


async def _diff(client: OperatorClient, parsed: dict[str, Any]) -> int:
    document = _load(parsed)
    in_force = (await _read_current(client)).document
    difference = find_differences(in_force, document)
    print(f"version {in_force.version} is in force")
    _print_differences(difference)
    if not difference:
        print("no difference")
    return EXIT_OK


def _print_differences(differences: tuple[Difference, ...]) -> None:
    for difference in differences:
        print(f"  {difference.to_line()}")


async def _show(client: OperatorClient, parsed: dict[str, Any]) -> int:
    version = _number(parsed, "--version")
    document = (await _read_current(client)).document
    if version is not None and version != document.version:
        entry = await client.read_entry(version)
        if entry is None:
            raise UsageError(
                f"version {version} is not in the history; "
                f"{document.version} is in force"
            )
        document = entry.document
    text = msgspec.json.format(msgspec.json.encode(document), indent=2)
    print(text.decode())
    return EXIT_OK


async def _history(client: OperatorClient, parsed: dict[str, Any]) -> int:
    last = _number(parsed, "--last") or 0
    in_force = (await _read_current(client)).document.version
    entries = await client.read_history(max(0, in_force - last + 1))
    for entry in entries:
        print(f"version {entry.version}, from {entry.base}, {entry.when}")
        print(f"  by {entry.who}: {entry.why}")
        print(f"  change {entry.change_id}")
        _print_differences(entry.difference)
    return EXIT_OK


async def _apply(client: OperatorClient, parsed: dict[str, Any]) -> int:
    document = _load(parsed)
    base = _number(parsed, "--base")
    change = ProposedChange(
        change_id=parsed["--change"] or str(uuid6.uuid7()),
        base=document.version if base is None else base,
        document=document,
        who=_who(parsed),
        why=parsed["--reason"],
        when=_now(),
        resumed=parsed["--change"] is not None,
    )
    return await _propose(client, parsed, change)


async def _drain(client: OperatorClient, parsed: dict[str, Any]) -> int:
    agent_id = parsed["AGENT"]
    in_force = (await _read_current(client)).document
    drained = set(in_force.drained) - {agent_id}
    verb = "undrain"
    if not parsed["--undo"]:
        drained.add(agent_id)
        verb = "drain"
    change = ProposedChange(
        change_id=str(uuid6.uuid7()),
        base=in_force.version,
        document=msgspec.structs.replace(
            in_force, drained=tuple(sorted(drained))
        ),
        who=_who(parsed),
        why=parsed["--reason"] or f"{verb} {agent_id}",
        when=_now(),
    )
    return await _propose(client, parsed, change)


def _who(parsed: dict[str, Any]) -> str:
    given: str | None = parsed["--as"]
    return given or f"{getpass.getuser()}@{socket.gethostname()}"


def _now() -> str:
    now = datetime.datetime.now(tz=datetime.UTC)
    return now.isoformat(timespec="milliseconds")


async def _propose(
    client: OperatorClient, parsed: dict[str, Any], change: ProposedChange
) -> int:
    """Show the plan, ask, apply and tell the outcome."""
    if not change.resumed:
        status = await _show_plan(client, change)
        if status is not None:
            return status
    if not parsed["--yes"] and not _confirmed():
        print("not applied: nothing was written")
        return EXIT_FAILED
    print(f"change {change.change_id}", flush=True)
    outcome = await client.apply(change, time_limit_s=APPLY_LIMIT_S)
    return _tell(outcome, change)


async def _show_plan(
    client: OperatorClient, change: ProposedChange
) -> int | None:
    """Print what would change; return an exit code if nothing can."""
    in_force = (await _read_current(client)).document
    difference = find_differences(in_force, change.document)
    if not difference:
        return _tell(Unchanged(version=in_force.version), change)
    if in_force.version != change.base:
        conflict = await _conflict(client, in_force, change, difference)
        return _tell(conflict, change)
    findings = check_change(in_force, change.document)
    if findings:
        return _tell(Refused(findings=findings), change)
    print(f"plan: version {change.base} -> {change.base + 1}")
    _print_differences(difference)
    await _warn_of_quotas(client, change.document)
    return None


async def _conflict(
    client: OperatorClient,
    in_force: Configuration,
    change: ProposedChange,
    difference: tuple[Difference, ...],
) -> Conflict:
    entry = await client.read_entry(change.base + 1)
    return Conflict(
        version=in_force.version,
        who=entry.who if entry is not None else "",
        why=entry.why if entry is not None else "",
        difference=difference,
    )


async def _warn_of_quotas(
    client: OperatorClient, document: Configuration
) -> None:
    """Compare the teams' quotas with the slots of the connected agents."""
    overview = await ask_all_entries(await client.entry_addresses())
    slots = {
        agent.agent_id: agent.slots
        for report in overview.reports
        for agent in report.agents
    }
    if not slots:
        return
    for finding in check_quotas(document, sum(slots.values())):
        print(f"  warning: {finding.to_line()}")


def _confirmed() -> bool:
    if not sys.stdin.isatty():
        print("no terminal to ask on: give --yes", file=sys.stderr)
        return False
    return input("apply? [y/N] ").strip().lower() in ("y", "yes")


def _tell(outcome: Ended, change: ProposedChange) -> int:
    """Print an outcome; return the exit code."""
    if isinstance(outcome, Accepted):
        print(f"accepted: version {outcome.version}")
        return EXIT_OK
    if isinstance(outcome, Unchanged):
        print(f"no change: version {outcome.version} says the same")
        return EXIT_OK
    if isinstance(outcome, Conflict):
        _tell_conflict(outcome, change)
        return EXIT_FAILED
    if isinstance(outcome, Refused):
        print("not accepted:")
        for finding in outcome.findings:
            print(f"  {finding.to_line()}")
        return EXIT_USAGE
    if isinstance(outcome, NotReached):
        print(f"not accepted, nothing was written: {outcome.reason}")
        return EXIT_FAILED
    assert isinstance(outcome, Undecided)
    print(f"not known yet: {outcome.reason}")
    print(
        "ask again with the same file and "
        f"--base {change.base} --change {change.change_id}"
    )
    return EXIT_UNDECIDED


def _tell_conflict(outcome: Conflict, change: ProposedChange) -> None:
    print(
        f"not accepted: made from version {change.base}, but "
        f"{outcome.version} is in force"
    )
    if outcome.who:
        print(f"  version {change.base + 1} by {outcome.who}: {outcome.why}")
    print(f"from version {outcome.version} to your file:")
    _print_differences(outcome.difference)
