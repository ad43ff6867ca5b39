"""Answers other entries that ask for a job to be released. Free of I/O.

An entry that takes a job over must not start it while runs of its former
owner are left. The owner knows its agents, which the other entry may not, so
it answers once these have ended its runs. An entry that can't reach the owner
asks others, which pass the question on.
"""

from collections.abc import Container
from collections.abc import Mapping

import msgspec

from egretcart.direct.connection.peer_messages import JobReleased
from egretcart.direct.connection.peer_messages import ReleaseJob
from egretcart.direct.entry.entry_types import EntryEffect
from egretcart.direct.entry.entry_types import SendToPeer


class RelayedRelease(msgspec.Struct, frozen=True, kw_only=True):
    """A question that was passed on to the owner of a job.

    Attributes
    ----------
    entry_id : str
        The entry that asks.
    number : int
        Its number of the question.
    owner : str
        The entry that was asked on its behalf.
    """

    entry_id: str
    number: int
    owner: str


class JobReleases:
    """Tracks questions that are not answered yet.

    Parameters
    ----------
    entry_id : str
    peers : mapping of str to object
        The other connected entries by id.
    effects : list of EntryEffect
        Where messages are added.

    Attributes
    ----------
    waiting : list of (str, ReleaseJob)
        Entries that wait for the end of this entry's runs of a job.
    relayed : dict of int to RelayedRelease
        Questions that were passed on, by the number given to them here;
        negative, so that it differs from those of own questions.
    """

    def __init__(
        self,
        *,
        entry_id: str,
        peers: Mapping[str, object],
        effects: list[EntryEffect],
    ) -> None:
        self.entry_id = entry_id
        self.peers = peers
        self.effects = effects
        self.waiting: list[tuple[str, ReleaseJob]] = []
        self.relayed: dict[int, RelayedRelease] = {}
        self.last_number = 0

    def is_for_other(self, message: ReleaseJob) -> bool:
        """Whether another entry is asked through this one."""
        return message.owner not in ("", self.entry_id)

    def relay(self, entry_id: str, message: ReleaseJob) -> None:
        """Pass a question on, or answer that its owner can't be reached."""
        if message.owner not in self.peers:
            self._answer(entry_id, message.number, "")
            return
        self.last_number -= 1
        self.relayed[self.last_number] = RelayedRelease(
            entry_id=entry_id, number=message.number, owner=message.owner
        )
        question = ReleaseJob(
            number=self.last_number,
            job_id=message.job_id,
            claimant=entry_id,
        )
        self.effects.append(SendToPeer(message.owner, question))

    def relay_answer(self, message: JobReleased) -> bool:
        """Pass an answer on; return whether it belongs to such a question."""
        relayed = self.relayed.pop(message.number, None)
        if relayed is None:
            return False
        self._answer(relayed.entry_id, relayed.number, message.state)
        return True

    def owner_disconnected(self, entry_id: str) -> None:
        """Answer the questions that were passed on to a lost entry."""
        for number, relayed in list(self.relayed.items()):
            if relayed.owner == entry_id:
                del self.relayed[number]
                self._answer(relayed.entry_id, relayed.number, "")

    def answer_ended(
        self, entry_id: str, message: ReleaseJob, state: str
    ) -> None:
        """Answer at once how a job has ended."""
        self._answer(entry_id, message.number, state)

    def answer_once_over(self, entry_id: str, message: ReleaseJob) -> None:
        """Answer once no run of the job is left for this entry."""
        self.waiting.append((entry_id, message))

    def answer_over(self, stopping_jobs: Container[str]) -> None:
        """Answer all questions about jobs that are not being stopped."""
        for entry_id, message in list(self.waiting):
            if message.job_id not in stopping_jobs:
                self.waiting.remove((entry_id, message))
                self._answer(entry_id, message.number, "")

    def _answer(self, entry_id: str, number: int, state: str) -> None:
        reply = JobReleased(number=number, state=state)
        self.effects.append(SendToPeer(entry_id, reply))
