"""Parsing of the addresses, numbers and files that commands are given."""

import os
import pathlib
from typing import Any

from egretcart.process.operators.operator_client import EntryClient
from egretcart.process.operators.operator_client import OperatorClient
from egretcart.process.operators.operator_client import PlatformClient
from egretcart.process.settings import Address
from egretcart.version.check import parse_document
from egretcart.version.document import Configuration

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
# It is not known whether a change was accepted, see `Undecided`.
EXIT_UNDECIDED = 3
PLATFORM_VARIABLE = "EGRETCART_PLATFORM"
ENTRY_VARIABLE = "EGRETCART_ENTRY"


class UsageError(Exception):
    """The command line or a file that it names is invalid."""


def make_client(parsed: dict[str, Any]) -> OperatorClient:
    """Return a client of the address in the options or the environment.

    Options have priority over environment variables. Among options, that
    of an entry has priority; among variables, that of the platform.

    Raises
    ------
    UsageError
        If there is no address, or one is not HOST:PORT.
    """
    if parsed["--entry"]:
        return EntryClient(address=_parse_address(parsed["--entry"]))
    if parsed["--platform"]:
        return PlatformClient(address=_parse_address(parsed["--platform"]))
    platform = os.environ.get(PLATFORM_VARIABLE)
    if platform:
        return PlatformClient(address=_parse_address(platform))
    entry = os.environ.get(ENTRY_VARIABLE)
    if entry:
        return EntryClient(address=_parse_address(entry))
    raise UsageError(
        "no address: give --platform or --entry, or set "
        f"{PLATFORM_VARIABLE} or {ENTRY_VARIABLE}"
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise UsageError(f"address {text!r}; accepted: HOST:PORT")
    return Address(host=host.strip("[]"), port=int(port))


def parse_number(parsed: dict[str, Any], option: str) -> int | None:
    """Return an option's number, or None if it is not given.

    Raises
    ------
    UsageError
        If its text is not a decimal number.
    """
    text = parsed[option]
    if text is None:
        return None
    if not text.isdecimal():
        raise UsageError(f"{option} is {text!r}; accepted: a number")
    return int(text)


def load_document(parsed: dict[str, Any]) -> Configuration:
    """Return the configuration in the file that the command line names.

    Raises
    ------
    UsageError
        If the file can't be read or is invalid; the message has a line for
        each finding.
    """
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
