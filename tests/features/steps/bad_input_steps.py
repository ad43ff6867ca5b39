import json

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from processes import Deployment
from raw_http import chunked
from raw_http import exchange
from raw_http import job
from raw_http import put
from raw_http import SERVICE_PATH

from egretcart.request.identity import new_job_id


@given("an entry whose ports are open")
def open_ports(context):
    if "open_entry" not in context:
        deployment = Deployment(1, 1)
        context._set_root_attribute("open_entry", deployment)
        context.add_cleanup(deployment.close, layer="testrun")
    context.deployment = context.open_entry
    ready = context.deployment.entries[0].ready
    context.http_port = ready["http_port"]
    context.peer_port = ready["peer_port"]


def bad_inputs():
    too_many_tasks = json.dumps({"tasks": [{"payload": 1}] * 10_001}).encode()
    chunk = b"100000\r\n" + b" " * 0x100000 + b"\r\n"
    unknown_service_path = f"/v1/services/none/jobs/{new_job_id()}"
    return {
        "a malformed request line": b"NONSENSE\r\n\r\n",
        "an oversized header": put(b"", headers=["X: " + "y" * 70_000]),
        "an oversized body": put(b" " * (17 << 20)),
        "an endless chunked body": chunked(chunk * 17),
        "a broken chunk": chunked(b"zz\r\n"),
        "half a body and end of file": put(job())[:-5],
        "a path that is not UTF-8": b"GET /\xff HTTP/1.1\r\nHost: x\r\n\r\n",
        "an unknown method": put(job()).replace(b"PUT", b"POST", 1),
        "a job id that is no UUID": put(job(), path=f"{SERVICE_PATH}/x"),
        "a body that is not JSON": put(b"\xff{"),
        "a body nested too deeply": put(
            b'{"tasks": [{"payload": ' + b"[" * 9999 + b"]" * 9999 + b"}]}"
        ),
        "an unknown field": put(job(colour="red")),
        "more tasks than are allowed": put(too_many_tasks),
        "no tasks": put(b'{"tasks": []}'),
        "an unknown service": put(job(), path=unknown_service_path),
    }


@when("a connection sends {name}")
def send_bad_input(context, name):
    context.reply = exchange(
        context.http_port,
        bad_inputs()[name],
        half_close=name.startswith("half"),
    )


@then("it gets status {status:d} with verdict not_run")
def check_refusal(context, status):
    assert context.reply is not None, "closed without an answer"
    found, document = context.reply
    assert found == status, context.reply
    assert document["verdict"] == "not_run"
    assert document["detail"]


@then("a good job is still answered")
def check_good_job(context):
    status, answer = exchange(context.http_port, put(job()))
    assert status == 200, answer
    assert answer["results"] == [{"echo": "x"}]


@when("connections send bytes that Hypothesis makes up")
def fuzz_bytes(context):
    good = put(job(), path=f"{SERVICE_PATH}/{new_job_id()}")

    @settings(max_examples=60)
    @for_all(
        st.binary(max_size=200),
        st.integers(0, len(good)),
        st.integers(0, len(good)),
    )
    def send(noise, start, end):
        data = good[:start] + noise + good[end:]
        exchange(context.http_port, data, half_close=True)

    send()


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(codec=None))
    | st.sampled_from([10**400, "\ud800", ""]),
    lambda values: (
        st.lists(values, max_size=3)
        | st.dictionaries(st.text(max_size=5), values, max_size=3)
    ),
    max_leaves=5,
)
OPTIONS = ("team", "urgency", "idempotent", "deadline_ms", "x")
DOCUMENTS = st.fixed_dictionaries(
    {"tasks": st.lists(st.fixed_dictionaries({"payload": JSON_VALUES}))},
    optional=dict.fromkeys(OPTIONS, JSON_VALUES),
)


@when("callers send documents that Hypothesis makes up")
def fuzz_documents(context):
    @settings(max_examples=80)
    @for_all(DOCUMENTS | JSON_VALUES)
    def send(document):
        body = json.dumps(document).encode()
        reply = exchange(context.http_port, put(body))
        assert reply is not None, body
        status, answer = reply
        assert status == 200 or answer["verdict"], reply

    send()
