"""The wire protocol of direct dispatch: codec, sizes, message checks."""

import typing
from typing import Any

from egretcart.connection.frames import FrameCodec
from egretcart.connection.peer_link import LinkProtocol
from egretcart.direct.connection import messages
from egretcart.direct.connection import wire_structs
from egretcart.direct.connection.messages import AgentHello
from egretcart.direct.connection.messages import EntryHello
from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.messages import TaskEnded
from egretcart.direct.connection.offer_messages import CapacityOffered
from egretcart.direct.connection.offer_messages import TasksWaiting
from egretcart.direct.connection.peer_messages import JobReleased
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import JobState
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.version.drained_domains import DrainedDomains

MESSAGE_OVERHEAD_BYTES = 256
MAX_NAME_CHARACTERS = 256
ENDINGS = frozenset(ending.value for ending in Ending)
STATES = frozenset(("", *(state.value for state in JobState)))


def message_bytes(message: Any) -> int:
    """Return the approximate memory that a message takes, in bytes."""
    if isinstance(message, RunTasks):
        return MESSAGE_OVERHEAD_BYTES + len(message.payload)
    return MESSAGE_OVERHEAD_BYTES


def find_violation(message: Any) -> str | None:
    """Return what is wrong with a received message, or None."""
    if isinstance(message, EntryHello):
        name = message.entry_id
    elif isinstance(message, AgentHello):
        name = message.status.agent_id
    else:
        name = "-"
    if not 0 < len(name) <= MAX_NAME_CHARACTERS:
        return f"the name has {len(name)} characters"
    if isinstance(message, TaskEnded) and message.ending not in ENDINGS:
        return f'unknown ending "{message.ending}"'
    if isinstance(message, JobReleased) and message.state not in STATES:
        return f'unknown state "{message.state}"'
    if isinstance(message, RunTasks) and (
        not message.job_id or message.run < 1 or not message.indexes
    ):
        return f'invalid tasks of job "{message.job_id}", run {message.run}'
    if isinstance(message, TasksWaiting | CapacityOffered) and not (
        message.room.can_fit(NO_ROOM)
    ):
        return f"invalid resources {message.room}"
    if isinstance(message, DrainedDomains):
        return _find_drain_violation(message)
    return None


def _find_drain_violation(message: DrainedDomains) -> str | None:
    if message.revision < 1:
        return f"drained failure domains at revision {message.revision}"
    for domain in message.domains:
        if not 0 < len(domain) <= MAX_NAME_CHARACTERS:
            return f"a failure domain's name has {len(domain)} characters"
    return None


DIRECT_PROTOCOL = LinkProtocol(
    codec=FrameCodec(
        structs=wire_structs,
        message_types=typing.get_args(messages.Message),
    ),
    message_bytes=message_bytes,
    find_violation=find_violation,
)
