"""Test whether a connection has unread data or has ended."""

import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Return whether data or the end of the stream can be received now."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
