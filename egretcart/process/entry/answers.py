"""Cache of final job answers for resubmissions, bounded in bytes and age."""

from collections import OrderedDict
import dataclasses

from egretcart.request.identity import JobId
from egretcart.request.reply import Reply


@dataclasses.dataclass(kw_only=True, slots=True)
class CachedAnswer:
    """The final answer of one job.

    Attributes
    ----------
    digest : bytes
        Digest of the submission that was answered.
    reply : Reply or None
        None once the body has been evicted.
    not_run : bool
        Whether the reply says that some task was not run.
    """

    digest: bytes
    reply: Reply | None
    not_run: bool


class AnswerCache:
    """Stores final answers by job id.

    Parameters
    ----------
    max_bytes : int
        Limit of the total size of the stored bodies, in bytes. Beyond it
        the oldest replies are evicted; the job ids, digests and `not_run`
        stay until they are pruned.

    Attributes
    ----------
    cached_bytes : int
        Total size of the stored bodies, in bytes.
    answers : dict of bytes to CachedAnswer
        By job id.
    body_sizes : OrderedDict of bytes to int
        Size in bytes of each stored body, by job id, oldest first.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.cached_bytes = 0
        self.answers: dict[bytes, CachedAnswer] = {}
        self.body_sizes: OrderedDict[bytes, int] = OrderedDict()

    def add(self, job_id: JobId, digest: bytes, reply: Reply) -> None:
        """Store a final answer."""
        key = job_id.value
        self._evict(key)
        self.answers[key] = CachedAnswer(
            digest=digest, reply=reply, not_run=reply.not_run
        )
        self.body_sizes[key] = len(reply.body)
        self.cached_bytes += len(reply.body)
        while self.cached_bytes > self.max_bytes:
            self._evict(next(iter(self.body_sizes)))

    def find(self, job_id: JobId) -> CachedAnswer | None:
        """Return the stored answer of a job, or None if there is none."""
        return self.answers.get(job_id.value)

    def discard_not_run(self) -> None:
        """Remove the answers that report tasks as not run.

        They may become wrong, because a later leader may run the job.
        """
        for key, answer in list(self.answers.items()):
            if answer.not_run:
                self._evict(key)
                del self.answers[key]

    def prune(self, made_before_ms: int) -> None:
        """Remove jobs created before a Unix time in milliseconds."""
        for key in list(self.answers):
            if JobId(key).created_ms < made_before_ms:
                self._evict(key)
                del self.answers[key]

    def _evict(self, key: bytes) -> None:
        """Drop the stored reply of a job, if any."""
        size = self.body_sizes.pop(key, None)
        if size is not None:
            self.cached_bytes -= size
            self.answers[key].reply = None
