"""Messages about free capacity while tasks wait for it, as typed classes.

Each class mirrors the struct of the same name in wire.thrift.
"""

from typing import Annotated

import msgspec

from egretcart.direct.request.bounds import Amount
from egretcart.direct.request.bounds import Name
from egretcart.direct.request.bounds import Resource
from egretcart.direct.request.job import MAX_TASKS
from egretcart.direct.request.job import Room

TaskCount = Annotated[int, msgspec.Meta(ge=0, le=MAX_TASKS)]


class TasksWaiting(msgspec.Struct, frozen=True, kw_only=True):
    """An entry tells an agent which task it would send next, and how many.

    It replaces the last such message.

    Attributes
    ----------
    count : int
        Number of tasks that wait, up to a bound; 0 if none does.
    priority : int
        Priority of the job's route; 0 is served first.
    time_left_ms : int
        Time until the job's latency objective, in milliseconds; may be
        negative.
    start_within_ms : int
        Time within which the task has to start for its job to be on time,
        in milliseconds; may be negative.
    objective_ms : int
        The job's latency objective, in milliseconds.
    cpu_milli, memory_mb, accelerators : int
        Resources that the task requires; units as in `Room`.
    service_name : str
        Service whose backend servers may run the task; empty from an earlier
        release, and if none waits.
    """

    count: TaskCount = 0
    priority: Amount = 0
    time_left_ms: int = 0
    start_within_ms: int = 0
    objective_ms: Amount = 0
    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0
    service_name: Name = ""

    @property
    def room(self) -> Room:
        """Resources that the task requires."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)


class CapacityOffered(msgspec.Struct, frozen=True, kw_only=True):
    """An agent holds capacity for tasks of an entry for a short time.

    Attributes
    ----------
    number : int
        `RunTasks.offer` and `OfferDeclined.number` repeat it.
    count : int
        Number of tasks.
    cpu_milli, memory_mb, accelerators : int
        Resources that are held for each; units as in `Room`.
    """

    number: Amount = 0
    count: TaskCount = 1
    cpu_milli: Resource = 0
    memory_mb: Resource = 0
    accelerators: Resource = 0

    @property
    def room(self) -> Room:
        """Resources that are held for each task."""
        return Room(self.cpu_milli, self.memory_mb, self.accelerators)


class OfferDeclined(msgspec.Struct, frozen=True, kw_only=True):
    """An entry does not use an offer of an agent, or the rest of it.

    Attributes
    ----------
    number : int
        Number of the offer.
    """

    number: Amount = 0
