"""Client of the platform's key-value service over the etcd v3 API.

It uses the API's JSON gateway: ranges, transactions, leases and watches.
"""

import base64
from collections.abc import Callable
import random
from typing import Any
from typing import TypeVar

import msgspec
import trio

from egretcart.connection.http_client import ClientResponse
from egretcart.connection.http_client import ExchangeError
from egretcart.connection.http_client import HttpClient
from egretcart.connection.http_stream import stream_lines
from egretcart.process.clock import Clock
from egretcart.process.clock import SystemClock
from egretcart.process.store.etcd_answers import decode_response
from egretcart.process.store.etcd_answers import GrantAnswer
from egretcart.process.store.etcd_answers import Pair
from egretcart.process.store.etcd_answers import RangeAnswer
from egretcart.process.store.etcd_answers import RenewalAnswer
from egretcart.process.store.etcd_answers import RevocationAnswer
from egretcart.process.store.etcd_answers import TransactionAnswer
from egretcart.process.store.etcd_answers import WatchLine
from egretcart.process.store.platform import Change
from egretcart.process.store.platform import KeyRange
from egretcart.process.store.platform import Listing
from egretcart.process.store.platform import PlatformError
from egretcart.process.store.platform import PlatformRefusal
from egretcart.process.store.platform import Put
from egretcart.process.store.platform import StoredValue
from egretcart.process.store.platform_calls import CallKind
from egretcart.process.store.platform_calls import CallObserver
from egretcart.process.store.platform_calls import CallOutcome
from egretcart.process.store.platform_calls import NullCallObserver
from egretcart.process.store.platform_guard import CallGuard
from egretcart.process.store.platform_guard import PlatformLimits
from egretcart.request.verdict import Verdict

HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
CLIENT_ERRORS = frozenset(range(400, 500)) - {HTTP_TOO_MANY_REQUESTS}
# Connections for calls; each watch has a connection of its own.
MAX_CONNECTIONS = 4
DELETE_EVENT_TYPE = "DELETE"

A = TypeVar("A")


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _range_request(keys: KeyRange) -> dict[str, str]:
    return {
        "key": _encode(keys.start.encode()),
        "range_end": _encode(keys.end.encode()),
    }


def _to_stored_value(pair: Pair) -> StoredValue:
    return StoredValue(pair.value, pair.mod_revision)


