"""What messages between processes say of a cell: terms and rosters."""

import msgspec


class Term(msgspec.Struct, frozen=True, order=True):
    """The term of a cell's leader; serves as its fencing token.

    Attributes
    ----------
    counter : int
        Increased by every takeover.
    holder : int
        Incarnation of the entry that leads in this term; orders terms with
        equal counters.
    """

    counter: int = 0
    holder: int = 0


NO_TERM = Term()
# `CancelledTask.task` that stands for all tasks of the job.
ALL_TASKS = -1
# `FenceReply.newest_job_ms` of a release that does not report it.
UNKNOWN_MS = -1


class RosterMember(msgspec.Struct, frozen=True, kw_only=True):
    """An agent of a cell.

    Attributes
    ----------
    agent_id : str
    incarnation : int
        Incarnation that the agent had when it was added to the roster; see
        `AgentHello`.
    """

    agent_id: str = ""
    incarnation: int = 0


class Roster(msgspec.Struct, frozen=True, kw_only=True):
    """The agents of a cell, as agreed through the platform's store.

    Attributes
    ----------
    version : int
        Increased by one with every change; 0 means that no roster is known.
    members : tuple of RosterMember
    lost_before_ms : int
        Unix time in milliseconds. A job that was created before it and is
        in no member's ledger may have run on a member that has been removed.
    """

    version: int = 0
    members: tuple[RosterMember, ...] = ()
    lost_before_ms: int = 0

    @property
    def agent_ids(self) -> frozenset[str]:
        """The identifiers of all members."""
        return frozenset(member.agent_id for member in self.members)
