"""Client that submits jobs to the entries and retries as they ask."""

from collections.abc import Sequence
import dataclasses

import msgspec
import trio

from egretcart.connection.http_client import ClientResponse
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.request.identity import JobId
from egretcart.request.json_decoding import decode_json

EXCHANGE_RETRY_DELAY_S = 0.1
MAX_CONNECTIONS = 4096


class _ComeBack(msgspec.Struct, frozen=True, kw_only=True):
    """The delay in seconds in a response's body; None if it has none."""

    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerAnswer:
    """The last answer to a job that a caller has submitted.

    Attributes
    ----------
    status : int
        Last HTTP status; 0 if no entry answered.
    body : bytes
        Body of the last response; empty if no entry answered.
    submissions : int
        Number of times the job was submitted.
    last_exchange_s : float
        Duration of the last exchange, in seconds; 0 if no entry answered.
    """

    status: int
    body: bytes
    submissions: int
    last_exchange_s: float = 0.0


def retry_after_s(response: ClientResponse) -> float | None:
    """Return the delay in seconds after which a response asks for a retry.

    Return None if it asks for no retry.
    """
    try:
        parsed = decode_json(response.body, _ComeBack)
    except (msgspec.DecodeError, UnicodeDecodeError):
        parsed = _ComeBack()
    if parsed.retry_after_s is not None:
        return parsed.retry_after_s
    header = response.headers.get("retry-after", "")
    return float(header) if header.isdigit() else None


class Caller:
    """Submits jobs to entries over persistent connections.

    Parameters
    ----------
    addresses : sequence of (str, int)
        Host and port of each entry's HTTP address.
    service : str
        Name of the service whose jobs are submitted.
    """

    def __init__(
        self, *, addresses: Sequence[tuple[str, int]], service: str
    ) -> None:
        self.service = service
        self.clients = [
            HttpClient(host=host, port=port, max_connections=MAX_CONNECTIONS)
            for host, port in addresses
        ]

    def path(self, job_id: JobId) -> str:
        """Return the path of a job in an entry's HTTP API."""
        return f"/v1/services/{self.service}/jobs/{job_id}"

    async def submit(
        self,
        job_id: JobId,
        body: bytes,
        *,
        give_up_s: float,
        time_limit_s: float,
        first: int = 0,
    ) -> CallerAnswer:
        """Submit a job, repeatedly if necessary, and return the last answer.

        The job is submitted again with the same id, to the next entry, if
        an exchange fails or if the response names a delay, as long as
        `give_up_s` allows it.

        Parameters
        ----------
        job_id : JobId
        body : bytes
            The submission.
        give_up_s : float
            Time from now within which the job may be submitted again, in
            seconds.
        time_limit_s : float
            Limit of each exchange, in seconds.
        first : int, optional
            Index of the entry to which the job is submitted first.

        Returns
        -------
        CallerAnswer
        """
        resubmit_until = trio.current_time() + give_up_s
        submissions = 0
        while True:
            client = self.clients[(first + submissions) % len(self.clients)]
            submissions += 1
            started_at = trio.current_time()
            try:
                response = await client.exchange(
                    "PUT",
                    self.path(job_id),
                    body=body,
                    time_limit_s=time_limit_s,
                )
            except ExchangeError:
                answer = CallerAnswer(
                    status=0, body=b"", submissions=submissions
                )
                retry_delay_s: float | None = EXCHANGE_RETRY_DELAY_S
            else:
                answer = CallerAnswer(
                    status=response.status,
                    body=response.body,
                    submissions=submissions,
                    last_exchange_s=trio.current_time() - started_at,
                )
                retry_delay_s = retry_after_s(response)
            if (
                retry_delay_s is None
                or trio.current_time() + retry_delay_s > resubmit_until
            ):
                return answer
            await trio.sleep(retry_delay_s)

    async def cancel(
        self, job_id: JobId, *, time_limit_s: float, entry: int = 0
    ) -> int:
        """Cancel a job and return the status; 0 if no entry answered."""
        client = self.clients[entry % len(self.clients)]
        try:
            response = await client.exchange(
                "DELETE", self.path(job_id), time_limit_s=time_limit_s
            )
        except ExchangeError:
            return 0
        return response.status

    async def aclose(self) -> None:
        """Close all idle connections."""
        for client in self.clients:
            await client.aclose()
