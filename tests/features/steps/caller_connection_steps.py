import json
import socket
import struct

from behave import then
from behave import when
from processes import eventually
from processes import request
from raw_http import connect
from raw_http import job
from raw_http import put
from raw_http import read_response
from raw_http import SERVICE_PATH

from egretcart.request.identity import new_job_id


def start_long_job(context):
    context.job_path = f"{SERVICE_PATH}/{new_job_id()}"
    connection = connect(context.http_port)
    connection.sendall(put(job(run_ms=700), path=context.job_path))
    return connection


def waiting_callers(context):
    entry = context.deployment.entries[0]
    return context.deployment.status(entry)["waiting_callers"]


@when("a caller resets its connection while its job runs")
def reset_early(context):
    connection = start_long_job(context)
    eventually(lambda: waiting_callers(context) == 1)
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


@then("the entry holds no caller")
def check_no_caller(context):
    eventually(lambda: waiting_callers(context) == 0, 5)
    status, _, _ = request(context.http_port, "GET", context.job_path)
    assert status == 202, (
        "the job has ended already, so the check proves nothing"
    )


@then("the job's answer can be read later")
def check_read_later(context):
    def answer():
        status, _, document = request(
            context.http_port, "GET", context.job_path
        )
        return document if status == 200 else None

    assert eventually(answer, 10)["results"] == [{"echo": "x"}]


@when("a job's kind holds line breaks and other scripts")
def send_odd_kind(context):
    task = {"payload": {"echo": "x"}, "kind": "a\r\nb: \u0436"}
    context.connection = connect(context.http_port)
    context.connection.sendall(put(json.dumps({"tasks": [task]}).encode()))


@when("a caller half-closes its connection after its job")
def half_close(context):
    context.connection = start_long_job(context)
    context.connection.shutdown(socket.SHUT_WR)


@then("it gets its whole answer")
def check_half_closed(context):
    with context.connection as connection:
        status, answer = read_response(connection)
    assert (status, answer["results"]) == (200, [{"echo": "x"}])


@when("a caller sends two jobs at once on one connection")
def pipeline(context):
    context.paths = [f"{SERVICE_PATH}/{new_job_id()}" for _ in range(2)]
    context.connection = connect(context.http_port)
    context.connection.sendall(
        b"".join(put(job(run_ms=100), path=path) for path in context.paths)
    )


@then("it gets both answers in order")
def check_pipelined(context):
    with context.connection as connection:
        reader = connection.makefile("rb")
        for path in context.paths:
            assert reader.readline().split()[1] == b"200"
            length = 0
            while (line := reader.readline()) != b"\r\n":
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            assert path.endswith(json.loads(reader.read(length))["id"])
