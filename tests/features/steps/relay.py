"""A TCP relay that can be cut and paused, for scenarios."""

import contextlib
import socket
import threading

CHUNK_BYTES = 64 * 1024
CONNECT_LIMIT_S = 2


class Relay:
    """Passes connections on to a port on loopback."""

    def __init__(self, target=None):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.sockets = set()
        self.flowing = threading.Event()
        self.flowing.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(
                    ("127.0.0.1", self.target), CONNECT_LIMIT_S
                )
            except OSError:
                if self.listener.fileno() < 0:
                    return
                near.close()
                continue
            far.settimeout(None)
            self.sockets |= {near, far}
            for ends in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=ends, daemon=True
                ).start()

    def _pump(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self.flowing.wait()
                sink.sendall(data)
        self._shut(source)
        self._shut(sink)

    def _shut(self, end):
        self.sockets.discard(end)
        with contextlib.suppress(OSError):
            end.shutdown(socket.SHUT_RDWR)
        end.close()

    def cut(self):
        """Break off every connection that is open now."""
        for end in list(self.sockets):
            self._shut(end)

    def pause(self):
        """Pass no data on, keeping the connections open."""
        self.flowing.clear()

    def resume(self):
        self.flowing.set()

    def close(self):
        self.resume()
        self.listener.close()
        self.cut()
