"""Naive dispatcher, the baseline with which measurements compare egretcart.

A single process dispatches tasks directly to backend servers: in order of
arrival, each to a random backend server with a free slot. It repeats a task
after any error and does not recognize repeated submissions of a job. Callers
submit and cancel jobs as at the HTTP API of an entry.
"""

from collections import deque
import json
import random
import re

import msgspec
import trio

from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.connection.leader_messages import Start
from egretcart.connection.traffic import TrafficCounters
from egretcart.process.cell.wasted_messages import ATTEMPT_MESSAGES
from egretcart.process.cell.wasted_messages import WasteCause
from egretcart.process.metric_table import MESSAGES_WASTED
from egretcart.process.metric_table import STARTS
from egretcart.process.metrics import ProcessMetrics
from egretcart.process.metrics import PROMETHEUS_CONTENT_TYPE
from egretcart.process.settings import NaiveSettings
from egretcart.request.identity import JobId
from egretcart.request.identity import parse_job_id
from egretcart.request.job import Job
from egretcart.request.job import parse_job
from egretcart.request.problem import bad_request
from egretcart.request.problem import Problem
from egretcart.request.reply import complete_reply
from egretcart.request.reply import result_value
from egretcart.request.verdict import Verdict

JOB_PATH = re.compile(r"/v1/services/([^/?]+)/jobs/([^/?]+)")
ATTEMPT_TIMEOUT_S = 10.0
JOB_TIMEOUT_S = 60.0
# Most tasks of a job.
MAX_TASKS = 2000
SUCCESS_STATUSES = range(200, 300)


