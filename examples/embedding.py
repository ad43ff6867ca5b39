"""Runs one entry and one agent without sockets, threads or an event loop.

The host program owns all I/O: here a function call takes the place of
the backend server, and a list takes the place of the network.
"""

import json
import time

import egretcart


def run_task(payload: bytes) -> bytes:
    """Run one task; takes the place of the host program's own work."""
    return json.dumps({"length": len(payload)}).encode()


class Host:
    """Carries out the effects of one entry and one agent."""

    def __init__(self) -> None:
        clock = egretcart.SystemClock()
        self.entry = egretcart.Entry(
            address=egretcart.EntryAddress(entry_id="entry"),
            incarnation=clock.unix_ms(),
            configuration=egretcart.Configuration(
                version=1, services=(egretcart.Service(name="lengths"),)
            ),
            limits=egretcart.EntryLimits(settle_s=0.0),
            leader_limits=egretcart.LeaderLimits(bootstrap_wait_s=0.0),
            clock=clock,
        )
        self.agent = egretcart.Agent(
            identity=egretcart.AgentIdentity(
                agent_id="agent",
                incarnation=clock.unix_ms(),
                service="lengths",
                failure_domain="here",
                slots=2,
                connections=2,
            ),
            limits=egretcart.AgentLimits(),
            clock=clock,
        )
        self.replies: dict[int, egretcart.Reply] = {}
        self.from_entry(self.entry.agent_connected(self.agent.hello()))

    def from_entry(self, effects: list) -> None:
        """Carry out effects that the entry returned."""
        for effect in effects:
            if isinstance(effect, egretcart.SendToAgent):
                received = self.agent.receive("entry", effect.message)
                self.from_agent(received)
            elif isinstance(effect, egretcart.ReplyToCaller):
                self.replies[effect.request_id] = effect.reply
            elif isinstance(effect, egretcart.WriteCellRoster):
                known = self.entry.roster_known(effect.cell, effect.roster)
                self.from_entry(known)

    def from_agent(self, effects: list) -> None:
        """Carry out effects that the agent returned."""
        for effect in effects:
            if isinstance(effect, egretcart.SendToEntry):
                received = self.entry.agent_message("agent", effect.message)
                self.from_entry(received)
            elif isinstance(effect, egretcart.BeginExchange):
                start = effect.start
                outcome = egretcart.ExchangeOutcome(
                    succeeded=True,
                    verdict=egretcart.Verdict.RAN,
                    body=run_task(start.payload),
                    content_type="application/json",
                )
                key = (start.job_id, start.task)
                self.from_agent(self.agent.exchange_ended(key, outcome))

    def submit(self, payloads: list[str]) -> dict:
        """Submit one job and return its answer."""
        body = json.dumps({"tasks": [{"payload": p} for p in payloads]})
        request_id, effects = self.entry.request(
            "submit", "lengths", egretcart.new_job_id(), body.encode()
        )
        self.from_entry(effects)
        while request_id not in self.replies:
            self.from_entry(self.entry.tick())
            time.sleep(0.01)
        return json.loads(self.replies.pop(request_id).body)


if __name__ == "__main__":
    print(json.dumps(Host().submit(["a", "bb", "ccc"])))
