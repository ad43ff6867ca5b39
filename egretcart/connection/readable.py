"""Test whether a socket has something to read or to accept."""

import select

import trio


def is_readable(stream: trio.SocketStream | trio.SocketListener) -> bool:
    """Return whether something can be received or accepted at once.

    That is data or the end of a stream, or a connection of a listener.
    """
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
