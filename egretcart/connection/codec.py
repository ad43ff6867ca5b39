"""The codec of the messages in `egretcart.connection.messages`."""

from collections.abc import Sequence
import typing

from egretcart.connection import messages
from egretcart.connection import wire_structs
from egretcart.connection.frames import FrameCodec
from egretcart.connection.frames import FrameError
from egretcart.connection.frames import FrameSplitter
from egretcart.connection.frames import MAX_FRAME_BYTES
from egretcart.connection.messages import Message

__all__ = [
    "CODEC",
    "MESSAGE_TYPES",
    "FrameBuffer",
    "FrameError",
    "decode_frame",
    "encode_frame",
]

MESSAGE_TYPES: tuple[type, ...] = typing.get_args(messages.Message)
CODEC = FrameCodec(structs=wire_structs, message_types=MESSAGE_TYPES)


def encode_frame(batch: Sequence[Message]) -> bytes:
    """Return one frame with a batch of messages in order."""
    return CODEC.encode(batch)


def decode_frame(data: bytes) -> list[Message]:
    """Return the messages of one frame's data, or raise `FrameError`."""
    return CODEC.decode(data)


class FrameBuffer(FrameSplitter):
    """Splits a byte stream into frames and decodes their messages."""

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        super().__init__(codec=CODEC, max_frame_bytes=max_frame_bytes)
