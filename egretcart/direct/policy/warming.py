"""Warming: how much a cold backend server is given to do. Free of I/O.

This handles servers that run tasks more slowly for some time after their
start, above all a whole failure domain that comes back while tasks wait. They
look empty, so that all waiting tasks would be sent there at once.
"""

from egretcart.direct.request.job import Room


def usable_capacity(
    capacity: Room, typical_room: Room, passed_share: float
) -> Room:
    """Return the capacity that may be used at a server.

    It grows with the share of the cold time that has passed, and is never
    less than a typical task takes.

    Parameters
    ----------
    capacity : Room
        Capacity of the server.
    typical_room : Room
        Resources that a typical task requires.
    passed_share : float
        Share of the cold time that has passed, 0 to 1; 1 for a warm server.
    """
    if passed_share >= 1:
        return capacity
    return (
        capacity.scaled(passed_share).at_least(typical_room).at_most(capacity)
    )
