"""Raw HTTP requests to the ports of an entry, and their responses."""

import contextlib
import http.client
import json
import socket

from processes import HOST

from egretcart.request.identity import new_job_id

LIMIT_S = 10
SERVICE_PATH = "/v1/services/snapcheck/jobs"


def connect(port):
    return socket.create_connection((HOST, port), LIMIT_S)


def read_response(connection):
    response = http.client.HTTPResponse(connection)
    response.begin()
    return response.status, json.loads(response.read())


def exchange(port, data, *, half_close=False):
    """Send bytes and return the status and document of the response.

    None if the connection ends without a response.
    """
    with connect(port) as connection:
        with contextlib.suppress(OSError):
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
        try:
            return read_response(connection)
        except (http.client.HTTPException, OSError):
            return None


def put(body, *, path=None, headers=()):
    path = path or f"{SERVICE_PATH}/{new_job_id()}"
    lines = [f"PUT {path} HTTP/1.1", "Host: x", *headers]
    if not any(header.startswith("Transfer") for header in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def job(**extra):
    payload = {"run_ms": extra.pop("run_ms", 1), "echo": "x"}
    return json.dumps({"tasks": [{"payload": payload}], **extra}).encode()


def chunked(body):
    return put(body, headers=["Transfer-Encoding: chunked"])
