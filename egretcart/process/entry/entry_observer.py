"""Metrics and state change log of an entry's process."""

from egretcart.connection.agent_messages import AgentMessage
from egretcart.connection.agent_messages import HeartbeatReply
from egretcart.connection.entry_messages import Forward
from egretcart.connection.entry_messages import ForwardReply
from egretcart.connection.leader_messages import Heartbeat
from egretcart.process.cell.effects import SendToAgent
from egretcart.process.cell.wasted_messages import WasteCause
from egretcart.process.cell.wasted_messages import WastedMessageCounter
from egretcart.process.entry.entry import Entry
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendToPeer
from egretcart.process.entry.entry_effects import WriteCellRoster
from egretcart.process.logs import EventLog
from egretcart.process.metric_table import AGENTS_CONNECTED
from egretcart.process.metric_table import HEARTBEAT_TIME
from egretcart.process.metric_table import MESSAGES_WASTED
from egretcart.process.metric_table import PLATFORM_VERSIONS_BEHIND
from egretcart.process.metric_table import REQUESTS_OPEN
from egretcart.process.metric_table import ROSTER_CHANGES
from egretcart.process.metric_table import STATE_CHANGES
from egretcart.process.metric_table import TAKEOVERS
from egretcart.process.metrics import Metrics
from egretcart.process.transitions import EntryState
from egretcart.process.transitions import find_state_changes
from egretcart.process.transitions import state_of
from egretcart.process.transitions import StateChangeKind
from egretcart.request.reply import ReplyOutcome


class EntryObserver:
    """Updates metrics and the log from an entry's effects and messages.

    Parameters
    ----------
    entry : Entry
    metrics : Metrics
    log : EventLog

    Attributes
    ----------
    state : EntryState
        State of the entry at the last check for changes.
    wasted_messages : WastedMessageCounter
        Counts messages between this entry's leaderships and the agents.
    forwarded_request_ids : set of int
        Numbers of forwarded requests that wait for their reply; includes
        answered ones until the next check for changes.
    sent_rounds : dict of str to tuple of int and float
        Newest round sent to each agent by a heartbeat, and the monotonic
        time of sending in seconds, by agent id.
    """

    def __init__(
        self, *, entry: Entry, metrics: Metrics, log: EventLog
    ) -> None:
        self.entry = entry
        self.metrics = metrics
        self.log = log
        self.state = EntryState()
        self.wasted_messages = WastedMessageCounter(count=self._count_wasted)
        self.forwarded_request_ids: set[int] = set()
        self.sent_rounds: dict[str, tuple[int, float]] = {}
        metrics.gauge(AGENTS_CONNECTED, lambda: len(entry.agents))
        metrics.gauge(REQUESTS_OPEN, lambda: len(entry.pending))
        metrics.gauge(
            PLATFORM_VERSIONS_BEHIND, lambda: entry.sync.versions_behind
        )

    def record_effect(self, effect: EntryEffect) -> None:
        """Record an effect before it is applied."""
        if isinstance(effect, SendToAgent):
            self.wasted_messages.sent(effect.agent_id, effect.message)
            if isinstance(effect.message, Heartbeat) and effect.message.round:
                sent_at = self.entry.clock.monotonic()
                self.sent_rounds[effect.agent_id] = (
                    effect.message.round,
                    sent_at,
                )
        elif isinstance(effect, SendToPeer):
            self._record_peer_message(effect)
        elif isinstance(effect, WriteCellRoster):
            self.metrics.add(ROSTER_CHANGES)

    def agent_message(self, agent_id: str, message: AgentMessage) -> None:
        """Record an agent's message before it is handled."""
        self.wasted_messages.received(agent_id, message)
        if isinstance(message, HeartbeatReply):
            round_number, sent_at = self.sent_rounds.get(agent_id, (0, 0.0))
            if message.round and message.round == round_number:
                elapsed_s = self.entry.clock.monotonic() - sent_at
                self.metrics.observe(HEARTBEAT_TIME, elapsed_s)

    def agent_lost(self, agent_id: str) -> None:
        """Record the loss of an agent's connection."""
        self.wasted_messages.agent_lost(agent_id)
        self.sent_rounds.pop(agent_id, None)

    def record_state_changes(self) -> None:
        """Count and log the changes of state since the last call."""
        state = state_of(self.entry)
        for change in find_state_changes(self.state, state):
            self.metrics.add(STATE_CHANGES, label=change.kind.value)
            if change.kind is StateChangeKind.TOOK_OVER:
                self.metrics.add(TAKEOVERS)
            self.log.record(self.entry.address.entry_id, change)
        self.state = state
        self.forwarded_request_ids &= self.entry.pending.keys()

    def _record_peer_message(self, effect: SendToPeer) -> None:
        """Count a repeated forward, or a reply that asks for one, as waste."""
        message = effect.message
        if isinstance(message, Forward):
            if message.request_id in self.forwarded_request_ids:
                self._count_wasted(WasteCause.REFORWARD, 1)
            self.forwarded_request_ids.add(message.request_id)
        elif (
            isinstance(message, ForwardReply)
            and message.outcome == ReplyOutcome.NOT_LEADER.value
        ):
            self._count_wasted(WasteCause.REFORWARD, 1)

    def _count_wasted(self, cause: WasteCause, messages: int) -> None:
        self.metrics.add(MESSAGES_WASTED, messages, label=cause.value)
