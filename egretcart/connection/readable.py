"""Whether a connection has data or has ended."""

import select

import trio


def is_readable(stream: trio.SocketStream) -> bool:
    """Return whether data or an end waits to be received."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
