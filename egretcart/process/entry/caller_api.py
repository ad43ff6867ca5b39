"""HTTP API of an entry for callers: submit, read and cancel jobs."""

from collections.abc import Callable
from collections.abc import Iterable
import re

import msgspec
import trio

from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.connection.http_server import problem_response
from egretcart.process.clock import Clock
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.pending import CANCEL
from egretcart.process.entry.pending import READ
from egretcart.process.entry.pending import SUBMIT
from egretcart.process.metric_table import HTTP_REQUESTS
from egretcart.process.metric_table import JOBS
from egretcart.process.metric_table import REFUSALS
from egretcart.process.metric_table import RESPONSE_TIME
from egretcart.process.metrics import Metrics
from egretcart.process.operators.operator_api import HEALTH_PATH
from egretcart.process.operators.operator_api import HEALTHY_BODY
from egretcart.process.operators.operator_api import OperatorApi
from egretcart.request.identity import parse_job_id
from egretcart.request.media_types import JSON_MEDIA_TYPE
from egretcart.request.problem import bad_request
from egretcart.request.problem import PROBLEM_MEDIA_TYPE
from egretcart.request.problem import problem_verdict
from egretcart.request.problem import unavailable
from egretcart.request.reply import problem_reply
from egretcart.request.reply import Reply
from egretcart.request.verdict import Verdict

JOB_PATH = re.compile(r"/v1/services/([^/?]+)/jobs/([^/?]+)")
ACTION_OF_METHOD = {"PUT": SUBMIT, "GET": READ, "DELETE": CANCEL}
MIN_ERROR_STATUS = 400
# Time after which callers may resubmit jobs that a shutdown has interrupted.
SHUTDOWN_RETRY_AFTER_S = 0.2


class CallerApi:
    """Answers callers over HTTP, and operators if they share the address.

    Parameters
    ----------
    entry : Entry
    apply_effects : callable
        Applies the entry's effects.
    metrics : Metrics
    clock : Clock
    operators : OperatorApi or None
        None if operators have an address of their own.

    Attributes
    ----------
    replies : dict of int to Reply
        Replies that the waiting connection has not read yet, by request
        number.
    waiters : dict of int to trio.Event
        Events set when the reply to a request arrives, by request number.
    stopping : bool
        Whether the process is shutting down; it is not ready then.
    """

    def __init__(
        self,
        *,
        entry: Entry,
        apply_effects: Callable[[Iterable[EntryEffect]], None],
        metrics: Metrics,
        clock: Clock,
        operators: OperatorApi | None,
    ) -> None:
        self.entry = entry
        self.operators = operators
        self.apply_effects = apply_effects
        self.metrics = metrics
        self.clock = clock
        self.replies: dict[int, Reply] = {}
        self.waiters: dict[int, trio.Event] = {}
        self.stopping = False

    def deliver_reply(self, request_id: int, reply: Reply) -> None:
        """Pass a reply to the connection that waits for it."""
        self.replies[request_id] = reply
        waiter = self.waiters.get(request_id)
        if waiter is not None:
            waiter.set()

    def fail_waiting_requests(self) -> None:
        """Answer all waiting callers with the verdict `MAY_HAVE_RUN`."""
        problem = unavailable(
            "this entry has ended before the job was done; submit the same "
            "id to another",
            verdict=Verdict.MAY_HAVE_RUN,
            retry_after_s=SHUTDOWN_RETRY_AFTER_S,
        )
        for request_id in list(self.waiters):
            self.deliver_reply(request_id, problem_reply(problem))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one HTTP request."""
        self.metrics.add(HTTP_REQUESTS, label=request.method)
        path = request.path.partition("?")[0]
        job_path = JOB_PATH.fullmatch(path)
        if job_path is not None:
            return await self._handle_job(
                request, job_path.group(1), job_path.group(2)
            )
        if self.operators is not None and self.operators.handles_path(path):
            return await self.operators.handle(request)
        if request.method != "GET":
            return problem_response(
                bad_request(f"no {request.method} of {path}", status=404)
            )
        if path == HEALTH_PATH:
            return HttpResponse(body=HEALTHY_BODY)
        if path == "/readyz":
            return self._readiness()
        return problem_response(
            bad_request(f"there is nothing at {path!r}", status=404)
        )

    async def _handle_job(
        self, request: HttpRequest, service: str, job_id_text: str
    ) -> HttpResponse:
        """Pass a request about a job to the entry and wait for the reply."""
        action = ACTION_OF_METHOD.get(request.method)
        if action is None:
            return problem_response(
                bad_request(
                    f"method {request.method}; accepted are "
                    f"{sorted(ACTION_OF_METHOD)}",
                    status=405,
                )
            )
        job_id = parse_job_id(job_id_text)
        if job_id.is_err():
            return problem_response(bad_request(job_id.unwrap_err()))
        began_at = self.clock.monotonic()
        request_id, effects = self.entry.request(
            action, service, job_id.unwrap(), request.body
        )
        waiter = trio.Event()
        self.waiters[request_id] = waiter
        try:
            self.apply_effects(effects)
            await waiter.wait()
            reply = self.replies.pop(request_id)
        finally:
            del self.waiters[request_id]
            self.entry.caller_gone(request_id)
        if action == SUBMIT:
            self._count_submission(reply, self.clock.monotonic() - began_at)
        is_error = reply.status >= MIN_ERROR_STATUS
        return HttpResponse(
            status=reply.status,
            body=reply.body,
            content_type=PROBLEM_MEDIA_TYPE if is_error else JSON_MEDIA_TYPE,
            retry_after_s=reply.retry_after_s,
        )

    def _count_submission(self, reply: Reply, elapsed_s: float) -> None:
        """Count a submission by the outcome of its reply."""
        if reply.status < MIN_ERROR_STATUS:
            self.metrics.add(JOBS, label="complete")
            self.metrics.observe(RESPONSE_TIME, elapsed_s)
            return
        verdict = problem_verdict(reply.body)
        outcome = "refused" if verdict is Verdict.NOT_RUN else "failed"
        self.metrics.add(JOBS, label=outcome)
        self.metrics.add(REFUSALS, label=verdict.value)

    def _readiness(self) -> HttpResponse:
        """Report whether the entry is ready: status 200, else 503."""
        ready = (
            not self.stopping
            and self.entry.has_settled
            and self.entry.configuration.version > 0
            and not self.entry.directory.leaving
        )
        return HttpResponse(
            status=200 if ready else 503,
            body=msgspec.json.encode({"ready": ready}),
        )
