"""Bounds of what callers, servers, operators and other processes send.

A hint beyond its bound, such as an estimate, counts as the bound. Any other
value out of bounds makes its message invalid. All times in these bounds, and
differences of them, fit into the 32 bits that messages have for them.
"""

from typing import Annotated

import msgspec

from egretcart.connection.entry_address import HOST_PATTERN
from egretcart.connection.entry_address import MAX_PORT

MAX_NAME_CHARACTERS = 256
MAX_LABELS = 64
MAX_RESOURCE = 2**31 - 1
# A day.
MAX_ESTIMATE_MS = 86_400_000
# A week. It bounds objectives and chains of tasks, and for how long a caller
# waits or a server says that it is cold or stays.
MAX_SPAN_MS = 604_800_000
# The largest integer that every implementation of JSON represents exactly.
MAX_COUNTER = 2**53 - 1

Amount = Annotated[int, msgspec.Meta(ge=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]
Host = Annotated[str, msgspec.Meta(pattern=HOST_PATTERN)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Resource = Annotated[int, msgspec.Meta(ge=0, le=MAX_RESOURCE)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
# Visible ASCII characters: the name is sent in a header.
InstanceName = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,128}\Z")]
Labels = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_LABELS)]


def limited_span_ms(span_ms: float) -> float:
    """Return a time in milliseconds, limited to 0 and `MAX_SPAN_MS`."""
    return min(max(span_ms, 0), MAX_SPAN_MS)
