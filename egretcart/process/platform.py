"""Client of the platform's key-value service.

It speaks the JSON gateway of the etcd v3 API: ranges, transactions,
leases and watches.
"""

import base64
import dataclasses
from typing import Any
from typing import Protocol

import msgspec

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient

HTTP_OK = 200
CALL_TIME_LIMIT_S = 2.0


class PlatformError(Exception):
    """The platform's service gave no usable answer.

    A write that ends so may have taken effect.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the revision of its last change."""

    data: bytes
    revision: int


class Platform(Protocol):
    """What the project asks of a key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision is still the given one.

        A revision of 0 means that the key does not exist.
        """


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


class EtcdPlatform:
    """A `Platform` behind the JSON gateway of the etcd v3 API.

    Parameters
    ----------
    host : str
    port : int
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.client = HttpClient(host=host, port=port, max_connections=4)
        self.calls = 0

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""
        answer = await self._call(
            "/v3/kv/range", {"key": _encode(key.encode())}
        )
        for pair in answer.get("kvs", ()):
            return StoredValue(
                base64.b64decode(pair.get("value", "")),
                int(pair["mod_revision"]),
            )
        return None

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision is still the given one."""
        encoded = _encode(key.encode())
        answer = await self._call(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "key": encoded,
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(revision),
                    }
                ],
                "success": [
                    {"request_put": {"key": encoded, "value": _encode(data)}}
                ],
            },
        )
        return bool(answer.get("succeeded", False))

    async def _call(self, path: str, document: Any) -> dict[str, Any]:
        self.calls += 1
        try:
            response = await self.client.exchange(
                "POST",
                path,
                body=msgspec.json.encode(document),
                time_limit_s=CALL_TIME_LIMIT_S,
            )
            if response.status != HTTP_OK:
                raise PlatformError(f"{path}: status {response.status}")
            return msgspec.json.decode(response.body, type=dict[str, Any])
        except (ExchangeError, msgspec.DecodeError) as error:
            raise PlatformError(f"{path}: {error}") from error
