"""The policies that a cell's leader uses, and its service's configuration."""

import dataclasses
import fnmatch
import random

from egretcart.process.policy.admission import Admission
from egretcart.process.policy.admission import BoundedWaitAdmission
from egretcart.process.policy.estimates import MovingAverageEstimator
from egretcart.process.policy.estimates import RunTimeEstimator
from egretcart.process.policy.health import Health
from egretcart.process.policy.health import OutlierEjection
from egretcart.process.policy.hedging import BudgetedHedging
from egretcart.process.policy.hedging import Hedging
from egretcart.process.policy.ordering import FairTaskQueue
from egretcart.process.policy.ordering import TaskQueue
from egretcart.process.policy.placement import EarliestCompletionPlacement
from egretcart.process.policy.placement import Placement
from egretcart.process.policy.retries import BudgetedRetries
from egretcart.process.policy.retries import Retries
from egretcart.request.job import Job
from egretcart.version.document import Configuration
from egretcart.version.document import Kind
from egretcart.version.document import Service

MS_PER_S = 1000


class ServiceConfigLookup:
    """Look-ups in the configuration of one service.

    Attributes
    ----------
    configuration : Configuration
    service : Service
    kinds : dict of str to Kind
        Cached configurations of kinds, by name.
    allowed : dict of str to bool
        Cached results of `allows`, by agent id.
    """

    def __init__(self) -> None:
        self.configuration = Configuration()
        self.service = Service(name="unknown")
        self.kinds: dict[str, Kind] = {}
        self.allowed: dict[str, bool] = {}

    def configure(self, configuration: Configuration, service: str) -> None:
        """Apply a configuration from now on."""
        found = configuration.find_service(service)
        self.configuration = configuration
        self.service = found if found is not None else Service(name=service)
        self.kinds.clear()
        self.allowed.clear()

    def find_kind(self, name: str) -> Kind:
        """Return a kind's configuration."""
        kind = self.kinds.get(name)
        if kind is None:
            kind = self.kinds[name] = self.service.find_kind(name)
        return kind

    def attempt_limit_s(self, kind: str) -> float:
        """Return the time limit of an attempt at a kind's task, in seconds."""
        return self.find_kind(kind).attempt_limit_ms / MS_PER_S

    @property
    def longest_attempt_limit_s(self) -> float:
        """Longest time limit of an attempt at any task, in seconds.

        0 if no kind is configured.
        """
        kinds = self.service.kinds
        return max(
            (kind.attempt_limit_ms / MS_PER_S for kind in kinds), default=0.0
        )

    def may_hedge(self, job: Job, task: int) -> bool:
        """Return whether two attempts at a task may run at the same time."""
        return job.idempotent and self.find_kind(job.tasks[task].kind).hedge

    def allows(self, agent_id: str) -> bool:
        """Return whether the service may use an agent."""
        allowed = self.allowed.get(agent_id)
        if allowed is None:
            allowed = self.allowed[agent_id] = any(
                fnmatch.fnmatchcase(agent_id, pattern)
                for pattern in self.service.backends
            )
        return allowed


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """The scheduling and fault policies that one cell's leader uses.

    Attributes
    ----------
    service_config : ServiceConfigLookup
    run_time_estimator : RunTimeEstimator
    task_queue : TaskQueue
        Orders the waiting tasks.
    placement : Placement
        Chooses the agent of each task.
    admission : Admission
        Accepts or refuses new jobs.
    retries : Retries
    hedging : Hedging
    health : Health
        Ejects agents whose tasks fail.
    """

    service_config: ServiceConfigLookup
    run_time_estimator: RunTimeEstimator
    task_queue: TaskQueue
    placement: Placement
    admission: Admission
    retries: Retries
    hedging: Hedging
    health: Health

    def configure(
        self, configuration: Configuration, service: str, *, slots: int
    ) -> None:
        """Apply a configuration to a cell with a number of slots."""
        self.service_config.configure(configuration, service)
        self.admission.configure(configuration, service)
        self.hedging.configure(self.service_config.service.hedge)
        self.health.configure(self.service_config.service.ejection)
        self.resize(slots)

    def resize(self, slots: int) -> None:
        """Apply a changed number of slots of the cell."""
        cells = self.service_config.service.cells
        self.task_queue.configure(
            self.service_config.configuration, slots=slots, cells=cells
        )
        self.retries.configure(self.service_config.service.retry, slots)


def standard_policy(*, rng: random.Random) -> Policy:
    """Return the policy that a leader uses.

    Parameters
    ----------
    rng : random.Random
        Spreads the times at which refused callers are asked to return.

    Returns
    -------
    Policy
    """
    service_config = ServiceConfigLookup()
    run_time_estimator = MovingAverageEstimator(
        find_kind=service_config.find_kind
    )
    task_queue = FairTaskQueue()
    return Policy(
        service_config=service_config,
        run_time_estimator=run_time_estimator,
        task_queue=task_queue,
        placement=EarliestCompletionPlacement(
            run_time_estimator=run_time_estimator
        ),
        admission=BoundedWaitAdmission(
            task_queue=task_queue,
            run_time_estimator=run_time_estimator,
            rng=rng,
        ),
        retries=BudgetedRetries(),
        hedging=BudgetedHedging(),
        health=OutlierEjection(),
    )
