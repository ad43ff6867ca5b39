"""Values out of bounds, as callers, servers and processes may send them."""

import json

from egretcart.connection.frames import FrameCodec
from egretcart.direct.connection import wire_structs

ANY_32_BITS = (-(2**31), 2**31 - 1)
STEP = {"count": 2, "cpu": 1600, "memMb": 64, "estMs": 100}
NESTED = b"[" * 5000 + b"]" * 5000
REPORT = {
    "service": "s",
    "state": "ready",
    "capacity": {"cpu": 1, "memMb": 1},
    "seq": 1,
    "clockMs": 1,
    "born": 1,
}


def unbounded_frame(message):
    """Return a frame with a message whose bounds are not checked."""
    kind = type(message)
    encoder = FrameCodec(structs=wire_structs, message_types=(kind,))
    mapper = encoder.mappers[kind][1]
    for used in (mapper, *(nested[2] for nested in mapper.nested)):
        used.integers = [
            (name, default, *ANY_32_BITS)
            for name, default, *_ in used.integers
        ]
    return encoder.encode([message])


def bad_jobs(host):
    """Yield requests with jobs whose values are far off or impossible."""
    headers = {"Host": host}
    for number, values in enumerate(
        (
            '{"estMs":1800000000}',
            '{"estMs":1e300}',
            '{"antiAffinity":4000000000}',
            '{"cpu":1000000000000000000000000}',
            '{"count":-1}',
        )
    ):
        step = json.dumps(STEP)[:-1] + "," + values[1:]
        body = f'{{"spec":"s","steps":[{step}],"bestEffort":true}}'
        yield "POST", f"/queue/{number:016x}", body.encode(), headers
    long_wait = {**headers, "Timeout-Ms": "9" * 5000}
    body = json.dumps({"spec": "s", "steps": [STEP], "bestEffort": True})
    yield "POST", "/queue/" + "e" * 16, body.encode(), long_wait
    yield "POST", "/queue/" + "f" * 16, NESTED, headers
    yield "POST", "/queue/" + "f" * 16, b"\xff{", headers


def bad_reports():
    """Yield requests with reports that name no server to use."""
    for values in (
        '{"capacity":{"cpu":1000000000000,"memMb":1}}',
        '{"coldLeftMs":10000000000000000000000000,"born":1}',
        '{"clockMs":10000000000000000000000000}',
    ):
        body = json.dumps(REPORT)[:-1] + "," + values[1:]
        yield "PUT", "/runners/i-9", body.encode(), {}
    yield "PUT", "/runners/i-%C3%A9", json.dumps(REPORT).encode(), {}
    yield "PUT", "/runners/i-9", NESTED, {}
    yield "PUT", "/runners/i-9", b"\xff{", {}
