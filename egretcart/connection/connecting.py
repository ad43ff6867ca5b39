"""Opens TCP connections; a lack of threads counts as unreachable."""

import errno

import trio

# Message of the error of the standard library, which has no type of its own.
NO_THREAD = "can't start new thread"


async def open_stream(host: str, port: int) -> trio.SocketStream:
    """Return a connection to an address.

    A host name, unlike an IP address, is looked up in a thread.

    Raises
    ------
    OSError
        If the address can't be reached, or there is no thread to look it up.
    """
    try:
        return await trio.open_tcp_stream(host, port)
    except RuntimeError as error:
        if str(error) != NO_THREAD:
            raise
        raise OSError(
            errno.EAGAIN, f"{NO_THREAD} to look up {host!r:.80}"
        ) from error
