"""Sends the tasks of accepted jobs to agents. Free of I/O."""

from collections.abc import Iterable

from egretcart.direct.connection.messages import RunTasks
from egretcart.direct.connection.views import AgentView
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToAgent
from egretcart.direct.entry.waiting_notices import WaitingNotices
from egretcart.direct.entry.waiting_notices import WaitingTasks
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import TasksPlaced
from egretcart.direct.policy.capacity_offers import TickLateness
from egretcart.direct.policy.confinement import Confinement
from egretcart.direct.policy.placement import Placement
from egretcart.direct.policy.placement import PlacementRequest
from egretcart.direct.request.held_job import HeldJob
from egretcart.direct.request.held_job import HeldTask
from egretcart.direct.request.held_job import TaskPhase
from egretcart.direct.request.job import NO_ROOM
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import Step

# Agent, step, run, offer and crash score of tasks that are sent together, and
# whether they may wait there.
PlacedGroup = tuple[str, int, int, int, int, bool]


class TaskSender:
    """Chooses agents for waiting tasks and sends them there.

    Parameters
    ----------
    agents : dict of str to AgentView
        The entry's views of its agents, which the entry keeps updating.
    placement : Placement
    effects : list of EntryEffect
        Where messages are added.
    notices : WaitingNotices
    lateness : TickLateness
        While the entry is behind, it uses no offers.
    confinement : Confinement
        Routes that may use only a part of the agents.
    log : DecisionLog

    Attributes
    ----------
    unplaced : dict of str to WaitingTasks
        The tasks that no agent could begin in the last dispatch, of each
        service that has some.
    offerable : dict of str to WaitingTasks
        Those of them from the first one on that some agent may run. What
        agents are told of must not be a task that none of them may run.
    """

    def __init__(
        self,
        *,
        agents: dict[str, AgentView],
        placement: Placement,
        effects: list[EntryEffect],
        notices: WaitingNotices,
        lateness: TickLateness,
        confinement: Confinement,
        log: DecisionLog,
    ) -> None:
        self.agents = agents
        self.placement = placement
        self.effects = effects
        self.log = log
        self.notices = notices
        self.lateness = lateness
        self.confinement = confinement
        self.unplaced: dict[str, WaitingTasks] = {}
        self.offerable: dict[str, WaitingTasks] = {}

    def dispatch(self, jobs: Iterable[HeldJob], now: float) -> None:
        """Send the waiting tasks of jobs, the most urgent ones first."""
        self.unplaced, self.offerable = {}, {}
        self._place_all([held for held in jobs if any(held.waiting())], now)
        told = {} if self.lateness.is_behind else self.offerable
        self.notices.send(told, now)

    def _place_all(self, waiting: list[HeldJob], now: float) -> None:
        waiting.sort(key=lambda held: held.sort_key(now))
        exhausted_resources: dict[str, list[Room]] = {}
        for held in waiting:
            exhausted = exhausted_resources.setdefault(held.route.service, [])
            self._place(held, exhausted, now)

    def _place(
        self, held: HeldJob, exhausted_resources: list[Room], now: float
    ) -> None:
        """Send the waiting tasks of a job.

        Parameters
        ----------
        held : HeldJob
        exhausted_resources : list of Room
            Resources for which no agent of the job's service accepts another
            task in this dispatch; more are added here.
        now : float
        """
        tasks_by_group: dict[PlacedGroup, list[HeldTask]] = {}
        if held.route.name in self.confinement.routes:
            # What other tasks found is not true of its agents.
            exhausted_resources = []
        for task in list(held.waiting()):
            step = held.job.steps[task.key.step]
            if any(
                step.room.can_fit(resources)
                for resources in exhausted_resources
            ):
                self._record_unplaced(held, step)
                continue
            agent_id = self._choose(held, task, now)
            if agent_id is None:
                self._record_unplaced(held, step)
                if not step.has_agent_constraints:
                    exhausted_resources.append(step.room)
                continue
            held.set_phase(task, TaskPhase.SENT)
            task.agent_id = agent_id
            task.run += 1
            view = self.agents[agent_id]
            has_room = view.free.can_fit(step.room)
            offer = view.use_offer(step.room)
            room = NO_ROOM if offer else step.room
            view.record_sent(room, 1, step.estimate_ms)
            may_wait = not offer and not has_room
            if may_wait:
                self._record_unplaced(held, step)
            group = (
                agent_id,
                task.key.step,
                task.run,
                offer,
                task.crash_score,
                may_wait,
            )
            tasks_by_group.setdefault(group, []).append(task)
        for group, tasks in tasks_by_group.items():
            self._send_tasks(held, group, tasks, now)

    def _record_unplaced(self, held: HeldJob, step: Step) -> None:
        """Record a task of which agents are to be told.

        Most of them must not begin tasks of a confined route.
        """
        if held.route.name in self.confinement.routes:
            return
        service = held.route.service
        unplaced = self.unplaced.get(service)
        if unplaced is None:
            unplaced = self._first_waiting(held, step)
            self.unplaced[service] = unplaced
        unplaced.count += 1
        offerable = self.offerable.get(service)
        if offerable is None and any(
            view.may_run(step, service) for view in self.agents.values()
        ):
            offerable = self._first_waiting(held, step)
            self.offerable[service] = offerable
        if offerable is not None:
            offerable.count += 1

    @staticmethod
    def _first_waiting(held: HeldJob, step: Step) -> WaitingTasks:
        return WaitingTasks(
            order=held.order, step=step, service=held.route.service, count=0
        )

    def _choose(self, held: HeldJob, task: HeldTask, now: float) -> str | None:
        step = held.job.steps[task.key.step]
        step_tasks_by_agent = (
            held.step_tasks_by_agent(task.key.step)
            if step.max_per_agent
            else {}
        )
        request = PlacementRequest(
            step=step,
            service=held.route.service,
            time_left_ms=(held.due_at - now) * 1000,
            may_queue=self.lateness.is_behind,
            rank=held.order.rank(now),
            now=now,
            avoided_agents=frozenset(task.avoided_agents)
            | self.confinement.avoided_agents(held.route.name),
            allowed_agents=self.confinement.allowed_agents(held.route.name),
            step_tasks_by_agent=step_tasks_by_agent,
        )
        return self.placement.choose(request, self.agents.items())

    def _send_tasks(
        self,
        held: HeldJob,
        group: PlacedGroup,
        tasks: list[HeldTask],
        now: float,
    ) -> None:
        agent_id, step_number, run, offer, crash_score, may_wait = group
        step = held.job.steps[step_number]
        view = self.agents[agent_id]
        indexes = tuple(task.key.index for task in tasks)
        message = RunTasks(
            sequence=view.sequence,
            job_id=held.job.job_id,
            step=step_number,
            indexes=indexes,
            run=run,
            payload=held.job.payload,
            cpu_milli=step.room.cpu_milli,
            memory_mb=step.room.memory_mb,
            accelerators=step.room.accelerators,
            estimate_ms=round(step.estimate_ms),
            priority=held.route.priority,
            time_left_ms=round((held.due_at - now) * 1000),
            max_per_agent=step.max_per_agent,
            may_wait=may_wait,
            offer=offer,
            objective_ms=round(held.objective_ms),
            crash_score=crash_score,
            service_name=held.route.service,
            requires=step.requires,
        )
        self.effects.append(SendToAgent(agent_id, message))
        self.log.write(
            TasksPlaced(
                job_id=held.job.job_id,
                step=step_number,
                indexes=indexes,
                run=run,
                agent=agent_id,
                free_cpu_milli=view.free.cpu_milli,
                queued=view.queued,
                pace_percent=view.status.pace_percent,
                status_age_ms=round((now - view.status_at) * 1000),
                offer=offer,
            )
        )
