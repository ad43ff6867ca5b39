"""Records of the decisions of agents; see `egretcart.direct.log.decisions`."""

from egretcart.direct.log.decisions import Decision

# State of a backend server that gets no tasks for what it does.
SUSPECT_STATE = "suspect"
FOREIGN_REPORT_STATE = "foreign report"


class RunStarted(Decision, frozen=True, kw_only=True):
    """An agent requests the start of a run from its backend server.

    Attributes
    ----------
    entry : str
        Id of the entry that has sent the task.
    waited_ms : int
        Time that the task has waited at the agent.
    free_cpu_milli : int
        Capacity that is left free, in thousandths of a processor.
    """

    job_id: str
    step: int
    index: int
    run: int
    entry: str
    waited_ms: int
    free_cpu_milli: int


class RunEnded(Decision, frozen=True, kw_only=True):
    """A run has ended at an agent.

    Attributes
    ----------
    ending : str
        Value of an `Ending`.
    run_ms : int
        Time since the start of the run, or since the agent received the
        task if it has not started.
    reason : str
        Why it ended like that; may be empty.
    """

    job_id: str
    step: int
    index: int
    run: int
    ending: str
    run_ms: int
    reason: str


class OfferUnused(Decision, frozen=True, kw_only=True):
    """Capacity that an agent had offered to an entry is free again.

    Attributes
    ----------
    entry : str
    cause : str
        ``declined``, ``expired``, or why the entry is lost.
    held_ms : int
        Time for which it was held.
    """

    entry: str
    cause: str
    held_ms: int


class RunUnanswered(Decision, frozen=True, kw_only=True):
    """A request to start or stop a run got no answer.

    Attributes
    ----------
    order : str
        ``start`` or ``stop``.
    """

    job_id: str
    step: int
    index: int
    run: int
    order: str


class BackendChanged(Decision, frozen=True, kw_only=True):
    """The state of a backend server changes, as its agent knows it.

    Attributes
    ----------
    instance : str
        Name of the backend server; empty if none is known.
    state : str
        ``found``, ``answering``, ``suspect``, ``trusted``, ``draining``,
        ``lease lapsed`` or ``gone``; or ``foreign report``, which another
        writer has sent.
    cause : str
        What led to the change; of ``suspect`` a value of `Suspicion`.
    answer_age_ms : int
        Time since the backend server's last answer.
    labels : tuple of str
        Labels of the backend server, its rack among them.
    service : str
        Service that it runs; empty if no server is known.
    """

    instance: str
    state: str
    cause: str
    answer_age_ms: int = 0
    labels: tuple[str, ...] = ()
    service: str = ""


class BackendCrashed(Decision, frozen=True, kw_only=True):
    """A backend server has ended without an announcement.

    Attributes
    ----------
    instance : str
        Name of the backend server.
    cause : str
        How that was noticed.
    answer_age_ms : int
        Time since its last answer.
    runs : int
        Number of runs that have ended with it.
    suspects : int
        Number of those that the crash counts against in full.
    last_started : tuple of str
        The last started of these runs, with their ages and entries.
    """

    instance: str
    cause: str
    answer_age_ms: int
    runs: int
    suspects: int
    last_started: tuple[str, ...]


class DrainApplied(Decision, frozen=True, kw_only=True):
    """An agent begins or ends to refuse tasks, as its domain is drained.

    Attributes
    ----------
    domain : str
        The agent's failure domain.
    drained : bool
    revision : int
        Revision of the platform's store of what the agent knows.
    source : str
        Who has told it.
    queued : int
        Tasks in its queue, which it rejects as not run.
    running : int
        Runs that go on.
    """

    domain: str
    drained: bool
    revision: int
    source: str
    queued: int
    running: int
