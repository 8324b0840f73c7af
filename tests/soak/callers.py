"""Callers that keep their connections and write down what they get."""

from collections.abc import Callable
import enum
import random
import re
import threading
import time

import urllib3

from tests.soak import promises
from tests.soak import schedule

# Longest pause of a caller between two requests.
PAUSE_S = 0.12
EVENT = re.compile(rb"id: (\d+)\ndata: (\w+)\n\n")


class Path(enum.Enum):
    """What callers ask for."""

    DRAFT = "/draft/1"
    STATUS = "/status/1"
    LODGE = "/lodge/1"


class Caller:
    """One caller with its own connections."""

    def __init__(
        self, source: random.Random, is_deadly: Callable[[], bool] = bool
    ):
        self._source = source
        self._is_deadly = is_deadly
        self._http = urllib3.PoolManager(retries=False, maxsize=4)

    def ask(self, front: str, node: str, path: str) -> promises.Exchange:
        """Sends one request and returns what came of it."""
        request_id = f"{self._source.getrandbits(64):016x}"
        headers = {
            "Host": "models.example",
            "Request-Id": request_id,
            "Request-Deadline": str(int(promises.DEADLINE_S * 1000)),
            "Authorization": "Bearer key-1",
        }
        body = b""
        if path == Path.DRAFT.value:
            # Bodies of deadly requests differ, so that only the part is shared.
            body = b"prompt"
            part = f"p{self._source.randrange(4)}:200"
            if self._is_deadly():
                body = request_id.encode()
                part += f",{schedule.DEADLY_PART}:50"
            headers |= {
                "Accept": "text/event-stream",
                "Model": "*",
                "Token-Counts": "400,80",
                "Prompt-Prefix": f"{part},own:200",
            }
        elif path == Path.LODGE.value:
            body = request_id.encode()
        found = promises.Exchange(request_id, node, path, time.monotonic())
        try:
            answer = self._http.request(
                "POST" if body else "GET",
                f"http://{front}{path}",
                body=body or None,
                headers=headers,
                preload_content=False,
                timeout=urllib3.Timeout(
                    connect=1.0, read=3 * promises.DEADLINE_S
                ),
            )
            found.status = answer.status
            found.sealed = "Response-Seal" in answer.headers
            found.retry_after = "Retry-After" in answer.headers
            for data in answer.stream(4096):
                found.body += data
            answer.release_conn()
            found.whole = True
        except urllib3.exceptions.HTTPError as error:
            found.failure = type(error).__name__
        found.ended_at = time.monotonic()
        if path == Path.DRAFT.value and found.status == 200:
            found.events = [
                (int(number), name.decode())
                for number, name in EVENT.findall(found.body)
            ]
        return found


class Crowd:
    """Callers in threads.

    Args:
        seed: Makes their choices repeatable.
        fronts: Addresses by name of the node.
        count: How many callers.

    Attributes:
        sends_deadly: Whether some requests have a part that crashes engines.
    """

    def __init__(self, seed: int, fronts: dict[str, str], count: int):
        self.exchanges: list[promises.Exchange] = []
        self.sends_deadly = False
        self._fronts = fronts
        self._stopping = threading.Event()
        self._threads = [
            # A run that fails ends without waiting for its callers.
            threading.Thread(
                target=self._run,
                args=(
                    random.Random(f"{seed}/{number}"),
                    random.Random(f"{seed}/{number}/deadly"),
                ),
                daemon=True,
            )
            for number in range(count)
        ]

    def start(self) -> None:
        """Starts the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[promises.Exchange]:
        """Ends the callers and returns all exchanges."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self.exchanges

    def _run(self, source: random.Random, draws: random.Random) -> None:
        caller = Caller(
            source,
            lambda: (
                self.sends_deadly and draws.random() < schedule.DEADLY_SHARE
            ),
        )
        while not self._stopping.is_set():
            node = source.choice(list(self._fronts))
            path = source.choice(list(Path)).value
            self.exchanges.append(caller.ask(self._fronts[node], node, path))
            self._stopping.wait(source.uniform(0, PAUSE_S))
