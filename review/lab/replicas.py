"""Stand-in of a replica that registers itself in the store."""

import threading
import time

from review.lab import web

HEARTBEAT_S = 1.2


class Replica(web.Server):
    """Runs requests in a number of slots.

    Attributes:
        identity: Its name in the store.
        runs: Request id, start and end of each request that it has run;
            the end is `None` while it runs, and stays so if it is cut off.
        arrivals: Request id and time of each request that reached it.
        work_s: Time that a request takes.
        answer_bytes: Length of an answer.
    """

    def __init__(self, identity, service, zone, slots=6, queue=24):
        self.identity = identity
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.runs = {}
        self.arrivals = []
        self.work_s = 0.015
        self.answer_bytes = 800
        self._born = int(time.time() * 1000)
        self._seq = 0
        self._lock = threading.Condition()
        self._running = 0
        self._waiting = 0
        self._stopped = threading.Event()
        super().__init__()

    def register(self, store, beats=True):
        """Writes its entry now, and at each heartbeat until it leaves."""
        self._left = threading.Event()
        self._put(store)
        if not beats:
            return
        threading.Thread(target=self._beat, args=(store,), daemon=True).start()

    def leave(self, store):
        """Removes its entry; returns when the store acknowledged that."""
        self._left.set()
        with self._lock:
            return store.remove(f"servers/{self.identity}")

    def _beat(self, store):
        while not self._left.wait(HEARTBEAT_S):
            self._put(store)

    def _put(self, store):
        with self._lock:
            if self._left.is_set():
                return
            self._seq += 1
            store.put(
                f"servers/{self.identity}",
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "seq": self._seq,
                    "born": self._born,
                },
            )

    def handle(self, request, body):
        """Answers one request."""
        if request.headers.get("Target-Replica", "") not in ("", self.identity):
            request.reply(421, {"Replica-Id": self.identity})
            return
        if request.path in ("/health", "/-/report"):
            request.reply(200, {"Replica-Id": self.identity})
            return
        identity = request.headers["Request-Id"]
        self.arrivals.append((identity, time.monotonic()))
        if not self._enter():
            self.reject(request, identity)
            return
        try:
            self.runs[identity] = (time.monotonic(), None)
            self.run(request, identity, body)
            self.runs[identity] = (self.runs[identity][0], time.monotonic())
        finally:
            with self._lock:
                self._running -= 1
                self._lock.notify()

    def _enter(self):
        """Takes a slot; returns whether there was room to wait for one."""
        with self._lock:
            if self._running >= self.slots and self._waiting >= self.queue:
                return False
            self._waiting += 1
            while self._running >= self.slots:
                self._lock.wait()
            self._waiting -= 1
            self._running += 1
            return True

    def reject(self, request, identity):
        """Turns a request away for want of room."""
        headers = {"Request-Id": identity, "Not-Executed": "1"}
        request.reply(503, headers | self.describe())

    def run(self, request, identity, body):
        """Works on a request and answers it."""
        del body
        if self._stopped.wait(self.work_s):
            raise ConnectionAbortedError("the replica has ended")
        headers = {
            "Request-Id": identity,
            "Response-Seal": f"seal.{self.identity}.{identity}",
        }
        answer = identity.encode().ljust(self.answer_bytes, b".")
        request.reply(200, headers | self.describe(), answer)

    def describe(self):
        """Returns the headers that it adds to all its answers."""
        load = f"{self._running},{self._waiting},{self.slots}"
        return {"Replica-Load": load}

    def stop(self):
        """Ends it; requests that it works on are cut off."""
        self._stopped.set()
        super().stop()
