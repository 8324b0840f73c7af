"""Scheduler of the periodic polls of upstreams and the platform."""

from collections.abc import Callable
import dataclasses
import random
import threading
import time

from sycamorehollow.shells import http_workers
from sycamorehollow.shells import tasks

CHECK_INTERVAL_S = 0.05
JITTER_SHARE = 0.1


@dataclasses.dataclass
class Job:
    """A periodic poll.

    Attributes:
        interval_s: Time between the starts of two polls.
        action: Executes the poll; runs on a worker thread.
        due_at: Monotonic time in seconds at which the next poll starts.
        running: Whether a poll is in progress.
    """

    interval_s: float
    action: Callable[[], None]
    due_at: float = 0.0
    running: bool = False


class Poller(tasks.Task):
    """Starts each job when it is due, unless its last poll still runs.

    Args:
        workers: Threads that execute the polls.
        rng: Random source of the jitter, which keeps the processes of a
            fleet from polling at the same time.
    """

    def __init__(self, workers: http_workers.HttpWorkers, rng: random.Random):
        super().__init__("polling")
        self._workers = workers
        self._rng = rng
        self._jobs: dict[str, Job] = {}
        self._lock = threading.Lock()
        self._wake_event = threading.Event()

    def set_jobs(self, prefix: str, jobs: dict[str, Job]) -> None:
        """Replaces the jobs whose names start with a prefix.

        Jobs that exist already under the same name keep their schedule.
        """
        with self._lock:
            for name in list(self._jobs):
                if name.startswith(prefix) and name not in jobs:
                    del self._jobs[name]
            for name, job in jobs.items():
                self._jobs.setdefault(name, job)

    def _wake(self) -> None:
        self._wake_event.set()

    def _run(self) -> None:
        while not self._stopping:
            now = time.monotonic()
            with self._lock:
                due = [
                    job
                    for job in self._jobs.values()
                    if not job.running and now >= job.due_at
                ]
            for job in due:
                self._start(job, now)
            self._wake_event.wait(CHECK_INTERVAL_S)

    def _start(self, job: Job, now: float) -> None:
        job.running = True
        jitter = self._rng.uniform(-JITTER_SHARE, JITTER_SHARE)
        job.due_at = now + job.interval_s * (1 + jitter)
        self._workers.submit(lambda: self._execute(job))

    def _execute(self, job: Job) -> None:
        try:
            job.action()
        finally:
            job.running = False
