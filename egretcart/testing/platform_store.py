"""Data of the platform stand-in: values, leases and recent changes.

Free of I/O; callers pass in the current time.
"""

import base64
from collections.abc import Iterable
import dataclasses
from typing import Any

MAX_CHANGE_RECORDS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredPair:
    """A stored value.

    Attributes
    ----------
    value : bytes
    mod_revision : int
        Revision of the last change.
    lease : int
        Lease with which the value ends; 0 for none.
    """

    value: bytes
    mod_revision: int
    lease: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRecord:
    """A change of one key.

    Attributes
    ----------
    revision : int
    key : bytes
    value : bytes or None
        The new value; None if the key was deleted.
    """

    revision: int
    key: bytes
    value: bytes | None


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease.

    Attributes
    ----------
    time_to_live_s : float
        Time from a renewal to the expiry, in seconds.
    expires_at : float
        Monotonic time of the expiry, in seconds.
    """

    time_to_live_s: float
    expires_at: float


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


class PlatformStore:
    """A key-value store with compare-and-swap, leases and a change history.

    Attributes
    ----------
    pairs : dict of bytes to StoredPair
        Values by key.
    leases : dict of int to Lease
        Leases by id.
    changes : list of ChangeRecord
        The latest changes, oldest first.
    revision : int
        Rises with each call that changes a value.
    next_lease : int
        Id of the lease that is granted next.
    """

    def __init__(self) -> None:
        self.pairs: dict[bytes, StoredPair] = {}
        self.leases: dict[int, Lease] = {}
        self.changes: list[ChangeRecord] = []
        self.revision = 1
        self.next_lease = 1

    def read_range(self, document: dict[str, Any]) -> dict[str, Any]:
        """Answer a range call."""
        start, end = key_range(document)
        kvs = [
            {
                "key": _encode(key),
                "value": _encode(pair.value),
                "mod_revision": str(pair.mod_revision),
            }
            for key, pair in sorted(self.pairs.items())
            if in_range(key, start, end)
        ]
        if not kvs:
            return {"header": self.header()}
        return {
            "header": self.header(),
            "kvs": kvs,
            "count": str(len(kvs)),
        }

    def transact(self, document: dict[str, Any]) -> dict[str, Any]:
        """Answer a transaction of compares, puts and deletions."""
        operations = document.get("success", ())
        puts = [o["request_put"] for o in operations if "request_put" in o]
        ranges = [
            key_range(o["request_delete_range"])
            for o in operations
            if "request_delete_range" in o
        ]
        written_keys = [base64.b64decode(put["key"]) for put in puts]
        if len(set(written_keys)) < len(written_keys) or any(
            in_range(key, *bounds) for key in written_keys for bounds in ranges
        ):
            return {"error": "duplicate key given in txn request", "code": 3}
        if not self._compares_match(document.get("compare", ())):
            return {"header": self.header()}
        leases = [int(put.get("lease", 0)) for put in puts]
        if any(lease and lease not in self.leases for lease in leases):
            return {"error": "requested lease not found", "code": 5}
        deleted = [
            key
            for key in self.pairs
            if any(in_range(key, *bounds) for bounds in ranges)
        ]
        if puts or deleted:
            self.revision += 1
        for key in deleted:
            del self.pairs[key]
            self._record(key, None)
        for key, put, lease in zip(written_keys, puts, leases, strict=True):
            value = base64.b64decode(put["value"])
            self.pairs[key] = StoredPair(value, self.revision, lease)
            self._record(key, value)
        return {"header": self.header(), "succeeded": True}

    def _compares_match(self, compares: Iterable[dict[str, Any]]) -> bool:
        """Return whether each key has the given revision.

        A key that does not exist has revision 0.
        """
        for compare in compares:
            pair = self.pairs.get(base64.b64decode(compare["key"]))
            revision = pair.mod_revision if pair is not None else 0
            if revision != int(compare["mod_revision"]):
                return False
        return True

    def grant(self, document: dict[str, Any], now: float) -> dict[str, Any]:
        """Answer a call that grants a lease."""
        time_to_live_s = float(document["TTL"])
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = Lease(time_to_live_s, now + time_to_live_s)
        return {
            "header": self.header(),
            "ID": str(lease),
            "TTL": str(int(time_to_live_s)),
        }

    def keep_alive(
        self, document: dict[str, Any], now: float
    ) -> dict[str, Any]:
        """Answer a call that renews a lease."""
        lease = self.leases.get(int(document["ID"]))
        if lease is None:
            return {"result": {"header": self.header(), "TTL": "0"}}
        lease.expires_at = now + lease.time_to_live_s
        ttl = str(int(lease.time_to_live_s))
        return {"result": {"header": self.header(), "TTL": ttl}}

    def revoke(self, document: dict[str, Any]) -> dict[str, Any]:
        """Answer a call that revokes a lease."""
        self._end_lease(int(document["ID"]))
        return {"header": self.header()}

    def expire_leases(self, now: float) -> bool:
        """End the expired leases; return whether there were any."""
        expired_leases = [
            number
            for number, lease in self.leases.items()
            if lease.expires_at <= now
        ]
        for number in expired_leases:
            self._end_lease(number)
        return bool(expired_leases)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        attached_keys = [
            k for k, pair in self.pairs.items() if pair.lease == number
        ]
        if number and attached_keys:
            self.revision += 1
            for key in attached_keys:
                del self.pairs[key]
                self._record(key, None)

    def _record(self, key: bytes, value: bytes | None) -> None:
        self.changes.append(ChangeRecord(self.revision, key, value))
        del self.changes[:-MAX_CHANGE_RECORDS]

    def events(
        self, start: bytes, end: bytes, revision: int
    ) -> list[dict[str, Any]]:
        """Return the changes of a range of keys, from a revision on."""
        events: list[dict[str, Any]] = []
        for change in reversed(self.changes):
            if change.revision < revision:
                break
            if not in_range(change.key, start, end):
                continue
            pair = {
                "key": _encode(change.key),
                "mod_revision": str(change.revision),
            }
            if change.value is None:
                events.append({"type": "DELETE", "kv": pair})
            else:
                pair["value"] = _encode(change.value)
                events.append({"kv": pair})
        events.reverse()
        return events

    def header(self) -> dict[str, str]:
        """Return the header of an answer, with the current revision."""
        return {"revision": str(self.revision)}

    def to_document(self, now: float) -> dict[str, Any]:
        """Return all current values and leases, as a document for a file.

        The expiry of a lease is given as the remaining time in seconds.
        """
        return {
            "revision": self.revision,
            "next_lease": self.next_lease,
            "pairs": [
                [_encode(key), _encode(p.value), p.mod_revision, p.lease]
                for key, p in self.pairs.items()
            ],
            "leases": [
                [number, lease.time_to_live_s, lease.expires_at - now]
                for number, lease in self.leases.items()
            ],
        }

    def restore(self, document: dict[str, Any], now: float) -> None:
        """Restore the data of a document that `to_document` returned."""
        self.revision = document["revision"]
        self.next_lease = document["next_lease"]
        for key, value, revision, lease in document["pairs"]:
            self.pairs[base64.b64decode(key)] = StoredPair(
                base64.b64decode(value), revision, lease
            )
        for number, time_to_live_s, left_s in document["leases"]:
            self.leases[number] = Lease(time_to_live_s, now + left_s)


def key_range(document: dict[str, Any]) -> tuple[bytes, bytes]:
    """Return the range of keys of a call: first key and excluded end.

    A call without an end means a single key.
    """
    start = base64.b64decode(document["key"])
    end = base64.b64decode(document.get("range_end", ""))
    return start, end or start + b"\0"


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range whose end is excluded."""
    return start <= key < end
