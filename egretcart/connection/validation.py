"""Checks of received messages before the decision logic handles them."""

from collections.abc import Callable
import ipaddress
from typing import Any

from egretcart.connection.agent_messages import AgentHello
from egretcart.connection.agent_messages import FenceReply
from egretcart.connection.agent_messages import LedgerReply
from egretcart.connection.agent_messages import TaskResult
from egretcart.connection.entry_address import EntryAddress
from egretcart.connection.entry_messages import EntryHello
from egretcart.connection.entry_messages import EntryList
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.connection.leader_messages import FetchJob
from egretcart.connection.leader_messages import LedgerQuery
from egretcart.connection.leader_messages import Start
from egretcart.connection.messages import Message

JOB_ID_BYTES = 16
MAX_NAME_CHARACTERS = 256
MAX_SLOTS = 100_000
MAX_PORT = 65535
ACTIONS = ("submit", "read", "cancel")
OUTCOMES = ("answered", "not_leader")
VERDICTS = ("not_run", "may_have_run", "ran")
# Values of `egretcart.process.agent.ledger.RecordState`.
RECORD_STATES = (1, 2, 3)
HTTP_STATUSES = range(100, 600)


def _is_name(text: str) -> bool:
    return 0 < len(text) <= MAX_NAME_CHARACTERS


def _check_agent_hello(hello: AgentHello) -> str | None:
    if not _is_name(hello.agent_id) or not _is_name(hello.service_name):
        return "an agent without a name or service"
    if not 0 < hello.slots <= MAX_SLOTS or hello.connections < 1:
        return f"{hello.slots} slots, {hello.connections} connections"
    return None


def _check_address(address: EntryAddress) -> str | None:
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        return f"{address.host!r} is not an IP address"
    if not 0 < address.port <= MAX_PORT:
        return f"port {address.port}"
    if not _is_name(address.entry_id) or address.weight < 1:
        return "an entry without a name or weight"
    return None


def _check_entry_hello(hello: EntryHello) -> str | None:
    return _check_address(hello.address)


def _check_entry_list(message: EntryList) -> str | None:
    for address in message.entries:
        violation = _check_address(address)
        if violation is not None:
            return violation
    return None


def _check_job_id(job_id: bytes) -> str | None:
    if len(job_id) != JOB_ID_BYTES:
        return f"a job id of {len(job_id)} bytes"
    return None


def _check_records(reply: FenceReply | LedgerReply) -> str | None:
    for record in reply.records:
        if len(record.job_id) != JOB_ID_BYTES:
            return _check_job_id(record.job_id)
        for task in record.tasks:
            if task.state not in RECORD_STATES or task.index < 0:
                return f"a record of task {task.index}, state {task.state}"
    return None


def _check_task_result(result: TaskResult) -> str | None:
    if result.verdict not in VERDICTS:
        return f"verdict {result.verdict!r}"
    if result.task < 0:
        return f"task {result.task}"
    return _check_job_id(result.job_id)


def _check_forward(forward: Forward) -> str | None:
    if forward.action not in ACTIONS:
        return f"action {forward.action!r}"
    return _check_job_id(forward.job_id)


def _check_forward_reply(reply: ForwardReply) -> str | None:
    if reply.outcome not in OUTCOMES:
        return f"outcome {reply.outcome!r}"
    if reply.status not in HTTP_STATUSES:
        return f"status {reply.status}"
    return None


def _check_start(start: Start) -> str | None:
    if start.task < 0:
        return f"task {start.task}"
    return _check_job_id(start.job_id)


def _check_ledger_query(query: LedgerQuery) -> str | None:
    for job_id in query.job_ids:
        if len(job_id) != JOB_ID_BYTES:
            return _check_job_id(job_id)
    return None


def _check_fetch_job(fetch: FetchJob) -> str | None:
    return _check_job_id(fetch.job_id)


CHECK_BY_TYPE: dict[type, Callable[[Any], str | None]] = {
    AgentHello: _check_agent_hello,
    EntryHello: _check_entry_hello,
    EntryList: _check_entry_list,
    FenceReply: _check_records,
    LedgerReply: _check_records,
    LedgerQuery: _check_ledger_query,
    TaskResult: _check_task_result,
    Forward: _check_forward,
    ForwardReply: _check_forward_reply,
    Start: _check_start,
    FetchJob: _check_fetch_job,
}


def find_violation(message: Message) -> str | None:
    """Return what is invalid in a message, or None.

    Parameters
    ----------
    message : Message

    Returns
    -------
    str or None
        The invalid value; None if the message is valid or its class has no
        check.
    """
    check = CHECK_BY_TYPE.get(type(message))
    return check(message) if check is not None else None
