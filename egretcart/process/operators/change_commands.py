"""The commands `apply`, `drain` and `repair`, which propose a change."""

import datetime
import getpass
import socket
import sys
from typing import Any

import msgspec
import uuid6

from egretcart.process.configuration.config_store import plan_change
from egretcart.process.operators.operator_arguments import EXIT_FAILED
from egretcart.process.operators.operator_arguments import EXIT_OK
from egretcart.process.operators.operator_arguments import load_document
from egretcart.process.operators.operator_arguments import parse_number
from egretcart.process.operators.operator_client import collect_reports
from egretcart.process.operators.operator_client import EntryClient
from egretcart.process.operators.operator_client import OperatorClient
from egretcart.process.operators.operator_client import ProcessesOverview
from egretcart.process.operators.outcome_text import print_differences
from egretcart.process.operators.outcome_text import print_outcome
from egretcart.process.operators.show_commands import read_stored_configuration
from egretcart.process.store.platform import PlatformError
from egretcart.version.change import NOTHING_STORED
from egretcart.version.change import ProposedChange
from egretcart.version.change import WriteVersion
from egretcart.version.check import check_quotas
from egretcart.version.difference import find_differences
from egretcart.version.document import Configuration

# Limit of applying a change, retries of the request to an entry included.
APPLY_COMMAND_TIMEOUT_S = 10.0


async def apply_file(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Replace the whole configuration by that of a file."""
    document = load_document(parsed)
    base = parse_number(parsed, "--base")
    change = ProposedChange(
        change_id=parsed["--change"] or str(uuid6.uuid7()),
        base=document.version if base is None else base,
        document=document,
        who=_author(parsed),
        why=parsed["--reason"],
        when=_timestamp(),
        resumed=parsed["--change"] is not None,
    )
    return await _confirm_and_apply(client, parsed, change)


async def drain_agent(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Drain an agent, so that it gets no new work, or undo its drain."""
    agent_id = parsed["AGENT"]
    stored_document = await read_stored_configuration(client)
    drained = set(stored_document.drained) - {agent_id}
    verb = "undrain"
    if not parsed["--undo"]:
        drained.add(agent_id)
        verb = "drain"
    change = ProposedChange(
        change_id=str(uuid6.uuid7()),
        base=stored_document.version,
        document=msgspec.structs.replace(
            stored_document, drained=tuple(sorted(drained))
        ),
        who=_author(parsed),
        why=parsed["--reason"] or f"{verb} {agent_id}",
        when=_timestamp(),
    )
    return await _confirm_and_apply(client, parsed, change)


async def repair_store(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Write the newest configuration of the entries back into the store.

    This repairs a store that has lost configuration versions which entries
    still use.
    """
    overview = await collect_reports(await client.entry_addresses())
    if overview.newest_entry is None:
        print("not repaired: no entry answers that could tell what it holds")
        return EXIT_FAILED
    if overview.unreachable:
        print("not repaired: these entries may hold a newer version")
        for address in overview.unreachable:
            print(f"  entry at {address}: no answer")
        return EXIT_FAILED
    document = await EntryClient(
        address=overview.newest_entry
    ).read_active_configuration()
    current = await client.read_current() or NOTHING_STORED
    stored = current.document.version
    if stored and not current.revision:
        print("not repaired: the platform's store gives no answer")
        return EXIT_FAILED
    if stored >= overview.highest_known_version:
        print(f"nothing to repair: the store has version {stored}")
        return EXIT_OK
    change = ProposedChange(
        change_id=str(uuid6.uuid7()),
        base=stored,
        document=document,
        who=_author(parsed),
        why=parsed["--reason"],
        when=_timestamp(),
        is_repair=True,
    )
    return await _confirm_and_apply(client, parsed, change)


def _author(parsed: dict[str, Any]) -> str:
    author: str | None = parsed["--as"]
    return author or f"{getpass.getuser()}@{socket.gethostname()}"


def _timestamp() -> str:
    now = datetime.datetime.now(tz=datetime.UTC)
    return now.isoformat(timespec="milliseconds")


async def _confirm_and_apply(
    client: OperatorClient, parsed: dict[str, Any], change: ProposedChange
) -> int:
    """Show the plan, ask for confirmation, apply and print the outcome."""
    if not change.resumed:
        status = await _show_plan(client, change)
        if status is not None:
            return status
    if not parsed["--yes"] and not _is_confirmed():
        print("not applied: nothing was written")
        return EXIT_FAILED
    print(f"change {change.change_id}", flush=True)
    # The reports are collected again, because versions may have changed
    # while the operator was deciding.
    overview = await _collect_reports_or_empty(client)
    change = msgspec.structs.replace(
        change, held=overview.highest_known_version
    )
    outcome = await client.apply(change, time_limit_s=APPLY_COMMAND_TIMEOUT_S)
    return print_outcome(outcome, change)


async def _collect_reports_or_empty(
    client: OperatorClient,
) -> ProcessesOverview:
    """Return the entries' reports, or none.

    There are none if the entries' addresses can't be read.
    """
    try:
        return await collect_reports(await client.entry_addresses())
    except PlatformError:
        return ProcessesOverview(reports=(), addresses={}, unreachable=())


async def _show_plan(
    client: OperatorClient, change: ProposedChange
) -> int | None:
    """Print what would change; return an exit code if nothing would."""
    overview = await _collect_reports_or_empty(client)
    change = msgspec.structs.replace(
        change, held=overview.highest_known_version
    )
    plan = await plan_change(client, change)
    if not isinstance(plan.step, WriteVersion):
        return print_outcome(plan.step, change)
    print(f"plan: version {change.base} -> {plan.step.entry.version}")
    print_differences(find_differences(plan.stored, change.document))
    if overview.unreachable and not overview.reports:
        print("  warning: no entry answers; none could tell a lost version")
    _print_quota_warnings(overview, change.document)
    return None


def _print_quota_warnings(
    overview: ProcessesOverview, document: Configuration
) -> None:
    """Print a warning for each finding on quotas and connected slots."""
    slots = {
        agent.agent_id: agent.slots
        for report in overview.reports
        for agent in report.agents
    }
    if not slots:
        return
    for finding in check_quotas(document, sum(slots.values())):
        print(f"  warning: {finding.to_line()}")


def _is_confirmed() -> bool:
    if not sys.stdin.isatty():
        print("no terminal to ask on: give --yes", file=sys.stderr)
        return False
    return input("apply? [y/N] ").strip().lower() in ("y", "yes")
