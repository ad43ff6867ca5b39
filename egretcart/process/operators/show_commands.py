"""The commands `diff`, `show` and `history`, which only read."""

from typing import Any

import msgspec

from egretcart.process.operators.operator_arguments import EXIT_OK
from egretcart.process.operators.operator_arguments import load_document
from egretcart.process.operators.operator_arguments import parse_number
from egretcart.process.operators.operator_arguments import UsageError
from egretcart.process.operators.operator_client import collect_reports
from egretcart.process.operators.operator_client import EntryClient
from egretcart.process.operators.operator_client import OperatorClient
from egretcart.process.operators.outcome_text import print_differences
from egretcart.process.store.platform import PlatformError
from egretcart.request.verdict import Verdict
from egretcart.version.change import AuditEntry
from egretcart.version.change import NOTHING_STORED
from egretcart.version.difference import find_differences
from egretcart.version.document import Configuration


async def read_stored_configuration(client: OperatorClient) -> Configuration:
    """Return the stored configuration; an empty one of version 0 if none."""
    current = await client.read_current() or NOTHING_STORED
    return current.document


async def diff_file(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Print the differences from the stored configuration to a file's."""
    document = load_document(parsed)
    latest = await read_stored_configuration(client)
    difference = find_differences(latest, document)
    print(f"version {latest.version} is in force")
    print_differences(difference)
    if not difference:
        print("no difference")
    return EXIT_OK


async def print_version(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Print one version of the configuration.

    This is the one in the store by default, the newest that is active in an
    entry with `--in-force`, or the one that `--version` names.
    """
    version = parse_number(parsed, "--version")
    if parsed["--in-force"]:
        document = await _read_active_configuration(client)
    else:
        document = await read_stored_configuration(client)
    if version is not None and version != document.version:
        document = await _read_version(client, version, document.version)
    text = msgspec.json.format(msgspec.json.encode(document), indent=2)
    print(text.decode())
    return EXIT_OK


async def _read_active_configuration(client: OperatorClient) -> Configuration:
    """Return the newest document that is active in an entry."""
    overview = await collect_reports(await client.entry_addresses())
    if overview.newest_entry is None:
        raise PlatformError("no entry answers", Verdict.NOT_RUN)
    return await EntryClient(
        address=overview.newest_entry
    ).read_active_configuration()


async def _read_version(
    client: OperatorClient, version: int, latest: int
) -> Configuration:
    if not 1 <= version <= latest:
        raise UsageError(
            f"there is no version {version}; accepted: 1 to {latest}, "
            "as far as it has not been pruned"
        )
    document = await client.read_document(version)
    if document is not None:
        return document
    entry = await client.read_entry(version)
    if entry is None:
        raise UsageError(
            f"version {version} has been pruned with its audit entry, or "
            f"the store has lost it; {latest} is in force"
        )
    raise UsageError(
        f"the document of version {version} has been pruned; {latest} is "
        "in force; the history still says:\n"
        + "\n".join(_audit_entry_lines(entry))
    )


async def print_history(client: OperatorClient, parsed: dict[str, Any]) -> int:
    """Print the audit entries: who changed what, when and why."""
    last = parse_number(parsed, "--last") or 0
    latest = (await read_stored_configuration(client)).version
    first = max(1, latest - last + 1)
    entries = await client.read_history(first)
    oldest = entries[0].base + 1 if entries else latest + 1
    if first < oldest:
        print(f"the audit entries before version {oldest} have been pruned")
    for entry in entries:
        if entry.version > entry.base + 1:
            print(
                f"the store lost versions {entry.base + 1} to "
                f"{entry.version - 1}; version {entry.version} repaired it"
            )
        print("\n".join(_audit_entry_lines(entry)))
        print_differences(entry.difference, omitted=entry.omitted)
    return EXIT_OK


def _audit_entry_lines(entry: AuditEntry) -> list[str]:
    return [
        f"version {entry.version}, from {entry.base}, {entry.when}",
        f"  by {entry.who}: {entry.why}",
        f"  change {entry.change_id}",
    ]
