"""Client of the platform's key-value service.

It speaks the JSON gateway of the etcd v3 API: ranges, transactions,
leases and watches.
"""

import base64
from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import Protocol

import msgspec
import trio

from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_stream import stream_lines
from egretcart.process.clock import Clock
from egretcart.process.clock import SystemClock
from egretcart.process.platform_guard import CallGuard
from egretcart.process.platform_guard import PlatformLimits
from egretcart.request.verdict import Verdict

HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
CLIENT_ERRORS = frozenset(range(400, 500)) - {HTTP_TOO_MANY_REQUESTS}
MAX_CONNECTIONS = 4


class PlatformError(Exception):
    """The platform's service gave no usable answer.

    Attributes
    ----------
    verdict : Verdict
        Whether the call may have taken effect.
    """

    def __init__(
        self, reason: str, verdict: Verdict = Verdict.MAY_HAVE_RUN
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict


class PlatformRefusal(PlatformError):
    """The platform's service answered that it does not do that."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredValue:
    """A value and the revision of its last change."""

    data: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """The values of a range of keys.

    Attributes
    ----------
    values : dict of str to StoredValue
    revision : int
        Revision of the store that the listing shows.
    """

    values: dict[str, StoredValue]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that a watch reports; no data means that the key is gone."""

    key: str
    value: StoredValue | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys from `start` up to, and without, `end`."""

    start: str
    end: str


def keys_below(prefix: str) -> KeyRange:
    """Return the range of all keys that begin with a prefix."""
    return KeyRange(prefix, prefix[:-1] + chr(ord(prefix[-1]) + 1))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Put:
    """A write; with a lease, the key goes when the lease lapses."""

    key: str
    data: bytes
    lease: int = 0


class Platform(Protocol):
    """What the project asks of a key-value service.

    Every method raises `PlatformError` if the service gives no answer.
    """

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""

    async def list_range(self, keys: KeyRange) -> Listing:
        """Return all values of a range of keys."""

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision is still the given one.

        A revision of 0 means that the key does not exist.
        """

    async def transact(
        self, revisions: dict[str, int], puts: tuple[Put, ...]
    ) -> bool:
        """Write several values at once if the given revisions still hold."""

    async def grant_lease(self, time_to_live_s: int) -> int:
        """Return the identifier of a new lease."""

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""

    async def watch(
        self,
        keys: KeyRange,
        revision: int,
        handle: Callable[[Change], None],
    ) -> None:
        """Hand over changes from a revision on until cancelled."""


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _range_document(keys: KeyRange) -> dict[str, str]:
    return {
        "key": _encode(keys.start.encode()),
        "range_end": _encode(keys.end.encode()),
    }


def _stored(pair: dict[str, Any]) -> StoredValue:
    data = base64.b64decode(pair.get("value", ""))
    return StoredValue(data, int(pair["mod_revision"]))


class EtcdPlatform:
    """A `Platform` behind the JSON gateway of the etcd v3 API.

    Parameters
    ----------
    host : str
    port : int
    limits : PlatformLimits, optional
    clock : Clock, optional
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        limits: PlatformLimits | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.limits = limits or PlatformLimits()
        self.client = HttpClient(
            host=host, port=port, max_connections=MAX_CONNECTIONS
        )
        self.guard = CallGuard(
            limits=self.limits,
            clock=clock or SystemClock(),
            source=random.Random(),
        )

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""
        document = {"key": _encode(key.encode())}
        answer = await self._call("/v3/kv/range", document)
        for pair in answer.get("kvs", ()):
            return _stored(pair)
        return None

    async def list_range(self, keys: KeyRange) -> Listing:
        """Return all values of a range of keys."""
        answer = await self._call("/v3/kv/range", _range_document(keys))
        values = {
            base64.b64decode(pair["key"]).decode(): _stored(pair)
            for pair in answer.get("kvs", ())
        }
        return Listing(values, int(answer["header"]["revision"]))

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision is still the given one."""
        return await self.transact({key: revision}, (Put(key=key, data=data),))

    async def transact(
        self, revisions: dict[str, int], puts: tuple[Put, ...]
    ) -> bool:
        """Write several values at once if the given revisions still hold."""
        compares = [
            {
                "key": _encode(key.encode()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in revisions.items()
        ]
        writes = [
            {
                "request_put": {
                    "key": _encode(put.key.encode()),
                    "value": _encode(put.data),
                    "lease": str(put.lease),
                }
            }
            for put in puts
        ]
        # A conditional write that is made twice would refute itself.
        answer = await self._call(
            "/v3/kv/txn",
            {"compare": compares, "success": writes},
            repeatable=not revisions,
        )
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, time_to_live_s: int) -> int:
        """Return the identifier of a new lease."""
        answer = await self._call(
            "/v3/lease/grant", {"TTL": str(time_to_live_s)}
        )
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has lapsed."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self,
        keys: KeyRange,
        revision: int,
        handle: Callable[[Change], None],
    ) -> None:
        """Hand over changes from a revision on until cancelled."""
        create = {**_range_document(keys), "start_revision": str(revision)}

        def handle_line(line: bytes) -> None:
            self.guard.succeeded()
            for change in _changes(line):
                handle(change)

        await self._admit("/v3/watch")
        try:
            await stream_lines(
                host=self.host,
                port=self.port,
                path="/v3/watch",
                body=msgspec.json.encode({"create_request": create}),
                head_limit_s=self.limits.call_limit_s,
                handle=handle_line,
            )
        except ExchangeError as error:
            self.guard.failed()
            raise PlatformError(f"/v3/watch: {error}") from error

    async def _admit(self, path: str) -> None:
        wait_s = self.guard.admit()
        if wait_s is None:
            raise PlatformError(
                f"{path}: held back, circuit {self.guard.circuit.value}",
                Verdict.NOT_RUN,
            )
        await trio.sleep(wait_s)

    async def _call(
        self, path: str, document: Any, *, repeatable: bool = True
    ) -> dict[str, Any]:
        """Make a call, and again if that is harmless and in the budget."""
        attempt = 0
        may_have_run = False
        while True:
            attempt += 1
            try:
                await self._admit(path)
                return await self._attempt(path, document)
            except PlatformRefusal:
                raise
            except PlatformError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                pause_s = None
                if repeatable or not may_have_run:
                    pause_s = self.guard.retry_after_s(attempt)
                if pause_s is None:
                    if may_have_run:
                        error.verdict = Verdict.MAY_HAVE_RUN
                    raise
            await trio.sleep(pause_s)

    async def _attempt(self, path: str, document: Any) -> dict[str, Any]:
        try:
            response = await self.client.exchange(
                "POST",
                path,
                body=msgspec.json.encode(document),
                time_limit_s=self.limits.call_limit_s,
            )
        except ExchangeError as error:
            self.guard.failed()
            raise PlatformError(f"{path}: {error}", error.verdict) from error
        if response.status in CLIENT_ERRORS:
            self.guard.succeeded()
            reason = response.body.decode(errors="replace")
            raise PlatformRefusal(f"{path}: {reason}", Verdict.NOT_RUN)
        if response.status != HTTP_OK:
            self.guard.failed()
            refused = response.status == HTTP_TOO_MANY_REQUESTS
            raise PlatformError(
                f"{path}: status {response.status}",
                Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN,
            )
        try:
            answer = msgspec.json.decode(response.body, type=dict[str, Any])
        except msgspec.DecodeError as error:
            self.guard.failed()
            raise PlatformError(f"{path}: {error}") from error
        if not _has_header(answer):
            self.guard.failed()
            raise PlatformError(f"{path}: no header in {sorted(answer)}")
        self.guard.succeeded()
        return answer


def _has_header(answer: dict[str, Any]) -> bool:
    """Return whether an answer is the store's and not another server's."""
    if "header" in answer:
        return True
    result = answer.get("result")
    return isinstance(result, dict) and "header" in result


def _changes(line: bytes) -> list[Change]:
    """Return the changes in one line of a watch."""
    try:
        document = msgspec.json.decode(line, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise PlatformError(f"/v3/watch: {error}") from error
    result = document.get("result", {})
    if "error" in document or result.get("canceled"):
        raise PlatformError(f"/v3/watch: ended with {document!r}")
    changes = []
    for event in result.get("events", ()):
        pair = event["kv"]
        deleted = event.get("type") == "DELETE"
        key = base64.b64decode(pair["key"]).decode()
        changes.append(Change(key, None if deleted else _stored(pair)))
    return changes
