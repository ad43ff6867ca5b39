"""Reads the counters of processes over HTTP."""

from collections import defaultdict
from collections.abc import Iterable

from prometheus_client.parser import text_string_to_metric_families
import trio

from egretcart.connection.control_types import CONTROL_TYPES
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.process.settings import Address

READ_TIMEOUT_S = 5.0
TOTAL_SUFFIX = "_total"


class Counters:
    """Values of a process's counters, or sums over several processes.

    Attributes
    ----------
    values : dict of (str, str) to float
        By Prometheus name, without ``_total``, and label value.
    """

    def __init__(self) -> None:
        self.values: dict[tuple[str, str], float] = defaultdict(float)

    def add(self, other: "Counters", *, sign: int = 1) -> None:
        """Add the values of other counters, or subtract them."""
        for key, value in other.values.items():
            self.values[key] += sign * value

    def total(self, name: str) -> float:
        """Return the sum of a counter over its labels."""
        return sum(
            value
            for (counter_name, _), value in self.values.items()
            if counter_name == name
        )

    def by_label(self, name: str) -> dict[str, float]:
        """Return the nonzero values of a counter, by label value."""
        return {
            label: value
            for (counter_name, label), value in self.values.items()
            if counter_name == name and value
        }

    def messages(self, *, control: bool) -> float:
        """Return the number of sent messages.

        Parameters
        ----------
        control : bool
            Whether to count the messages of `CONTROL_TYPES` or all others.

        Returns
        -------
        float
        """
        sent = self.by_label("egretcart_messages_sent")
        return sum(
            count
            for message_type, count in sent.items()
            if (message_type in CONTROL_TYPES) is control
        )


def parse_counters(text: bytes) -> Counters:
    """Return the counters of a process.

    Parameters
    ----------
    text : bytes
        Response body of ``GET /metrics``.

    Returns
    -------
    Counters
    """
    counters = Counters()
    for family in text_string_to_metric_families(text.decode()):
        for sample in family.samples:
            # A bucket of a histogram; its sum and count are kept.
            if "le" in sample.labels:
                continue
            label = next(iter(sample.labels.values()), "")
            name = sample.name.removesuffix(TOTAL_SUFFIX)
            counters.values[name, label] += sample.value
    return counters


async def read_counters(addresses: Iterable[Address]) -> dict[str, Counters]:
    """Read the counters of each process; those that fail are omitted.

    Parameters
    ----------
    addresses : iterable of Address

    Returns
    -------
    dict of str to Counters
        By "host:port".
    """
    found: dict[str, Counters] = {}

    async def read(address: Address) -> None:
        client = HttpClient(
            host=address.host, port=address.port, max_connections=1
        )
        try:
            response = await client.exchange(
                "GET", "/metrics", time_limit_s=READ_TIMEOUT_S
            )
        except ExchangeError:
            return
        finally:
            await client.aclose()
        name = f"{address.host}:{address.port}"
        found[name] = parse_counters(response.body)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(read, address)
    return found
