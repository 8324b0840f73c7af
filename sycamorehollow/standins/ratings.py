"""Stand-in for the service that rates responses."""

import collections
import hashlib
import heapq
import random
import threading
import time

from sycamorehollow.standins import arguments
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings


class Ratings(server.StandIn):
    """Late, incomplete and noisy ratings.

    A score depends only on the seed, the request identity and the number of
    ratings of the version and kind before it. `PUT /quality` sets the mean
    of a `version` or `version/kind`.
    """

    def __init__(self, settings: standin_settings.RatingSettings):
        super().__init__(settings.server)
        self._settings = settings.ratings
        self._quality = dict(settings.quality.root)
        self._drift = dict(settings.drift.root)
        self._lock = threading.Lock()
        self._rated: collections.Counter[str] = collections.Counter()
        self._waiting: list[tuple[float, int, dict]] = []
        self._received = 0
        self._published: list[dict] = []

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one request."""
        if request.path == "/quality" and request.method == "PUT":
            with self._lock:
                self._quality.update(request.parse_json())
            return server.Reply(200, {})
        if request.path != "/v1/ratings":
            return server.refuse(404, "not_found", "No such path.")
        if request.method == "POST":
            self._rate(request.parse_json())
            return server.Reply(202, {})
        after = int(request.read_number("after", 0))
        with self._lock:
            self._publish()
            ratings = self._published[max(after, 0) :]
            last = len(self._published)
        return server.Reply(200, {"ratings": ratings, "last": last})

    def _rate(self, sample: dict) -> None:
        """Scores a response and keeps the score until it is due."""
        settings = self._settings
        text = f"{settings.seed}/{sample.get('request')}"
        seed = hashlib.sha256(text.encode()).digest()
        rng = random.Random(seed)
        lost = rng.random() < settings.lost_share
        delay_s = settings.delay_s + rng.random() * settings.jitter_s
        noise = rng.gauss(0.0, settings.noise)
        with self._lock:
            mean = self._read_mean(sample)
            if lost:
                return
            score = min(1.0, max(0.0, mean + noise))
            if not sample.get("answer"):
                score = 0.0
            self._received += 1
            rating = {"request": sample.get("request"), "score": score}
            due = time.monotonic() + delay_s
            heapq.heappush(self._waiting, (due, self._received, rating))

    def _read_mean(self, sample: dict) -> float:
        """Returns the mean of a version and kind and counts the sample."""
        version = str(sample.get("version", ""))
        name = f"{version}/{sample.get('kind', '')}"
        default = self._settings.default_quality
        mean = self._quality.get(name, self._quality.get(version, default))
        drift = self._drift.get(name, self._drift.get(version, 0.0))
        mean += drift * self._rated[name]
        self._rated[name] += 1
        return mean

    def _publish(self) -> None:
        now = time.monotonic()
        while self._waiting and self._waiting[0][0] <= now:
            rating = heapq.heappop(self._waiting)[2]
            number = len(self._published) + 1
            self._published.append({"number": number, **rating})


def main(argv: list[str] | None = None) -> int:
    """Runs the rating service."""
    return arguments.run_program(
        "sycamore-fake-ratings",
        standin_settings.RatingSettings,
        Ratings,
        argv,
    )


if __name__ == "__main__":
    raise SystemExit(main())
