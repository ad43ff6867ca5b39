"""The addresses under which an entry is reached and registered."""

import re

import msgspec

MAX_PORT = 65535
# A host name or an IP address, or nothing if the address is not known.
HOST_PATTERN = (
    r"\A([-0-9A-Za-z_]{1,63}(\.[-0-9A-Za-z_]{1,63}){0,9}"
    r"|[0-9A-Fa-f:]{2,39})?\Z"
)


def find_address_violation(host: str, port: int) -> str | None:
    """Return why no process can be reached at an address, or None."""
    if not re.search(HOST_PATTERN, host):
        return f"{host!r:.80} is neither a host name nor an IP address"
    if not 0 <= port <= MAX_PORT:
        return f"port {port} is not in 0 to {MAX_PORT}"
    return None


class EntryAddress(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses of an entry and its share of the cells.

    Attributes
    ----------
    entry_id : str
    host, port : str and int
        Address that other entries and agents connect to.
    weight : int
        Share of the cells that the entry should lead, relative to others.
    failure_domain : str
    http_host, http_port : str and int
        Address of the entry's HTTP API for operators.
    """

    entry_id: str = ""
    host: str = ""
    port: int = 0
    weight: int = 1
    failure_domain: str = ""
    http_host: str = ""
    http_port: int = 0


NO_ADDRESS = EntryAddress()
