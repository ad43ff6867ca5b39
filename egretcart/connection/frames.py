"""Frames of messages between processes, encoded with Thrift.

A frame is a length, a checksum and a Thrift struct with a list of messages.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
import re
import typing
from typing import Any

import msgspec
from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.thrift import TType
from thriftpy2.transport import TCyMemoryBuffer
import xxhash

LENGTH_BYTES = 4
CHECKSUM_BYTES = 8
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_KEPT_FRAME_BYTES = 256
INTEGER_BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}


class FrameError(ValueError):
    """A peer has sent bytes that are not a valid frame."""


def _field_name(message_type: type) -> str:
    words = re.findall("[A-Z][a-z]*", message_type.__name__)
    return "_".join(words).lower()


def _nested_type(
    annotation: Any,
) -> tuple[type[msgspec.Struct] | None, bool]:
    """Return an annotation's message class, and whether it is repeated.

    The class is None if the annotation contains none.
    """
    for argument in typing.get_args(annotation):
        nested, _ = _nested_type(argument)
        if nested is not None:
            return nested, typing.get_origin(annotation) is tuple
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        return annotation, False
    return None, False


def _integer_ranges(
    struct: Any, bounds: dict[str, msgspec.Meta]
) -> dict[str, tuple[int, int]]:
    """Return the least and the most value of a struct's integer fields.

    Lists of integers are among these.

    Parameters
    ----------
    struct : Thrift struct
    bounds : dict of str to msgspec.Meta
        Declared bounds of fields; others have those of their Thrift type.
    """
    ranges: dict[str, tuple[int, int]] = {}
    for field in struct.thrift_spec.values():
        kind, name, item_kind = field[:3]
        bits = INTEGER_BITS.get(item_kind if kind == TType.LIST else kind)
        if bits is None:
            continue
        least, most = -(1 << (bits - 1)), (1 << (bits - 1)) - 1
        declared = bounds.get(name)
        if declared is not None and declared.ge is not None:
            least = max(least, int(declared.ge))
        if declared is not None and declared.le is not None:
            most = min(most, int(declared.le))
        ranges[name] = (least, most)
    return ranges


def _declared_bounds(message_type: type) -> dict[str, msgspec.Meta]:
    """Return the bounds with which a message class annotates its fields."""
    hints = typing.get_type_hints(message_type, include_extras=True)
    return {
        name: meta
        for name, hint in hints.items()
        for meta in getattr(hint, "__metadata__", ())
        if isinstance(meta, msgspec.Meta)
    }


def _integer_reader(name: str, bounds: msgspec.Meta) -> Callable[[int], int]:
    """Return a check of received integers against declared bounds."""
    least = -math.inf if bounds.ge is None else bounds.ge
    most = math.inf if bounds.le is None else bounds.le

    def read(value: int) -> int:
        if least <= value <= most:
            return value
        raise ValueError(f"{name} is {value}; {least} to {most} are accepted")

    return read


def _length_reader(
    name: str, bounds: msgspec.Meta, convert: Callable[[Any], Any]
) -> Callable[[Any], Any]:
    """Return a conversion that checks the length and form of its result."""
    most = math.inf if bounds.max_length is None else bounds.max_length
    pattern = re.compile(bounds.pattern or "")

    def read(value: Any) -> Any:
        converted = convert(value)
        if len(converted) > most:
            raise ValueError(
                f"{name} has {len(converted)} elements; at most {most} are "
                "accepted"
            )
        if bounds.pattern and not pattern.search(converted):
            raise ValueError(f"{name} is {converted!r:.80}")
        return converted

    return read


class _StructMapper:
    """Converts messages of one class to Thrift structs and back.

    A field that has its default value is omitted from the struct; the
    receiver restores the default. An integer beyond the range of its field is
    sent as the nearest value in the range, so that every message can be sent.
    A class can annotate its fields with narrower bounds; a message beyond
    these is not accepted.
    """

    def __init__(
        self, message_type: type[msgspec.Struct], structs: Any
    ) -> None:
        self.message_type = message_type
        self.struct = getattr(structs, message_type.__name__)
        hints = typing.get_type_hints(message_type)
        defaults = message_type()
        self.bounds = _declared_bounds(message_type)
        ranges = _integer_ranges(self.struct, self.bounds)
        # The message's fields, grouped by the conversion that their values
        # need: each with its name, and with its default unless the default
        # is empty. An integer and a sequence of them also have their least
        # and most value, a nested field the mapper of its class, and whether
        # it is a sequence of messages.
        self.plain: list[tuple[str, Any]] = []
        self.integers: list[tuple[str, int, int, int]] = []
        self.text: list[tuple[str, str]] = []
        self.sequences: list[str] = []
        self.integer_sequences: list[tuple[str, int, int]] = []
        self.text_sequences: list[str] = []
        self.nested: list[tuple[str, Any, _StructMapper, bool]] = []
        for name in message_type.__struct_fields__:
            default = getattr(defaults, name)
            nested, is_repeated = _nested_type(hints[name])
            if nested is not None:
                mapper = _StructMapper(nested, structs)
                self.nested.append((name, default, mapper, is_repeated))
            elif hints[name] is str:
                self.text.append((name, default))
            elif hints[name] is int:
                self.integers.append((name, default, *ranges[name]))
            elif typing.get_origin(hints[name]) is tuple:
                item = typing.get_args(hints[name])[0]
                if item is int:
                    self.integer_sequences.append((name, *ranges[name]))
                elif item is str:
                    self.text_sequences.append(name)
                else:
                    self.sequences.append(name)
            else:
                self.plain.append((name, default))
        self.readers = self._make_readers()

    def to_struct(self, message: Any) -> Any:
        struct = self.struct()
        for name, default in self.plain:
            value = getattr(message, name)
            if value != default:
                setattr(struct, name, value)
        for name, default in self.text:
            value = getattr(message, name)
            if value != default:
                setattr(struct, name, value.encode())
        self._set_integers(struct, message)
        self._set_sequences(struct, message)
        for name, default, mapper, is_repeated in self.nested:
            value = getattr(message, name)
            if value == default:
                continue
            if is_repeated:
                setattr(struct, name, [mapper.to_struct(v) for v in value])
            else:
                setattr(struct, name, mapper.to_struct(value))
        return struct

    def _set_integers(self, struct: Any, message: Any) -> None:
        for name, default, least, most in self.integers:
            value = getattr(message, name)
            if value != default:
                if not least <= value <= most:
                    value = min(max(value, least), most)
                setattr(struct, name, value)

    def _set_sequences(self, struct: Any, message: Any) -> None:
        for name in self.sequences:
            value = getattr(message, name)
            if value:
                setattr(struct, name, list(value))
        for name, least, most in self.integer_sequences:
            value = getattr(message, name)
            if value:
                nearest = [min(max(item, least), most) for item in value]
                setattr(struct, name, nearest)
        for name in self.text_sequences:
            value = getattr(message, name)
            if value:
                setattr(struct, name, [text.encode() for text in value])

    def from_struct(self, struct: Any) -> Any:
        values: dict[str, Any] = {}
        for name, value in vars(struct).items():
            if value is not None:
                convert = self.readers[name]
                values[name] = convert(value) if convert else value
        return self.message_type(**values)

    def _make_readers(self) -> dict[str, Callable[[Any], Any] | None]:
        """Return the conversion of each field from its Thrift value."""
        readers: dict[str, Callable[[Any], Any] | None] = {}
        readers.update((name, None) for name, _ in self.plain)
        readers.update((name, None) for name, *_ in self.integers)
        readers.update((name, bytes.decode) for name, _ in self.text)
        readers.update((name, tuple) for name in self.sequences)
        readers.update((name, tuple) for name, *_ in self.integer_sequences)
        readers.update((name, _decode_texts) for name in self.text_sequences)
        for name, _, mapper, is_repeated in self.nested:
            readers[name] = (
                mapper.from_structs if is_repeated else mapper.from_struct
            )
        for name, bounds in self.bounds.items():
            convert = readers[name]
            readers[name] = (
                _integer_reader(name, bounds)
                if convert is None
                else _length_reader(name, bounds, convert)
            )
        return readers

    def from_structs(self, structs: Iterable[Any]) -> tuple[Any, ...]:
        return tuple(self.from_struct(struct) for struct in structs)


def _decode_texts(texts: Iterable[bytes]) -> tuple[str, ...]:
    return tuple(text.decode() for text in texts)


class FrameCodec:
    """Encodes and decodes the messages of one protocol.

    Parameters
    ----------
    structs : module
        The protocol's Thrift structs; ``Message`` has one field for each
        message class, ``Frame`` has a list of ``Message``.
    message_types : tuple of type
        Subclasses of `msgspec.Struct`; each has the name of its struct.

    Attributes
    ----------
    last_single : object
        Message of the last small frame that had only one; None at first.
    last_single_frame : bytes
        That frame. A heartbeat is sent to many processes at a time.
    """

    def __init__(
        self, *, structs: Any, message_types: tuple[type[msgspec.Struct], ...]
    ) -> None:
        self.structs = structs
        self.mappers = {
            message_type: (
                _field_name(message_type),
                _StructMapper(message_type, structs),
            )
            for message_type in message_types
        }
        self.mappers_by_field = dict(self.mappers.values())
        self.last_single: Any = None
        self.last_single_frame = b""

    def encode(self, batch: Sequence[Any]) -> bytes:
        """Return one frame with a batch of messages in order.

        Parameters
        ----------
        batch : sequence of messages

        Returns
        -------
        bytes
            Length, checksum and Thrift binary data.
        """
        if len(batch) != 1:
            return self._encode(batch)
        if batch[0] is self.last_single:
            return self.last_single_frame
        frame = self._encode(batch)
        if len(frame) <= MAX_KEPT_FRAME_BYTES:
            self.last_single = batch[0]
            self.last_single_frame = frame
        return frame

    def _encode(self, batch: Sequence[Any]) -> bytes:
        envelopes = []
        for message in batch:
            field, mapper = self.mappers[type(message)]
            envelope = self.structs.Message()
            setattr(envelope, field, mapper.to_struct(message))
            envelopes.append(envelope)
        transport = TCyMemoryBuffer()
        protocol = TCyBinaryProtocol(transport)
        protocol.write_struct(self.structs.Frame(messages=envelopes))
        data = transport.getvalue()
        length = len(data).to_bytes(LENGTH_BYTES, "big")
        return length + xxhash.xxh3_64_digest(data) + data

    def decode(self, data: bytes) -> list[Any]:
        """Return the messages of one frame's data.

        Parameters
        ----------
        data : bytes
            Thrift binary data, without length and checksum.

        Returns
        -------
        list of messages
            Messages of types unknown to this release are skipped.

        Raises
        ------
        FrameError
            If the data is not a valid frame, or a field is out of bounds.
        """
        try:
            protocol = TCyBinaryProtocol(
                TCyMemoryBuffer(data), decode_response=False
            )
            frame = protocol.read_struct(self.structs.Frame())
            return list(self._messages_of(frame))
        except Exception as error:
            raise FrameError(
                f"{len(data)} bytes are not a valid frame: {error!r}"
            ) from error

    def _messages_of(self, frame: Any) -> Iterable[Any]:
        for envelope in frame.messages or ():
            for field, struct in vars(envelope).items():
                if struct is not None:
                    yield self.mappers_by_field[field].from_struct(struct)
                    break


class FrameSplitter:
    """Splits a byte stream into frames and decodes their messages.

    Parameters
    ----------
    codec : FrameCodec
    max_frame_bytes : int
        Limit of the length of a frame's data. A longer frame is rejected
        as soon as its header has arrived, before its data is stored.
    """

    def __init__(
        self, *, codec: FrameCodec, max_frame_bytes: int = MAX_FRAME_BYTES
    ) -> None:
        self.codec = codec
        self.max_frame_bytes = max_frame_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Add received bytes and return the messages that are now complete.

        Raises
        ------
        FrameError
            If a frame is too long, has a wrong checksum or is not valid.
        """
        received: list[Any] = []
        if not self.buffer:
            # Most receptions are whole frames, which need no copy.
            end = self._take_frames(data, received)
            self.buffer += data[end:]
            return received
        self.buffer += data
        if len(self.buffer) < HEADER_BYTES:
            return received
        if len(self.buffer) >= HEADER_BYTES + self._data_bytes(self.buffer, 0):
            del self.buffer[: self._take_frames(bytes(self.buffer), received)]
        return received

    def _take_frames(self, data: bytes, received: list[Any]) -> int:
        """Decode the whole frames at the start of some data.

        Their messages are added to `received`; the end of the last whole
        frame is returned.
        """
        start = 0
        while len(data) - start >= HEADER_BYTES:
            end = start + HEADER_BYTES + self._data_bytes(data, start)
            if len(data) < end:
                break
            checksum_start = start + LENGTH_BYTES
            frame_data = data[start + HEADER_BYTES : end]
            if (
                xxhash.xxh3_64_digest(frame_data)
                != data[checksum_start : start + HEADER_BYTES]
            ):
                raise FrameError(
                    f"a frame of {len(frame_data)} bytes has a wrong checksum"
                )
            received += self.codec.decode(frame_data)
            start = end
        return start

    def _data_bytes(self, data: bytes | bytearray, start: int) -> int:
        """Return the length of the data of a frame, from its header."""
        length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
        if length > self.max_frame_bytes:
            raise FrameError(
                f"a frame of {length} bytes was announced; at most "
                f"{self.max_frame_bytes} are accepted"
            )
        return length
