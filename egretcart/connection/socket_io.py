"""Reads and writes sockets with as few turns of the event loop as possible.

A method of `trio.SocketStream` yields to the event loop even if it need not
wait, and tries to receive before it waits. A process that exchanges many
small messages spends more time on that than on the messages.
"""

import errno
import os

import trio

# The operating system does not have an option, or does not allow it.
OPTION_REFUSED_ERRNOS = (
    errno.ENOPROTOOPT,
    errno.EOPNOTSUPP,
    errno.EINVAL,
    errno.EPERM,
    errno.EACCES,
    errno.ENOMEM,
    errno.ENOBUFS,
)


async def receive_when_readable(
    stream: trio.SocketStream, limit: int
) -> bytes:
    """Wait for data and return it; return nothing at the end of the stream.

    Parameters
    ----------
    stream : trio.SocketStream
    limit : int
        Most bytes to return.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is broken, or can't be waited for: the operating
        system bounds how many descriptors may be watched (epoll).
    """
    while True:
        try:
            await trio.lowlevel.wait_readable(stream.socket)
            return os.read(stream.socket.fileno(), limit)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


def write_now(stream: trio.SocketStream, data: bytes) -> bytes:
    """Write what the operating system accepts at once; return the rest.

    Raises
    ------
    trio.BrokenResourceError
        If the connection is broken.
    """
    try:
        return data[os.write(stream.socket.fileno(), data) :]
    except BlockingIOError:
        return data
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error


def set_option(
    stream: trio.SocketStream, level: int, option: int, value: int | bytes
) -> bool:
    """Set an option of a socket; return False if it is refused.

    Raises
    ------
    OSError
        If the socket itself can't be used.
    """
    try:
        stream.setsockopt(level, option, value)
    except OSError as error:
        if error.errno not in OPTION_REFUSED_ERRNOS:
            raise
        return False
    return True
