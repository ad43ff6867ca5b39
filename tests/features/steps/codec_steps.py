import contextlib
import io
import json
import pathlib
import subprocess
import sys
import types
import typing

from behave import then
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.transport import TCyMemoryBuffer

from egretcart.connection import agent_messages
from egretcart.connection import cell_types
from egretcart.connection import codec
from egretcart.connection import entry_messages
from egretcart.connection import frames
from egretcart.connection import leader_messages
from egretcart.connection.codec import encode_frame
from egretcart.connection.codec import FrameBuffer
from egretcart.connection.codec import FrameError
from egretcart.connection.codec import MESSAGE_TYPES
from egretcart.connection.entry_messages import EntryBeat
from egretcart.connection.leader_messages import FetchJob

ROOT = pathlib.Path(__file__).resolve().parents[3]
MESSAGE_MODULES = (
    agent_messages,
    cell_types,
    entry_messages,
    leader_messages,
)
I32_FIELDS = {
    "port", "weight", "slots", "connections", "index", "attempt", "state",
    "running", "queued", "task", "cell", "status", "http_port",
}  # fmt: skip
TEXT = st.text(st.characters(codec="utf-8"), max_size=20)


def field_values(field, hint):
    if hint is str:
        return TEXT
    if hint is bytes:
        return st.binary(max_size=40)
    if hint is bool:
        return st.booleans()
    if hint is int:
        bits = 31 if field.name in I32_FIELDS else 63
        return st.integers(-(2**bits), 2**bits - 1)
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        return st.lists(field_values(field, item), max_size=3).map(tuple)
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return st.none() | message_values(typing.get_args(hint)[0])
    return message_values(hint)


def message_values(message_type):
    hints = typing.get_type_hints(message_type)
    return st.builds(
        message_type,
        **{
            field.name: field_values(field, hints[field.name])
            for field in msgspec.structs.fields(message_type)
        },
    )


ANY_MESSAGE = st.one_of([message_values(kind) for kind in MESSAGE_TYPES])


@then("any batch of messages is unchanged by encoding and decoding")
def check_round_trip(context):
    @settings(max_examples=200)
    @given(st.lists(ANY_MESSAGE, max_size=5))
    def holds(batch):
        assert FrameBuffer().feed(encode_frame(batch)) == batch

    holds()


@then("any split of a stream of frames yields the same messages")
def check_splits(context):
    @settings(max_examples=100)
    @given(
        st.lists(st.lists(ANY_MESSAGE, max_size=3), max_size=3),
        st.integers(1, 50),
    )
    def holds(batches, step):
        stream = b"".join(encode_frame(batch) for batch in batches)
        buffer = FrameBuffer()
        received = []
        for start in range(0, len(stream), step):
            received += buffer.feed(stream[start : start + step])
        assert received == [m for batch in batches for m in batch]

    holds()


@then("any garbage bytes are refused with a frame error or ignored")
def check_garbage(context):
    @settings(max_examples=300)
    @given(st.binary(max_size=200))
    def holds(data):
        buffer = FrameBuffer(max_frame_bytes=1024)
        with contextlib.suppress(FrameError):
            buffer.feed(len(data).to_bytes(4, "big") + data)

    holds()


def neighbouring_release(*changes):
    """Return the Thrift module of another release's wire format.

    Each change is a text of the IDL file and its replacement.
    """
    idl = pathlib.Path(codec.__file__).with_name("wire.thrift").read_text()
    for old, new in changes:
        assert old in idl
        idl = idl.replace(old, new, 1)
    name = f"neighbour_{abs(hash(idl))}_thrift"
    return thriftpy2.load_fp(io.StringIO(idl), module_name=name)


def frame_of(release, envelopes):
    transport = TCyMemoryBuffer()
    TCyBinaryProtocol(transport).write_struct(
        release.Frame(messages=envelopes)
    )
    return transport.getvalue()


@then("a frame with unknown fields and messages yields the known ones")
def check_newer(context):
    release = neighbouring_release(
        ("struct FetchJob {", "struct FetchJob { 99: optional string why,"),
        (
            "struct Message {",
            "struct Novelty { 1: optional list<string> words }\n"
            "struct Message {\n  99: optional Novelty novelty",
        ),
    )
    fetch = release.FetchJob(job_id=b"j" * 16, why="a newer reason")
    data = frame_of(
        release,
        [
            release.Message(novelty=release.Novelty(words=["a", "b"])),
            release.Message(fetch_job=fetch),
        ],
    )
    assert codec.decode_frame(data) == [FetchJob(job_id=b"j" * 16)]


@then("a frame without newer fields yields their defaults")
def check_older(context):
    release = neighbouring_release(("  10: optional i64 interval_ms\n", ""))
    beat = release.EntryBeat(config_version=7)
    data = frame_of(release, [release.Message(entry_beat=beat)])
    assert codec.decode_frame(data) == [EntryBeat(config_version=7)]


@then("an older release reads the fields that it knows")
def check_read_by_older(context):
    release = neighbouring_release(("  10: optional i64 interval_ms\n", ""))
    frame = encode_frame([EntryBeat(config_version=7, interval_ms=400)])
    transport = TCyMemoryBuffer(frame[frames.HEADER_BYTES :])
    read = TCyBinaryProtocol(transport).read_struct(release.Frame())
    assert read.messages[0].entry_beat.config_version == 7


def whole_struct(release, message):
    """Return the struct of a message with every field set."""

    def value_of(value):
        if isinstance(value, str):
            return value.encode()
        if isinstance(value, tuple):
            return [value_of(item) for item in value]
        if isinstance(value, msgspec.Struct):
            return whole_struct(release, value)
        return value

    fields = {
        field.name: value_of(getattr(message, field.name))
        for field in msgspec.structs.fields(message)
    }
    return getattr(release, type(message).__name__)(**fields)


@then("a frame with fields at their defaults reads as one without them")
def check_whole_fields(context):
    release = neighbouring_release()

    @settings(max_examples=200)
    @given(ANY_MESSAGE)
    def holds(message):
        field, _ = codec.CODEC.mappers[type(message)]
        envelope = release.Message(**{field: whole_struct(release, message)})
        assert codec.decode_frame(frame_of(release, [envelope])) == [message]

    holds()


@then("an absent field reads as zero, empty or none, except for these")
def check_defaults(context):
    expected = {
        (row["message"], row["field"]): json.loads(row["value"])
        for row in context.table
    }
    found = {}
    kinds = {}
    for module in MESSAGE_MODULES:
        kinds.update(vars(module))
    for name, kind in kinds.items():
        if not (isinstance(kind, type) and issubclass(kind, msgspec.Struct)):
            continue
        for field in msgspec.structs.fields(kind):
            value = getattr(kind(), field.name)
            if value and not isinstance(value, msgspec.Struct):
                found[name, field.name] = value
            elif isinstance(value, msgspec.Struct):
                assert value == type(value)(), (name, field.name)
    assert found == expected, found


@then("the generated module of each IDL file is up to date")
def check_generated_structs(context):
    completed = subprocess.run(
        [sys.executable, ROOT / "tools" / "generate_structs.py", "--check"],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
