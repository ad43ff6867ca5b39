"""Storage of the cells' rosters in the platform's store."""

import msgspec

from egretcart.connection.cell_types import Roster
from egretcart.process.entry.directory import Cell
from egretcart.process.store.platform import Platform
from egretcart.process.store.platform import PlatformError
from egretcart.request.json_decoding import decode_json
from egretcart.request.verdict import Verdict

ROSTERS_PREFIX = "egretcart/rosters/"


def roster_key(cell: Cell) -> str:
    """Return the key under which a cell's roster is stored."""
    return f"{ROSTERS_PREFIX}{cell.service}/{cell.index}"


def cell_of_key(key: str) -> Cell | None:
    """Return the cell whose roster is stored under a key.

    None if the key is not that of a roster.
    """
    service, _, index = key.removeprefix(ROSTERS_PREFIX).rpartition("/")
    if not service or not index.isdecimal():
        return None
    return Cell(service, int(index))


def decode_roster(data: bytes) -> Roster:
    """Decode a stored roster.

    Raises
    ------
    PlatformError
        If the data is no roster.
    """
    try:
        return decode_json(data, Roster)
    except msgspec.DecodeError as error:
        raise PlatformError(
            f"the store holds no Roster: {error}", Verdict.NOT_RUN
        ) from error


async def read_roster(platform: Platform, cell: Cell) -> Roster:
    """Return the stored roster of a cell; version 0 if there is none.

    Raises
    ------
    PlatformError
        If the store gave no answer, or the stored data is no roster.
    """
    stored = await platform.get(roster_key(cell))
    if stored is None:
        return Roster()
    return decode_roster(stored.data)


async def write_roster(
    platform: Platform, cell: Cell, roster: Roster
) -> Roster | None:
    """Write a roster if the stored one is its predecessor.

    Parameters
    ----------
    platform : Platform
    cell : Cell
    roster : Roster

    Returns
    -------
    Roster or None
        The roster that is stored now, read back if the write was refused or
        its answer was lost; None if the store gives no answer or has no
        predecessor of the roster.
    """
    key = roster_key(cell)
    data = msgspec.json.encode(msgspec.structs.asdict(roster))
    try:
        stored = await platform.get(key)
        if stored is not None:
            current = decode_roster(stored.data)
            if current.version != roster.version - 1:
                return current
        elif roster.version != 1:
            return None
        revision = stored.revision if stored is not None else 0
        try:
            if await platform.compare_and_swap(key, data, revision):
                return roster
        except PlatformError:
            pass
        return await read_roster(platform, cell)
    except PlatformError:
        return None
