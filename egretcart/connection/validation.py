"""Checks of what other processes say, before the decision logic sees it."""

from collections.abc import Callable
import ipaddress
from typing import Any

from egretcart.connection.messages import AgentHello
from egretcart.connection.messages import EntryAddress
from egretcart.connection.messages import EntryHello
from egretcart.connection.messages import EntryList
from egretcart.connection.messages import FenceReply
from egretcart.connection.messages import FetchJob
from egretcart.connection.messages import Forward
from egretcart.connection.messages import ForwardReply
from egretcart.connection.messages import LedgerQuery
from egretcart.connection.messages import LedgerReply
from egretcart.connection.messages import Message
from egretcart.connection.messages import Start
from egretcart.connection.messages import TaskResult

JOB_ID_BYTES = 16
MAX_NAME_CHARACTERS = 256
MAX_SLOTS = 100_000
MAX_PORT = 65535
ACTIONS = ("submit", "read", "cancel")
OUTCOMES = ("answered", "not_leader")
VERDICTS = ("not_run", "may_have_run", "ran")
RECORD_STATES = (1, 2, 3)
STATUSES = range(100, 600)


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARACTERS


def _agent_hello(hello: AgentHello) -> str | None:
    if not _is_name(hello.agent_id) or not _is_name(hello.service_name):
        return "an agent without a name or service"
    if not 0 < hello.slots <= MAX_SLOTS or hello.connections < 1:
        return f"{hello.slots} slots, {hello.connections} connections"
    return None


def _address(address: EntryAddress) -> str | None:
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        return f"{address.host!r} is no IP number"
    if not 0 < address.port <= MAX_PORT:
        return f"port {address.port}"
    if not _is_name(address.entry_id) or address.weight < 1:
        return "an entry without a name or weight"
    return None


def _entry_hello(hello: EntryHello) -> str | None:
    return _address(hello.address)


def _entry_list(message: EntryList) -> str | None:
    for address in message.entries:
        fault = _address(address)
        if fault is not None:
            return fault
    return None


def _job_id(job_id: bytes) -> str | None:
    if len(job_id) != JOB_ID_BYTES:
        return f"a job id of {len(job_id)} bytes"
    return None


def _records(reply: FenceReply | LedgerReply) -> str | None:
    for record in reply.records:
        if len(record.job_id) != JOB_ID_BYTES:
            return _job_id(record.job_id)
        for task in record.tasks:
            if task.state not in RECORD_STATES or task.index < 0:
                return f"a record of task {task.index}, state {task.state}"
    return None


def _task_result(result: TaskResult) -> str | None:
    if result.verdict not in VERDICTS:
        return f"verdict {result.verdict!r}"
    if result.task < 0:
        return f"task {result.task}"
    return _job_id(result.job_id)


def _forward(forward: Forward) -> str | None:
    if forward.action not in ACTIONS:
        return f"action {forward.action!r}"
    return _job_id(forward.job_id)


def _forward_reply(reply: ForwardReply) -> str | None:
    if reply.outcome not in OUTCOMES:
        return f"outcome {reply.outcome!r}"
    if reply.status not in STATUSES:
        return f"status {reply.status}"
    return None


def _start(start: Start) -> str | None:
    if start.task < 0:
        return f"task {start.task}"
    return _job_id(start.job_id)


def _ledger_query(query: LedgerQuery) -> str | None:
    for job_id in query.job_ids:
        if len(job_id) != JOB_ID_BYTES:
            return _job_id(job_id)
    return None


def _fetch_job(fetch: FetchJob) -> str | None:
    return _job_id(fetch.job_id)


CHECKS: dict[type, Callable[[Any], str | None]] = {
    AgentHello: _agent_hello,
    EntryHello: _entry_hello,
    EntryList: _entry_list,
    FenceReply: _records,
    LedgerReply: _records,
    LedgerQuery: _ledger_query,
    TaskResult: _task_result,
    Forward: _forward,
    ForwardReply: _forward_reply,
    Start: _start,
    FetchJob: _fetch_job,
}


def find_fault(message: Message) -> str | None:
    """Return what is wrong with a message, or None.

    Parameters
    ----------
    message : Message

    Returns
    -------
    str or None
        The value found.
    """
    check = CHECKS.get(type(message))
    return check(message) if check is not None else None
