"""The addresses under which an entry is reached and registered."""

import msgspec


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
