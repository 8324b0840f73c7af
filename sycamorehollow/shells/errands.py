"""Short HTTP calls to upstreams and the platform outside the relay."""

from collections.abc import Callable
import concurrent.futures
from typing import Any

import loguru
import urllib3

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 2.0
THREADS = 8


class Errands:
    """Runs short calls on a few threads of its own."""

    def __init__(self):
        self._http = urllib3.PoolManager(
            maxsize=THREADS,
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S
            ),
        )
        self._pool = concurrent.futures.ThreadPoolExecutor(
            THREADS, thread_name_prefix="errands"
        )

    def submit(self, action: Callable[[], Any]) -> None:
        """Runs an action on a free thread."""
        self._pool.submit(self._run, action)

    def request(
        self, method: str, url: str, **options: Any
    ) -> urllib3.BaseHTTPResponse | None:
        """Makes one call; returns `None` when it failed."""
        try:
            return self._http.request(method, url, **options)
        except urllib3.exceptions.HTTPError as error:
            loguru.logger.debug("errands: {} {} failed: {}", method, url, error)
            return None

    def stop(self) -> None:
        """Ends the threads after their current calls."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _run(self, action: Callable[[], Any]) -> None:
        try:
            action()
        except Exception:
            loguru.logger.exception("errands: action failed")
