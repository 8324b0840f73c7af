"""Stand-in for the weight store with its rate limit."""

import hashlib
import threading
import time

from sycamorehollow.standins import arguments
from sycamorehollow.standins import limits
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

PREFIX = "/v1/weights/"


class Weights(server.StandIn):
    """Weight store; it names the weights and does not carry them."""

    def __init__(self, settings: standin_settings.WeightSettings):
        super().__init__(settings.server)
        self._settings = settings.weights
        self._lock = threading.Lock()
        self._limit = limits.RateLimit(settings.weights.calls_per_s)
        self._served = 0
        self._rejected = 0

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one request."""
        if request.path == "/stats":
            counts = {"served": self._served, "rejected": self._rejected}
            return server.Reply(200, counts)
        if not request.path.startswith(PREFIX):
            return server.refuse(404, "not_found", "No such path.")
        with self._lock:
            if not self._limit.take(time.monotonic()):
                self._rejected += 1
                refusal = server.refuse(429, "rate_limited", "Too many calls.")
                retry = {"Retry-After": str(self._settings.retry_after_s)}
                return server.Reply(429, refusal.document, retry)
            self._served += 1
        version = request.path[len(PREFIX) :]
        document = {
            "version": version,
            "size_bytes": self._settings.size_bytes,
            "checksum": hashlib.sha256(version.encode()).hexdigest(),
        }
        return server.Reply(200, document)


def main(argv: list[str] | None = None) -> int:
    """Runs the weight store."""
    return arguments.run_program(
        "sycamore-fake-weights",
        standin_settings.WeightSettings,
        Weights,
        argv,
    )


if __name__ == "__main__":
    raise SystemExit(main())