class NaiveJob:
    """A submission of a job.

    A repeated submission of the same job ID is a separate `NaiveJob`, so that
    the tasks run again.

    Attributes
    ----------
    job : Job
    results : dict of int to msgspec.Raw
        Results of the tasks that have succeeded, by the index of the task.
    ended : trio.Event
        Set when the job is complete or cancelled.
    cancelled : bool
        Whether the job was cancelled or has timed out; its waiting tasks
        are dropped.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.results: dict[int, msgspec.Raw] = {}
        self.ended = trio.Event()
        self.cancelled = False


class NaiveDispatcher:
    """Dispatches tasks to random backend servers, first come, first served.

    Parameters
    ----------
    settings : NaiveSettings

    Attributes
    ----------
    free_slots : list of int
        Number of free slots of each backend server, in the order of the
        settings.
    waiting : deque of (NaiveJob, int)
        Waiting tasks: the submission and the index of the task.
    jobs : dict of bytes to list of NaiveJob
        Unfinished submissions by job ID.
    started : set of (bytes, int)
        Tasks, by job ID and index, that have been started and have not
        failed since. The result of another start of one of them counts as a
        duplicate answer.
    """

    def __init__(self, *, settings: NaiveSettings) -> None:
        self.settings = settings
        self.clients = [
            HttpClient(
                host=backend.host,
                port=backend.port,
                max_connections=settings.connections,
            )
            for backend in settings.backends
        ]
        self.free_slots = [settings.slots] * len(self.clients)
        self.waiting: deque[tuple[NaiveJob, int]] = deque()
        self.jobs: dict[bytes, list[NaiveJob]] = {}
        self.started: set[tuple[bytes, int]] = set()
        self.random = random.Random(0)
        self.traffic = TrafficCounters()
        self.metrics = ProcessMetrics(traffic=self.traffic)
        self.nursery: trio.Nursery

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; report the port once it listens."""
        address = self.settings.http
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(trio.serve_listeners, self._serve, listeners)
            task_status.started(listeners[0].socket.getsockname()[1])

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = HttpConnection(
            stream=stream, handler=self.handle, limits=HttpLimits()
        )
        await connection.serve()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the metrics, or submit or cancel a job."""
        if request.path == "/metrics":
            return HttpResponse(
                body=self.metrics.render(),
                content_type=PROMETHEUS_CONTENT_TYPE,
            )
        match = JOB_PATH.fullmatch(request.path)
        job_id = parse_job_id(match.group(2)) if match else None
        if match is None or job_id is None or job_id.is_err():
            return problem_response(bad_request(f"no job at {request.path!r}"))
        if request.method == "DELETE":
            return self._cancel(job_id.unwrap())
        parsed = parse_job(
            job_id=job_id.unwrap(),
            service=match.group(1),
            body=request.body,
            max_tasks=MAX_TASKS,
        )
        if parsed.is_err():
            return problem_response(bad_request(parsed.unwrap_err()))
        return await self._run_job(NaiveJob(parsed.unwrap()))

    async def _run_job(self, submission: NaiveJob) -> HttpResponse:
        job = submission.job
        submissions = self.jobs.setdefault(job.job_id.value, [])
        submissions.append(submission)
        self.waiting.extend((submission, n) for n in range(len(job.tasks)))
        self._dispatch()
        with trio.move_on_after(JOB_TIMEOUT_S):
            await submission.ended.wait()
        submissions.remove(submission)
        if len(submission.results) < len(job.tasks):
            submission.cancelled = True
            return problem_response(_not_done_problem(job.job_id))
        results = [submission.results[n] for n in range(len(job.tasks))]
        reply = complete_reply(job.job_id, results)
        return HttpResponse(status=reply.status, body=reply.body)

    def _cancel(self, job_id: JobId) -> HttpResponse:
        for submission in self.jobs.get(job_id.value, ()):
            submission.cancelled = True
            submission.ended.set()
        return problem_response(_not_done_problem(job_id))

    def _dispatch(self) -> None:
        while self.waiting:
            if self.waiting[0][0].cancelled:
                self.waiting.popleft()
                continue
            servers = [
                n for n, free_slots in enumerate(self.free_slots) if free_slots
            ]
            if not servers:
                return
            server = self.random.choice(servers)
            self.free_slots[server] -= 1
            submission, index = self.waiting.popleft()
            self.nursery.start_soon(self._attempt, server, submission, index)

    async def _attempt(
        self, server: int, submission: NaiveJob, index: int
    ) -> None:
        job = submission.job
        self.metrics.add(STARTS)
        # An attempt counts as the two messages that a leader and an agent
        # would exchange for it.
        self.traffic.messages[Start] += 1
        self.traffic.messages[TaskResult] += 1
        key = (job.job_id.value, index)
        repeated = key in self.started
        self.started.add(key)
        result: msgspec.Raw | None = None
        try:
            response = await self.clients[server].exchange(
                "POST",
                "/",
                body=job.tasks[index].payload,
                headers=(("Idempotency-Key", f"{job.job_id}/{index}"),),
                time_limit_s=ATTEMPT_TIMEOUT_S,
            )
            if response.status in SUCCESS_STATUSES:
                content_type = response.headers.get("content-type", "")
                result = result_value(response.body, content_type)
        except ExchangeError:
            await trio.lowlevel.checkpoint()
        self.free_slots[server] += 1
        self._handle_attempt_end(submission, index, result, repeated=repeated)
        self._dispatch()

    def _handle_attempt_end(
        self,
        submission: NaiveJob,
        index: int,
        result: msgspec.Raw | None,
        *,
        repeated: bool,
    ) -> None:
        if submission.cancelled:
            self._count_wasted(WasteCause.CANCELLED)
        elif result is None:
            self.started.discard((submission.job.job_id.value, index))
            self._count_wasted(WasteCause.RETRY)
            self.waiting.append((submission, index))
        else:
            if repeated:
                self._count_wasted(WasteCause.DUPLICATE_ANSWER)
            submission.results[index] = result
            if len(submission.results) == len(submission.job.tasks):
                submission.ended.set()

    def _count_wasted(self, cause: WasteCause) -> None:
        self.metrics.add(MESSAGES_WASTED, ATTEMPT_MESSAGES, label=cause.value)


def _not_done_problem(job_id: JobId) -> Problem:
    return Problem(
        status=504,
        title="Not Done",
        detail=f"job {job_id} was cancelled or not done in time",
        verdict=Verdict.MAY_HAVE_RUN,
    )


async def run_naive(settings: NaiveSettings) -> None:
    """Run the naive dispatcher until cancelled; print its HTTP port."""
    dispatcher = NaiveDispatcher(settings=settings)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(dispatcher.run)
        print(json.dumps({"role": "naive", "http_port": port}), flush=True)
