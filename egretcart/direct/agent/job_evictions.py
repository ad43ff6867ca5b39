"""Evicts runs of a job that another entry has taken over. Free of I/O."""

from egretcart.direct.agent.agent_types import DirectAgentLimits
from egretcart.direct.agent.agent_types import Eviction
from egretcart.direct.agent.entry_links import EntryLinks
from egretcart.direct.agent.known_backend import KnownBackend
from egretcart.direct.agent.run_table import RunTable
from egretcart.direct.connection.messages import EvictJob
from egretcart.direct.request.claims import RecentTakeovers


class JobEvictions:
    """Confirms to entries that no other entry's run of their job is left.

    Parameters
    ----------
    limits : DirectAgentLimits
    runs : RunTable
    links : EntryLinks
        Holds the evictions that are not confirmed yet.
    backend : KnownBackend

    Attributes
    ----------
    takeovers : RecentTakeovers
        Jobs that entries have recently taken over from other entries.
    predecessor_ended : bool
        Whether all runs that an earlier incarnation of the agent left at
        the server have ended.
    first_tick_at : float
        Time of the agent's first tick; 0 before.
    """

    def __init__(
        self,
        *,
        limits: DirectAgentLimits,
        runs: RunTable,
        links: EntryLinks,
        backend: KnownBackend,
    ) -> None:
        self.runs = runs
        self.links = links
        self.backend = backend
        self.takeovers = RecentTakeovers(
            retention_s=limits.takeover_retention_s
        )
        self.predecessor_ended = False
        self.first_tick_at = 0.0

    def confirm(self) -> None:
        """Confirm the evictions whose other runs have ended."""
        if not self.predecessor_ended:
            return
        self.links.confirm_evictions(
            lambda eviction: (
                not self.runs.runs_of_other_entries(
                    eviction.job_id, eviction.entry_id
                )
            )
        )

    def check_predecessor_lease(self, now: float) -> None:
        """Record when the former incarnation's lease has expired."""
        silent = self.backend.report is None or self.backend.lease_expired
        if (
            silent
            and now - self.first_tick_at
            > self.backend.lease.limits.max_duration_s
        ):
            self.mark_predecessor_ended()

    def mark_predecessor_ended(self) -> None:
        """Record that no run of an earlier incarnation of the agent is left.

        All runs at the server are then known to this incarnation.
        """
        if not self.predecessor_ended:
            self.predecessor_ended = True
            self.confirm()

    def refuses(self, job_id: str, entry_id: str) -> bool:
        """Whether another entry has taken the job over from this one."""
        return self.takeovers.owner_of(job_id) not in (None, entry_id)

    def add(self, entry_id: str, message: EvictJob) -> None:
        """Confirm to the entry when no other entry's run is left."""
        self.links.evictions.append(
            Eviction(
                entry_id=entry_id,
                number=message.number,
                job_id=message.job_id,
            )
        )
        self.confirm()
