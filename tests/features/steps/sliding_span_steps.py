"""Limits of calls, lines and messages, over all spans of their length."""

import bisect
import json
from unittest import mock

from behave import then
from behave import when
import eliot
from hypothesis import given as each
from hypothesis import strategies
import trio
import trio.testing

from adapter.store import MetadataStore
from egretcart.connection.http_client import ClientResponse
from egretcart.direct.agent.agent_types import EntryState
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.connection.messages import AgentStatus
from egretcart.direct.log.decisions import JobAnswered
from egretcart.direct.log.decisions import PeerChanged
from egretcart.direct.log.log_lines import JsonDecisionLog
from egretcart.process.store.platform import prefix_range
from egretcart.testing.clock import ManualClock

SPAN_S = 1.0
# Sums of powers of two are exact, so that spans have exactly their length.
GAPS_S = strategies.sampled_from([0, 1 / 64, 1 / 4, 1 / 2, 63 / 64, 3])
BURSTS = strategies.lists(
    strategies.tuples(GAPS_S, strategies.integers(1, 70))
)
PEER_LINE = PeerChanged(peer="p-2", state="connected")
FINAL_LINE = JobAnswered(
    job_id="j", state="completed", elapsed_ms=1, objective_ms=1, cause=""
)


def most_in_a_span(times):
    """Return the most of some ascending times in any half-open span."""
    ends = (bisect.bisect_left(times, start + SPAN_S) for start in times)
    return max((end - first for first, end in enumerate(ends)), default=0)


def log_bursts(bursts):
    """Log lines in bursts; return each with the time of its writing."""
    clock = ManualClock()
    log = JsonDecisionLog(process_id="p-1", clock=clock)
    written = []

    def collect():
        lines = [json.loads(line) for line in log.waiting]
        written.extend((clock.monotonic(), line) for line in lines)
        log.waiting.clear()

    try:
        for gap_s, count in (*bursts, (2 * SPAN_S, 1)):
            clock.advance(gap_s)
            for _ in range(count):
                log.write(PEER_LINE)
                log.write(FINAL_LINE)
                log.write(FINAL_LINE)
            collect()
    finally:
        eliot.remove_destination(log._enqueue_line)
    return written


def times_of(written, kind):
    return [
        time
        for time, line in written
        if line["message_type"] == f"egretcart:{kind}"
    ]


@then(
    "in no second are more than {most:d} lines of a kind written, or "
    "{most_final:d} final ones"
)
def check_lines(context, most, most_final):
    @each(BURSTS)
    def run(bursts):
        written = log_bursts(bursts)
        for kind, limit in (
            ("PeerChanged", most),
            ("JobAnswered", most_final),
        ):
            times = times_of(written, kind)
            assert most_in_a_span(times) <= limit, (kind, times)

    run()


@then("lines that are left out are reported once a second, and all of them")
def check_left_out(context):
    @each(BURSTS)
    def run(bursts):
        written = log_bursts(bursts)
        assert most_in_a_span(times_of(written, "LinesLeftOut")) <= 1
        left_out = sum(
            sum(line.get("lines", {}).values()) for _, line in written
        )
        kept = len(times_of(written, "PeerChanged"))
        kept += len(times_of(written, "JobAnswered"))
        logged = 3 * (1 + sum(count for _, count in bursts))
        assert kept + left_out == logged, (kept, left_out, logged)

    run()


@when(
    "{count:d} lines a second are logged for {hours:d} hours and nothing reads"
    " them"
)
def log_unread(context, count, hours):
    context.clock = ManualClock()
    context.log = JsonDecisionLog(process_id="p-1", clock=context.clock)
    context.add_cleanup(eliot.remove_destination, context.log._enqueue_line)
    for _ in range(hours * 3600):
        context.clock.advance(SPAN_S)
        for _ in range(count):
            context.log.write(PEER_LINE)


@then("at most {most:d} lines wait to be written")
def check_waiting(context, most):
    assert len(context.log.waiting) <= most, len(context.log.waiting)


@then("once they are read, the lines that were left out are reported")
def check_reported(context):
    left_out = context.log.dropped["PeerChanged"]
    assert left_out
    context.log.waiting.clear()
    context.clock.advance(2 * SPAN_S)
    context.log.write(FINAL_LINE)
    report = json.loads(context.log.waiting[0])
    assert report["lines"]["PeerChanged"] == left_out, report


class ChangingStore:
    """An HTTP client of a store that answers watches after given times."""

    def __init__(self, pauses_s):
        self.pauses_s = list(pauses_s)
        self.called_at = []
        self.is_done = trio.Event()

    async def exchange(self, method, path, **_options):
        self.called_at.append(trio.current_time())
        if not self.pauses_s:
            self.is_done.set()
            await trio.sleep_forever()
        await trio.sleep(self.pauses_s.pop())
        events = [
            {"key": "op/config", "revision": len(self.called_at), "value": ""}
        ]
        if len(self.pauses_s) % 2:
            events = []
        body = {"events": events, "asOf": len(self.called_at)}
        return ClientResponse(
            status=200, headers={}, body=json.dumps(body).encode()
        )


@then("in no second does a watch call the store more than {most:d} times")
def check_watch(context, most):
    async def watch(pauses_s):
        client = MetadataStore(host="127.0.0.1", port=1)
        changes = []
        with mock.patch.object(client, "client", ChangingStore(pauses_s)):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    client.watch, prefix_range("op/"), 1, changes.append
                )
                await client.client.is_done.wait()
                nursery.cancel_scope.cancel()
            called_at = client.client.called_at
        assert most_in_a_span(called_at) <= most, called_at
        assert len(changes) == (len(pauses_s) + 1) // 2, changes

    pauses = strategies.sampled_from([0, 0, 0.004, 0.03, 0.3, 1.5])

    @each(strategies.lists(pauses, max_size=40))
    def run(pauses_s):
        trio.run(
            watch, pauses_s, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    run()


@then("in no second are more statuses sent than the limit and one an entry")
def check_statuses(context):
    limit = 150.0

    @each(
        strategies.integers(1, 12),
        strategies.lists(strategies.sampled_from([1 / 256, 1 / 64, 1 / 4])),
    )
    def run(entries, gaps_s):
        effects, sent_at, now = [], [], 8.0
        links = EntryLinks(
            effects=effects,
            min_status_interval_s=0.0,
            max_statuses_per_s=limit,
            retire_after_s=60.0,
            status=lambda sequence, now: AgentStatus(agent_id="a"),
        )
        for number in range(entries):
            links.entries[f"entry-{number}"] = EntryState(
                incarnation=1, last_message_at=now, heartbeat_interval_s=60.0
            )
        for gap_s in gaps_s:
            now += gap_s
            links.status_changed = True
            links.send_due_statuses(now)
            sent_at += [now] * len(effects)
            effects.clear()
        assert most_in_a_span(sent_at) <= limit + entries, sent_at

    run()
