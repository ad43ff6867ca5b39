"""Backend server in simulated time that checks the requests it receives.

It accepts the request types of `egretcart.direct.backend.backend`, so tests
and embedders of `egretcart.direct` can use it whatever protocol their backend
servers speak.
"""

from collections.abc import Callable
import dataclasses
import math

from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import BackendReport
from egretcart.direct.backend.backend import EndedTask
from egretcart.direct.backend.backend import Listing
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import RunningTask
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey

# A request extends the lease by no more than this time from now on.
MAX_LEASE_MS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSize:
    """Actual resources, run time and outcome of a task.

    Entries and agents know only the caller's estimates.

    Attributes
    ----------
    room : Room
        Resources that the task uses.
    work_ms : float
        Run time on a server of speed 1, in milliseconds.
    fails : bool
        Whether the task fails at its end.
    crashes_after_ms : float
        Part of its work after which the server crashes, in milliseconds;
        infinite if it doesn't.
    """

    room: Room
    work_ms: float
    fails: bool = False
    crashes_after_ms: float = math.inf


@dataclasses.dataclass(kw_only=True, slots=True)
class FakeRun:
    """A run in progress.

    Attributes
    ----------
    run : int
        Number of the run; each further run of the same task has a higher
        one.
    size : TaskSize
        Actual size and outcome of the task.
    completed_ms : float
        Part of the task's `work_ms` that is done, in milliseconds.
    """

    run: int
    size: TaskSize
    completed_ms: float = 0.0