class EtcdPlatform:
    """A `Platform` that calls the JSON gateway of the etcd v3 API.

    Parameters
    ----------
    host : str
        Host of the gateway.
    port : int
        Port of the gateway.
    limits : PlatformLimits, optional
    clock : Clock, optional
        The system's clock by default.
    observer : CallObserver, optional
        Notified of the outcome of each attempt, of retries, of calls that
        are not made and of changes of the circuit's state. By default, no
        observer is notified.

    Attributes
    ----------
    guard : CallGuard
        Rate limit, retry budget and circuit breaker of the calls.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        limits: PlatformLimits | None = None,
        clock: Clock | None = None,
        observer: CallObserver | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.limits = limits or PlatformLimits()
        self.clock = clock or SystemClock()
        self.observer = observer or NullCallObserver()
        self.client = HttpClient(
            host=host, port=port, max_connections=MAX_CONNECTIONS
        )
        self.guard = CallGuard(
            limits=self.limits,
            clock=self.clock,
            source=random.Random(),
            observer=self.observer,
        )

    async def get(self, key: str) -> StoredValue | None:
        """Return a value, or None if the key does not exist."""
        document = {"key": _encode(key.encode())}
        answer = await self._call(CallKind.RANGE, document, RangeAnswer)
        for pair in answer.kvs:
            return _to_stored_value(pair)
        return None

    async def list_range(self, keys: KeyRange) -> Listing:
        """Return all values of a range of keys."""
        answer = await self._call(
            CallKind.RANGE, _range_request(keys), RangeAnswer
        )
        values = {pair.key_text: _to_stored_value(pair) for pair in answer.kvs}
        return Listing(values, answer.header.revision)

    async def compare_and_swap(
        self, key: str, data: bytes, revision: int
    ) -> bool:
        """Write a value if its revision still equals the given one.

        A revision of 0 means that the key does not exist. Returns whether
        the value was written.
        """
        return await self.transact({key: revision}, (Put(key=key, data=data),))

    async def transact(
        self,
        revisions: dict[str, int],
        puts: tuple[Put, ...],
        deletes: tuple[KeyRange, ...] = (),
    ) -> bool:
        """Write and delete atomically if no given revision has changed.

        No key may be written and deleted by the same transaction. Returns
        whether the transaction was executed.
        """
        conditions = [
            {
                "key": _encode(key.encode()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in revisions.items()
        ]
        operations: list[dict[str, Any]] = [
            {
                "request_put": {
                    "key": _encode(put.key.encode()),
                    "value": _encode(put.data),
                    "lease": str(put.lease),
                }
            }
            for put in puts
        ]
        operations += [
            {"request_delete_range": _range_request(keys)} for keys in deletes
        ]
        # If the first attempt of a conditional write took effect, the
        # condition of a second one would fail.
        answer = await self._call(
            CallKind.TRANSACTION,
            {"compare": conditions, "success": operations},
            TransactionAnswer,
            is_idempotent=not revisions,
        )
        return answer.succeeded

    async def grant_lease(self, time_to_live_s: int) -> int:
        """Grant a lease of so many seconds; return its identifier."""
        answer = await self._call(
            CallKind.LEASE_GRANT, {"TTL": str(time_to_live_s)}, GrantAnswer
        )
        return answer.lease

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        answer = await self._call(
            CallKind.LEASE_RENEWAL, {"ID": str(lease)}, RenewalAnswer
        )
        return answer.result.time_to_live_s > 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""
        await self._call(
            CallKind.LEASE_REVOCATION, {"ID": str(lease)}, RevocationAnswer
        )

    async def watch(
        self,
        keys: KeyRange,
        revision: int,
        handle: Callable[[Change], None],
    ) -> None:
        """Pass each change from a revision on to `handle` until cancelled.

        The first line of the response ends the attempt. The loss of the
        watch after it is reported to the observer as an interruption, not
        as a failed attempt.

        Raises
        ------
        PlatformError
            If the watch could not be opened or was interrupted.
        """
        watch_request = {
            **_range_request(keys),
            "start_revision": str(revision),
        }
        is_open = False

        def handle_line(line: bytes) -> None:
            nonlocal is_open
            if not is_open:
                is_open = True
                self._record_attempt(
                    CallKind.WATCH, CallOutcome.ANSWERED, began_at
                )
            else:
                self.guard.succeeded()
            for change in _decode_changes(line):
                handle(change)

        await self._admit(CallKind.WATCH)
        began_at = self.clock.monotonic()
        outcome = CallOutcome.FAILED
        try:
            await stream_lines(
                host=self.host,
                port=self.port,
                path=CallKind.WATCH.path,
                body=msgspec.json.encode({"create_request": watch_request}),
                head_timeout_s=self.limits.call_timeout_s,
                handle=handle_line,
            )
        except ExchangeError as error:
            if is_open:
                self.guard.failed()
                self.observer.watch_interrupted()
            raise PlatformError(f"{CallKind.WATCH.path}: {error}") from error
        except trio.Cancelled:
            outcome = CallOutcome.ABANDONED
            raise
        finally:
            if not is_open:
                self._record_attempt(CallKind.WATCH, outcome, began_at)

    async def _admit(self, kind: CallKind) -> None:
        """Wait for the rate limit; raise if the call must not be made."""
        wait_s = self.guard.admit()
        if wait_s is None:
            raise PlatformError(
                f"{kind.path}: not called because of the rate limit or the "
                f"circuit breaker; circuit {self.guard.circuit.value}",
                Verdict.NOT_RUN,
            )
        await trio.sleep(wait_s)

    async def _call(
        self,
        kind: CallKind,
        document: Any,
        response_type: type[A],
        *,
        is_idempotent: bool = True,
    ) -> A:
        """Make a call, and retry it if that is safe.

        A failed call is retried if it is idempotent or if no attempt can
        have taken effect, while the retry budget allows it. A call that the
        store refused is not retried.
        """
        attempt = 0
        may_have_run = False
        while True:
            attempt += 1
            try:
                await self._admit(kind)
                return await self._attempt(kind, document, response_type)
            except PlatformRefusal:
                raise
            except PlatformError as error:
                may_have_run |= error.verdict is not Verdict.NOT_RUN
                delay_s = None
                if is_idempotent or not may_have_run:
                    delay_s = self.guard.retry_after_s(attempt)
                if delay_s is None:
                    if may_have_run:
                        error.verdict = Verdict.MAY_HAVE_RUN
                    raise
            await trio.sleep(delay_s)

    async def _attempt(
        self, kind: CallKind, document: Any, response_type: type[A]
    ) -> A:
        """Make one attempt at a call, and record its outcome."""
        began_at = self.clock.monotonic()
        outcome = CallOutcome.FAILED
        try:
            response = await self.client.exchange(
                "POST",
                kind.path,
                body=msgspec.json.encode(document),
                time_limit_s=self.limits.call_timeout_s,
            )
            outcome = outcome_of_status(response.status)
            _raise_for_status(kind, outcome, response)
            answer = decode_response(response.body, response_type)
        except ExchangeError as error:
            raise PlatformError(
                f"{kind.path}: {error}", error.verdict
            ) from error
        except msgspec.DecodeError as error:
            outcome = CallOutcome.FAILED
            raise PlatformError(f"{kind.path}: {error}") from error
        except trio.Cancelled:
            outcome = CallOutcome.ABANDONED
            raise
        finally:
            self._record_attempt(kind, outcome, began_at)
        return answer

    def _record_attempt(
        self, kind: CallKind, outcome: CallOutcome, began_at: float
    ) -> None:
        """Report an attempt to the guard and the observer.

        The guard counts an abandoned attempt neither as an answer nor as a
        failure.
        """
        if outcome in (CallOutcome.ANSWERED, CallOutcome.REFUSED):
            self.guard.succeeded()
        elif outcome is not CallOutcome.ABANDONED:
            self.guard.failed()
        elapsed_s = self.clock.monotonic() - began_at
        self.observer.attempt_ended(kind, outcome, elapsed_s)


def outcome_of_status(status: int) -> CallOutcome:
    """Return the outcome of a call from the HTTP status of its answer."""
    if status == HTTP_OK:
        return CallOutcome.ANSWERED
    if status == HTTP_TOO_MANY_REQUESTS:
        return CallOutcome.THROTTLED
    if status in CLIENT_ERRORS:
        return CallOutcome.REFUSED
    return CallOutcome.FAILED


def _raise_for_status(
    kind: CallKind, outcome: CallOutcome, response: ClientResponse
) -> None:
    """Raise an error unless the call succeeded.

    A call that was refused or throttled has not taken effect; any other
    failed call may have.
    """
    if outcome is CallOutcome.ANSWERED:
        return
    if outcome is CallOutcome.REFUSED:
        reason = response.body.decode(errors="replace")
        raise PlatformRefusal(f"{kind.path}: {reason}", Verdict.NOT_RUN)
    raise PlatformError(
        f"{kind.path}: status {response.status}",
        Verdict.NOT_RUN
        if outcome is CallOutcome.THROTTLED
        else Verdict.MAY_HAVE_RUN,
    )


def _decode_changes(line: bytes) -> list[Change]:
    """Return the changes in one line of a watch's response.

    Raises
    ------
    PlatformError
        If the line is invalid or ends the watch.
    """
    try:
        decoded = decode_response(line, WatchLine)
    except msgspec.DecodeError as error:
        raise PlatformError(f"/v3/watch: {error}") from error
    if decoded.error is not None or decoded.result.canceled:
        raise PlatformError(f"/v3/watch: ended with {decoded!r}")
    return [
        Change(
            event.kv.key_text,
            None
            if event.type == DELETE_EVENT_TYPE
            else _to_stored_value(event.kv),
        )
        for event in decoded.result.events
    ]
