"""Selects and runs the operators' command that the command line names."""

import sys
from typing import Any

import trio

from egretcart.process.operators.change_commands import apply_file
from egretcart.process.operators.change_commands import drain_agent
from egretcart.process.operators.change_commands import repair_store
from egretcart.process.operators.check_command import check_files
from egretcart.process.operators.check_command import print_schema
from egretcart.process.operators.operator_arguments import EXIT_FAILED
from egretcart.process.operators.operator_arguments import EXIT_USAGE
from egretcart.process.operators.operator_arguments import make_client
from egretcart.process.operators.operator_arguments import UsageError
from egretcart.process.operators.show_commands import diff_file
from egretcart.process.operators.show_commands import print_history
from egretcart.process.operators.show_commands import print_version
from egretcart.process.operators.status_command import print_status
from egretcart.process.store.platform import PlatformError

OPERATOR_COMMANDS = (
    "check",
    "schema",
    "diff",
    "apply",
    "show",
    "history",
    "status",
    "drain",
    "repair",
)


def run_operator_command(parsed: dict[str, Any]) -> int:
    """Run one command, and print errors to the standard error stream.

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
    client = make_client(parsed)
    if parsed["diff"]:
        return await diff_file(client, parsed)
    if parsed["apply"]:
        return await apply_file(client, parsed)
    if parsed["show"]:
        return await print_version(client, parsed)
    if parsed["history"]:
        return await print_history(client, parsed)
    if parsed["repair"]:
        return await repair_store(client, parsed)
    if parsed["drain"]:
        return await drain_agent(client, parsed)
    return await print_status(client)
