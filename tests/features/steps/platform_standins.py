"""Stand-ins for the platform's metadata store and runners, over HTTP.

They implement the platform's published protocol on loopback addresses and
can simulate faults. All run on one trio loop in a thread of the test.
"""

import base64
import json
import threading
import time
import urllib.parse

import trio

from egretcart.connection.http_listener import HttpListener
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpResponse
from egretcart.direct.backend.backend import BackendIncarnation
from egretcart.direct.backend.backend import PollRequest
from egretcart.direct.backend.backend import StartAnswer
from egretcart.direct.backend.backend import StartRequest
from egretcart.direct.backend.backend import StopRequest
from egretcart.direct.request.job import Ending
from egretcart.direct.request.job import Room
from egretcart.direct.request.job import TaskKey
from egretcart.testing.fake_backend import FakeBackend
from egretcart.testing.fake_backend import TaskSize

REFUSAL_REASONS = {
    StartAnswer.STALE_TOKEN: "fence",
    StartAnswer.STALE_RUN: "old",
    StartAnswer.TOO_LATE: "late",
    StartAnswer.NO_ROOM: "room",
}
ENDING_TEXTS = {Ending.LOST: "lapsed"}
CHECK_INTERVAL_S = 0.005
REPORT_INTERVAL_S = 0.3


def document(status, fields):
    return HttpResponse(status=status, body=json.dumps(fields).encode())


