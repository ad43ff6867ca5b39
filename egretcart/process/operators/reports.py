"""Reports for operators on entries, agents and calls to the store."""

import msgspec

from egretcart.process.entry.entry import Entry
from egretcart.process.store.platform_guard import CallGuard


class CellReport(msgspec.Struct, frozen=True, kw_only=True):
    """A cell that an entry leads.

    Attributes
    ----------
    service : str
    cell : int
        Index of the cell within its service.
    term : int
        Counter of the leader's term.
    phase : str
        Value of a `egretcart.process.cell.leadership.Phase`.
    jobs : int
        Jobs that the leader manages in this cell.
    """

    service: str
    cell: int
    term: int
    phase: str
    jobs: int


class EntryReport(msgspec.Struct, frozen=True, kw_only=True):
    """The state of the reporting entry itself.

    Attributes
    ----------
    entry_id : str
    config_version : int
        Version of its active configuration.
    highest_heard : int
        Highest configuration version that the entry knows of, also from
        messages of other processes; 0 if it knows of none.
    store_is_behind : bool
        Whether the store has lost versions that were accepted.
    leaving : bool
        Whether the entry is shutting down.
    cells : tuple of CellReport
        Cells that the entry leads.
    """

    entry_id: str
    config_version: int
    highest_heard: int = 0
    store_is_behind: bool = False
    leaving: bool
    cells: tuple[CellReport, ...]


class PeerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry, as the reporting entry knows it.

    Attributes
    ----------
    entry_id : str
    config_version : int
        Version of its active configuration, from its last heartbeat; 0 if
        none has come.
    http_host : str
        Host of its HTTP API for operators.
    http_port : int
        Port of that API.
    """

    entry_id: str
    config_version: int
    http_host: str
    http_port: int


class AgentReport(msgspec.Struct, frozen=True, kw_only=True):
    """An agent, as the reporting entry knows it.

    Attributes
    ----------
    agent_id, service, failure_domain : str
    slots : int
    config_version : int
        Version of the configuration that the agent knows, from its last
        heartbeat reply; 0 where `is_led` is false.
    term : int
        Counter of the term that the agent has promised, from the same
        reply; 0 where `is_led` is false.
    running, queued : int
        Number of tasks that run, and that wait, at the agent, from the same
        reply; 0 where `is_led` is false.
    draining : bool
        Whether the agent accepts no new starts, from the same reply; from
        the agent's hello where `is_led` is false.
    is_led : bool
        Whether the reporting entry leads the agent's cell and has received
        a heartbeat reply of the agent.
    """

    agent_id: str
    service: str
    failure_domain: str
    slots: int
    config_version: int = 0
    term: int = 0
    running: int = 0
    queued: int = 0
    draining: bool = False
    is_led: bool = False


class PlatformReport(msgspec.Struct, frozen=True, kw_only=True):
    """Counters of an entry's calls to the platform's store.

    Attributes
    ----------
    circuit : str
        State of the circuit breaker, the value of a
        `egretcart.process.store.platform_calls.Circuit`.
    calls : int
        Number of calls that were admitted since the start of the entry,
        retries included.
    failures : int
        Number of calls without a usable answer since the start.
    retries : int
        Number of retries that were granted since the start.
    refused : int
        Number of calls that were not admitted since the start.
    """

    circuit: str
    calls: int
    failures: int
    retries: int
    refused: int


class ProcessesReport(msgspec.Struct, frozen=True, kw_only=True):
    """All processes that an entry knows.

    Attributes
    ----------
    entry : EntryReport
        The reporting entry.
    peers : tuple of PeerReport
        Other entries.
    agents : tuple of AgentReport
        Connected agents.
    platform : PlatformReport or None
        None if the entry has no guard of its calls to the store.
    """

    entry: EntryReport
    peers: tuple[PeerReport, ...]
    agents: tuple[AgentReport, ...]
    platform: PlatformReport | None = None


def report_processes(entry: Entry, guard: CallGuard | None) -> ProcessesReport:
    """Return an entry's report on all processes and on the store."""
    return ProcessesReport(
        platform=_report_platform(guard) if guard is not None else None,
        entry=_report_entry(entry),
        peers=tuple(
            PeerReport(
                entry_id=entry_id,
                config_version=peer.config_version,
                http_host=peer.address.http_host,
                http_port=peer.address.http_port,
            )
            for entry_id, peer in sorted(entry.directory.peers.items())
        ),
        agents=tuple(
            _report_agent(entry, agent_id) for agent_id in sorted(entry.agents)
        ),
    )


def report_status(entry: Entry) -> dict[str, object]:
    """Return an entry's cells, agents, peers and waiting callers."""
    return {
        "entry_id": entry.address.entry_id,
        "config_version": entry.configuration.version,
        "agents": sorted(entry.agents),
        "peers": sorted(entry.directory.peers),
        "waiting_callers": len(entry.pending),
        "leading": [
            {
                "service": cell.service,
                "cell": cell.index,
                "term": leadership.term.counter,
                "phase": leadership.phase.value,
                "jobs": len(leadership.job_manager.jobs),
                "roster_version": leadership.quorum.roster.version,
                "members": len(leadership.quorum.roster.members),
            }
            for cell, leadership in sorted(entry.leaderships.items())
        ],
    }


def _report_platform(guard: CallGuard) -> PlatformReport:
    return PlatformReport(
        circuit=guard.circuit.value,
        calls=guard.calls,
        failures=guard.failures,
        retries=guard.retries,
        refused=guard.refused,
    )


def _report_entry(entry: Entry) -> EntryReport:
    cells = tuple(
        CellReport(
            service=cell.service,
            cell=cell.index,
            term=leadership.term.counter,
            phase=leadership.phase.value,
            jobs=len(leadership.job_manager.jobs),
        )
        for cell, leadership in sorted(entry.leaderships.items())
    )
    return EntryReport(
        entry_id=entry.address.entry_id,
        config_version=entry.configuration.version,
        highest_heard=entry.sync.highest_known_version,
        store_is_behind=entry.sync.store_is_behind,
        leaving=entry.directory.leaving,
        cells=cells,
    )


def _report_agent(entry: Entry, agent_id: str) -> AgentReport:
    hello = entry.agents[agent_id]
    report = AgentReport(
        agent_id=agent_id,
        service=hello.service_name,
        failure_domain=hello.failure_domain,
        slots=hello.slots,
        draining=hello.draining,
    )
    heartbeat = entry.agent_heartbeats.get(agent_id)
    # An entry that no longer leads the cell gets no newer heartbeat replies,
    # so the last one that it has is out of date.
    is_led = entry.cell_index.cells.get(agent_id) in entry.leaderships
    if heartbeat is None or not is_led:
        return report
    return msgspec.structs.replace(
        report,
        config_version=heartbeat.config_version,
        term=heartbeat.term.counter,
        running=heartbeat.running,
        queued=heartbeat.queued,
        draining=heartbeat.draining,
        is_led=True,
    )