class FakeBackend:
    """Runs tasks under a lease; time passes only in `advance`.

    Parameters
    ----------
    instance : str
        Name of the backend server, the same in all of its incarnations.
    service : str
        Service whose tasks it runs.
    capacity : Room
        Resources for all of its runs together.
    behaviour_of : callable
        Returns the `TaskSize` of the task with a given key.
    labels : tuple of str, optional
        Labels in its reports, which jobs can require.
    speed : float, optional
        A task with 10 ms of work runs for 5 ms at speed 2.

    Attributes
    ----------
    limit : Room
        Capacity by which starts are checked; the reported one unless that
        has shrunk a moment ago.
    fails_all : bool
        Whether all runs fail at their end.
    hangs : bool
        Whether runs make no progress.
    draining : bool
        Whether its reports say that it is about to shut down.
    reports_times : bool
        Whether its reports say when it leaves and how long it is cold.
    leaves_at_ms : float or None
        Earliest time on its clock at which it leaves; None if it stays.
    cold_ms : float
        Time from a restart on for which it is cold, in milliseconds.
    cold_speed : float
        Factor of its speed while it is cold.
    is_up : bool
        False from a crash until the restart.
    clock_rate : float
        Rate of its clock relative to simulated time; below 1 for a slow
        clock, such as 0.98.
    violations : list of str
        Descriptions of the starts that exceeded its capacity, which a
        correct agent never requests.
    crashed_by : list of TaskKey
        Tasks that have crashed it, in order, over all incarnations.
    started : list of (TaskKey, int)
        All tasks and numbers of the runs that were started, in order, over
        all incarnations.
    born_ms : int
        Start of the current incarnation, in milliseconds of Unix time.
    clock_ms : float
        Its clock, in milliseconds since the start of the incarnation.
    lease_ms : float
        End of the lease on its clock, in milliseconds; runs are lost when
        the clock passes it.
    token : int
        Highest fencing token received by the incarnation; 0 before the
        first.
    sequence : int
        Number of the last report of the incarnation; 0 before the first.
    runs : dict of TaskKey to FakeRun
        Runs in progress.
    highest_run : dict of TaskKey to int
        Highest number of a run that was started or stopped for each task.
    ended : list of EndedTask
        Ended runs that have not been acknowledged.
    ended_count : int
        Number of runs that have ended in the incarnation.
    """

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        capacity: Room,
        behaviour_of: Callable[[TaskKey], TaskSize],
        labels: tuple[str, ...] = (),
        speed: float = 1.0,
    ) -> None:
        self.instance = instance
        self.service = service
        self.capacity = self.limit = capacity
        self.behaviour_of = behaviour_of
        self.labels = labels
        self.speed = speed
        self.clock_rate = 1.0
        self.fails_all = False
        self.hangs = False
        self.draining = False
        self.reports_times = True
        self.leaves_at_ms: float | None = None
        self.cold_ms = 0.0
        self.cold_speed = 1.0
        self.is_up = True
        self.violations: list[str] = []
        self.crashed_by: list[TaskKey] = []
        self.started: list[tuple[TaskKey, int]] = []
        self.born_ms = 0
        self.restart(born_ms=1)

    def restart(self, *, born_ms: int) -> None:
        """Start a new incarnation without any state of the former one."""
        self.born_ms = born_ms
        self.is_up = True
        self.clock_ms = 0.0
        self.leaves_at_ms = None
        self.lease_ms = 0.0
        self.token = 0
        self.sequence = 0
        self.runs: dict[TaskKey, FakeRun] = {}
        self.highest_run: dict[TaskKey, int] = {}
        self.ended: list[EndedTask] = []
        self.ended_count = 0

    def crash(self) -> None:
        """End the current incarnation and all of its runs."""
        self.is_up = False
        self.runs.clear()

    @property
    def lifetime(self) -> BackendIncarnation:
        """The current incarnation."""
        return BackendIncarnation(self.instance, self.born_ms)

    def report(self) -> BackendReport:
        """Return the next report of its state."""
        self.sequence += 1
        return BackendReport(
            lifetime=self.lifetime,
            service=self.service,
            capacity=self.capacity,
            labels=self.labels,
            draining=self.draining,
            leaves_in_ms=self._leaves_in_ms(),
            cold_for_ms=self._cold_for_ms(),
            clock_ms=int(self.clock_ms),
            sequence=self.sequence,
        )

    def _leaves_in_ms(self) -> int | None:
        if self.leaves_at_ms is None or not self.reports_times:
            return None
        return max(0, int(self.leaves_at_ms - self.clock_ms))

    def _cold_for_ms(self) -> int:
        if not self.reports_times:
            return 0
        return max(0, int(self.cold_ms - self.clock_ms))

    def advance(self, ms: float) -> bool:
        """Advance time by some milliseconds; return whether a run has ended.

        All runs are lost when the clock passes the end of the lease, and when
        one of them crashes the server.
        """
        if not self.is_up:
            return False
        before = self.ended_count
        self.clock_ms += ms * self.clock_rate
        if self.runs and self.clock_ms > self.lease_ms:
            for key in list(self.runs):
                self._end(key, Ending.LOST)
        for key, run in list(self.runs.items()):
            if self.hangs:
                continue
            is_cold = self.clock_ms <= self.cold_ms
            factor = self.cold_speed if is_cold else 1.0
            run.completed_ms += ms * self.speed * factor
            if run.completed_ms >= run.size.crashes_after_ms:
                self.crashed_by.append(key)
                self.crash()
                return False
            if run.completed_ms >= run.size.work_ms:
                failed = self.fails_all or run.size.fails
                self._end(key, Ending.FAILED if failed else Ending.DONE)
        return self.ended_count > before

    def _end(self, key: TaskKey, ending: Ending) -> None:
        run = self.runs.pop(key)
        self.ended_count += 1
        self.ended.append(
            EndedTask(
                number=self.ended_count, key=key, run=run.run, ending=ending
            )
        )

    def _is_stale_request(
        self, lifetime: BackendIncarnation, token: int
    ) -> bool:
        """Return whether a request is stale, and record its token if not."""
        if token < self.token or lifetime.instance != self.instance:
            return True
        self.token = token
        return False

    def _extend_lease(self, deadline_ms: int | None) -> None:
        """Extend the lease to a deadline on its clock, or not for None."""
        if deadline_ms is not None:
            longest = self.clock_ms + MAX_LEASE_MS
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def start(self, request: StartRequest) -> StartAnswer:
        """Start a run unless the request is stale or late.

        A run that exceeds the capacity is started as well, and recorded as
        a violation.
        """
        if request.lifetime.instance != self.instance:
            return StartAnswer.OTHER_LIFETIME
        if self._is_stale_request(request.lifetime, request.fencing_token):
            return StartAnswer.STALE_TOKEN
        if request.deadline_ms < self.clock_ms:
            return StartAnswer.TOO_LATE
        self._extend_lease(request.deadline_ms)
        run = self.runs.get(request.key)
        if run is not None and run.run == request.run:
            return StartAnswer.STARTED
        if request.run <= self.highest_run.get(request.key, 0):
            return StartAnswer.STALE_RUN
        size = self.behaviour_of(request.key)
        used = sum((run.size.room for run in self.runs.values()), NO_ROOM)
        if not self.limit.can_fit(used + size.room):
            self.violations.append(
                f"{request.key} on top of {used} exceeds the capacity"
            )
        self.highest_run[request.key] = request.run
        self.runs[request.key] = FakeRun(run=request.run, size=size)
        self.started.append((request.key, request.run))
        return StartAnswer.STARTED

    def stop(self, request: StopRequest) -> None:
        """Stop a run; if it has not been started yet, it never starts.

        A stale request is ignored.
        """
        if self._is_stale_request(request.lifetime, request.fencing_token):
            return
        highest_run = self.highest_run.get(request.key, 0)
        self.highest_run[request.key] = max(highest_run, request.run)
        run = self.runs.get(request.key)
        if run is not None and run.run == request.run:
            self._end(request.key, Ending.STOPPED)

    def poll(self, request: PollRequest) -> Listing | None:
        """Extend the lease, drop acknowledged ended runs and list the rest.

        Returns
        -------
        Listing or None
            None if the request is stale.
        """
        if self._is_stale_request(request.lifetime, request.fencing_token):
            return None
        self._extend_lease(request.deadline_ms)
        self.ended = [
            ended
            for ended in self.ended
            if ended.number > request.acknowledged
        ]
        return Listing(
            clock_ms=int(self.clock_ms),
            born_ms=self.born_ms,
            running=tuple(
                RunningTask(
                    key=key,
                    run=run.run,
                    percent=int(100 * run.completed_ms / run.size.work_ms),
                )
                for key, run in self.runs.items()
            ),
            ended=tuple(self.ended),
        )