class StoreStandIn:
    """Stand-in for the platform's metadata store.

    Attributes
    ----------
    mode : str
        "sound" for correct answers, "busy" for status 503, "silent" for no
        answer, "lost" for calls that are executed but not answered.
    history_from : int
        Oldest revision from which a watch may start; older ones are
        answered with status 410.
    calls : list of str
        Method and path of each call.
    """

    def __init__(self):
        self.items = {}
        self.changes = []
        self.revision = 10
        self.lock = threading.Lock()
        self.history_from = 0
        self.leases = set()
        self.mode = "sound"
        self.page_size = 500
        self.calls = []

    def put(self, key, value, lease=0):
        """Write a value, as a transaction or the operator does."""
        with self.lock:
            revision = self.revision + 1
            created = self.items.get(key, {}).get("createRevision", revision)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": revision,
                "createRevision": created,
                "lease": lease,
            }
            self.items[key] = item
            self._record(item)

    def delete(self, key):
        with self.lock:
            if self.items.pop(key, None) is not None:
                self._record(
                    {
                        "key": key,
                        "revision": self.revision + 1,
                        "tombstone": True,
                    }
                )

    def _record(self, change):
        """Record a change; the revision follows it, as calls run meanwhile."""
        self.changes.append(change)
        self.revision = change["revision"]

    async def handle(self, request):
        url = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls.append(f"{request.method} {url.path}")
        if self.mode == "busy":
            return document(503, {})
        if self.mode == "silent":
            await trio.sleep_forever()
        body = json.loads(request.body) if request.body else {}
        response = await self._answer(request.method, url.path, query, body)
        if self.mode == "lost":
            await trio.sleep_forever()
        return response

    async def _answer(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return document(404, {})
            return document(200, {**item, "asOf": self.revision})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            self.leases.add(lease := len(self.leases) + 1000)
            return document(200, {"lease": lease, "ttlMs": body["ttlMs"]})
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return document(404, {})
        if method == "DELETE":
            self.revoke(lease)
        return document(200, {"ttlMs": 1000})

    def revoke(self, lease):
        self.leases.discard(lease)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.delete(key)

    def _range(self, query):
        after = query.get("after", "")
        found = [
            item
            for key, item in sorted(self.items.items())
            if key.startswith(query["prefix"]) and key > after
        ]
        return document(
            200,
            {
                "items": found[: self.page_size],
                "truncated": len(found) > self.page_size,
                "asOf": self.revision,
            },
        )

    async def _watch(self, query):
        after = int(query["after"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while after >= self.history_from:
                if self._events(query["prefix"], after, self.revision):
                    break
                await trio.sleep(CHECK_INTERVAL_S)
        if after < self.history_from:
            return document(410, {})
        as_of = self.revision
        events = self._events(query["prefix"], after, as_of)
        return document(200, {"events": events, "asOf": as_of})

    def _events(self, prefix, after, as_of):
        return [
            change
            for change in self.changes
            if after < change["revision"] <= as_of
            and change["key"].startswith(prefix)
        ]

    def _transact(self, body):
        for row in body["expectedRev"]:
            item = self.items.get(row["key"], {"revision": 0})
            if item["revision"] != row["revision"]:
                return document(412, {"items": []})
        for write in body["writes"]:
            if write["lease"] and write["lease"] not in self.leases:
                return document(404, {})
            data = base64.b64decode(write["value"])
            self.put(write["key"], data, write["lease"])
        for key in body["deletes"]:
            self.delete(key)
        return document(200, {"revision": self.revision})


class RunnerStandIn:
    """Stand-in for a runner: a `FakeBackend` served over HTTP.

    Attributes
    ----------
    unanswered : int
        Number of following start and stop requests that are executed but
        not answered.
    """

    def __init__(self, *, name, cpu=16000, work_ms=100.0):
        self.unanswered = 0
        self.ended = False
        self.backend = FakeBackend(
            instance=name,
            service="service-1",
            capacity=Room(cpu, 65536, 0),
            behaviour_of=lambda key: TaskSize(
                room=Room(1600, 64, 0), work_ms=work_ms
            ),
            labels=("a", "r1-1"),
        )
        self.backend.restart(born_ms=1_700_000_000_000)

    def report(self):
        report = self.backend.report()
        return {
            "service": report.service,
            "addr": "127.0.0.1:1",
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if report.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {
                "cpu": report.capacity.cpu_milli,
                "memMb": report.capacity.memory_mb,
                "gpu": 0,
            },
            "labels": list(report.labels),
            "clockMs": report.clock_ms,
            "seq": report.sequence,
            "born": report.lifetime.born_ms,
        }

    async def run(self):
        """Advance the tasks as time passes."""
        last = time.monotonic()
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            self.ended |= self.backend.advance((now - last) * 1000)
            last = now

    async def handle(self, request):
        body = json.loads(request.body)
        instance = request.headers["expect-instance"]
        backend = self.backend
        if instance != backend.instance:
            return document(421, {"clockMs": int(backend.clock_ms)})
        lifetime = BackendIncarnation(instance, backend.born_ms)
        if request.path == "/hold":
            return await self._poll(lifetime, body)
        name, _, step, index = body["task"].split(".")
        key = TaskKey(name, int(step), int(index))
        answer = StartAnswer.STARTED
        if request.path == "/run-start":
            answer = backend.start(
                StartRequest(
                    lifetime=lifetime,
                    fencing_token=body["fencingToken"],
                    key=key,
                    run=body["run"],
                    payload=body["spec"],
                    deadline_ms=body["deadlineMs"],
                )
            )
        else:
            backend.stop(
                StopRequest(
                    lifetime=lifetime,
                    fencing_token=body["fencingToken"],
                    key=key,
                    run=body["run"],
                )
            )
        if self.unanswered:
            self.unanswered -= 1
            await trio.sleep_forever()
        clock = {"clockMs": int(backend.clock_ms)}
        if answer is StartAnswer.STARTED:
            return document(200, clock)
        return document(409, {**clock, "reason": REFUSAL_REASONS[answer]})

    async def _poll(self, lifetime, body):
        backend = self.backend
        request = PollRequest(
            lifetime=lifetime,
            fencing_token=body["fencingToken"],
            acknowledged=body["ackedUpto"],
            deadline_ms=body.get("deadlineMs"),
            wait_ms=body.get("waitMs", 0),
        )
        listing = backend.poll(request)
        with trio.move_on_after(request.wait_ms / 1000):
            # A call with a higher token may arrive during the wait.
            while listing is not None and not listing.ended:
                await trio.sleep(CHECK_INTERVAL_S)
                listing = backend.poll(request)
        if listing is None:
            clock_ms = int(backend.clock_ms)
            return document(409, {"clockMs": clock_ms, "reason": "fence"})
        return document(
            200,
            {
                "clockMs": listing.clock_ms,
                "born": listing.born_ms,
                "running": [
                    [_task_name(task.key), task.run, "", task.percent, 0]
                    for task in listing.running
                ],
                "ended": [
                    [
                        ended.number,
                        _task_name(ended.key),
                        ended.run,
                        ENDING_TEXTS.get(ended.ending, ended.ending.value),
                        "",
                    ]
                    for ended in listing.ended
                ],
            },
        )


def _task_name(key):
    return f"{key.job_id}.0.{key.step}.{key.index}"


class StandIns:
    """A thread with a trio loop that runs stand-ins and their clients."""

    def __init__(self):
        self.ready = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        self.ready.wait()

    def _run(self):
        trio.run(self._main)

    async def _main(self):
        self.token = trio.lowlevel.current_trio_token()
        self.stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.ready.set()
            await self.stop.wait()
            nursery.cancel_scope.cancel()

    def call(self, function, *arguments):
        """Run an async function on the loop and return its result."""
        return trio.from_thread.run(
            function, *arguments, trio_token=self.token
        )

    def serve(self, handler, *, host="127.0.0.1", port=0):
        """Serve a handler on a listener; return its port."""

        async def start():
            listeners = await trio.open_tcp_listeners(port, host=host)
            listener = HttpListener(handler=handler, limits=HttpLimits())
            self.nursery.start_soon(listener.serve, listeners, self.nursery)
            return listeners[0].socket.getsockname()[1]

        return self.call(start)

    def start_soon(self, function, *arguments):
        async def start():
            self.nursery.start_soon(function, *arguments)

        self.call(start)

    def close(self):
        trio.from_thread.run_sync(self.stop.set, trio_token=self.token)
        self.thread.join()
