"""A TCP relay whose connections a scenario can break or pause."""

import contextlib
import socket
import threading

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2


class Relay:
    """Forwards connections to a port on the loopback interface."""

    def __init__(self, target=None):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.sockets = set()
        self.may_forward = threading.Event()
        self.may_forward.set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                client_socket, _ = self.listener.accept()
                target_socket = socket.create_connection(
                    ("127.0.0.1", self.target), CONNECT_TIMEOUT_S
                )
            except OSError:
                if self.listener.fileno() < 0:
                    return
                client_socket.close()
                continue
            target_socket.settimeout(None)
            self.sockets |= {client_socket, target_socket}
            for direction in (
                (client_socket, target_socket),
                (target_socket, client_socket),
            ):
                threading.Thread(
                    target=self._forward, args=direction, daemon=True
                ).start()

    def _forward(self, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                self.may_forward.wait()
                sink.sendall(data)
        self._close_socket(source)
        self._close_socket(sink)

    def _close_socket(self, endpoint):
        self.sockets.discard(endpoint)
        with contextlib.suppress(OSError):
            endpoint.shutdown(socket.SHUT_RDWR)
        endpoint.close()

    def cut(self):
        """Close every connection that is open now."""
        for endpoint in list(self.sockets):
            self._close_socket(endpoint)

    def pause(self):
        """Stop forwarding data, but keep the connections open."""
        self.may_forward.clear()

    def resume(self):
        self.may_forward.set()

    def close(self):
        self.resume()
        self.listener.close()
        self.cut()
