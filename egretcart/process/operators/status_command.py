"""The command `status`: every process's version, role, terms and load."""

from collections.abc import Iterable

from egretcart.process.operators.operator_client import collect_reports
from egretcart.process.operators.operator_client import OperatorClient
from egretcart.process.operators.operator_client import ProcessesOverview
from egretcart.process.operators.reports import AgentReport
from egretcart.process.operators.reports import ProcessesReport
from egretcart.process.store.platform import PlatformError

EXIT_OK = 0
EXIT_FAILED = 1


async def print_status(client: OperatorClient) -> int:
    """Print a line for each process and return the exit code.

    It is 1 if a process lags behind the newest version, the store has lost
    versions, or an entry does not answer.
    """
    stored_version = 0
    try:
        current = await client.read_current()
        if current is not None:
            stored_version = current.document.version
    except PlatformError as error:
        print(f"the platform's store gives no answer: {error}")
    overview = await collect_reports(await client.entry_addresses())
    lines, lagging = describe_processes(overview, stored_version)
    for line in lines:
        print(line)
    return EXIT_FAILED if lagging or overview.unreachable else EXIT_OK


def describe_processes(
    overview: ProcessesOverview, stored_version: int
) -> tuple[list[str], int]:
    """Return a line for each process, and the number that lag behind.

    Parameters
    ----------
    overview : ProcessesOverview
    stored_version : int
        Version in the platform's store; 0 if it is not known.

    Returns
    -------
    list of str
    int
        Number of processes whose version is not the newest known; a store
        that has lost versions counts as one more.
    """
    entries = [report.entry for report in overview.reports]
    agents = merge_agent_reports(
        agent for report in overview.reports for agent in report.agents
    )
    newest = max([stored_version, overview.highest_known_version])
    lines = [f"version {newest} is the newest known"]
    lagging = 0
    if any(entry.store_is_behind for entry in entries):
        lagging += 1
        lines.append(
            f"THE STORE HAS LOST VERSIONS: it has {stored_version}; see "
            "`egretcart repair`"
        )
    for report in overview.reports:
        lag = _lag_suffix(report.entry.config_version, newest)
        lagging += bool(lag)
        lines.append(_entry_line(report) + lag)
    for agent in agents:
        lag = _lag_suffix(agent.config_version, newest) if agent.is_led else ""
        lagging += bool(lag)
        lines.append(_agent_line(agent) + lag)
    lines += [
        f"entry at {address}: no answer" for address in overview.unreachable
    ]
    return lines, lagging


def merge_agent_reports(reports: Iterable[AgentReport]) -> list[AgentReport]:
    """Return one report for each agent, sorted by the agents' ids.

    The report of the leader of the agent's cell is returned if there is one,
    and of several leaders that of the highest term.
    """
    merged: dict[str, AgentReport] = {}
    for report in reports:
        known = merged.get(report.agent_id)
        if known is None or (report.is_led, report.term) > (
            known.is_led,
            known.term,
        ):
            merged[report.agent_id] = report
    return [merged[agent_id] for agent_id in sorted(merged)]


def _lag_suffix(version: int, newest: int) -> str:
    return f"  LAGS BY {newest - version}" if version < newest else ""


def _entry_line(report: ProcessesReport) -> str:
    entry = report.entry
    cells = "".join(
        f"  leads {cell.service}/{cell.cell} term {cell.term} "
        f"{cell.phase} {cell.jobs} jobs"
        for cell in entry.cells
    )
    leaving = "  leaving" if entry.leaving else ""
    circuit = report.platform.circuit if report.platform else "none"
    return (
        f"entry {entry.entry_id}  version {entry.config_version}  "
        f"circuit {circuit}{leaving}{cells}"
    )


def _agent_line(agent: AgentReport) -> str:
    if not agent.is_led:
        return f"agent {agent.agent_id}  {agent.service}  no leader"
    draining = "  draining" if agent.draining else ""
    return (
        f"agent {agent.agent_id}  version {agent.config_version}  "
        f"{agent.service}  term {agent.term}  running {agent.running}/"
        f"{agent.slots}  queued {agent.queued}{draining}"
    )
