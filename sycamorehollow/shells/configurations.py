"""Reads the settings tree from the platform's store."""

from collections.abc import Callable
import json
import threading
import time

import loguru
import urllib3

from sycamorehollow.model import deployment
from sycamorehollow.settings import tree

PREFIX = "config/"
RETRY_S = 0.5
WATCH_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 2.0


class ConfigurationReader:
    """Lists the branches, then watches them."""

    def __init__(
        self, url: str, report: Callable[[deployment.Deployment], None]
    ):
        self._url = url
        self._report = report
        self._http = urllib3.PoolManager(retries=False)
        self._branches: dict[str, tuple[int, dict]] = {}
        self._thread = threading.Thread(
            target=self._run, name="configuration", daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def _run(self) -> None:
        while True:
            try:
                self._follow(self._list())
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                time.sleep(RETRY_S)

    def _list(self) -> int:
        answer = self._http.request(
            "GET",
            f"{self._url}/v1/range",
            fields={"prefix": PREFIX},
            timeout=CALL_TIMEOUT_S,
        ).json()
        for item in answer["items"]:
            self._apply(item["key"], item["value"], item["revision"])
        self._publish()
        return answer["revision"]

    def _follow(self, revision: int) -> None:
        while True:
            answer = self._http.request(
                "GET",
                f"{self._url}/v1/watch",
                fields={
                    "prefix": PREFIX,
                    "after": str(revision),
                    "timeout": str(WATCH_TIMEOUT_S),
                },
                timeout=WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
            ).json()
            revision = answer["revision"]
            if not answer["events"]:
                continue
            for event in answer["events"]:
                self._apply(event["key"], event["value"], event["revision"])
            self._publish()

    def _apply(self, key: str, value: str, revision: int) -> None:
        name = key.removeprefix(PREFIX)
        known, _ = self._branches.get(name, (0, {}))
        if revision > known:
            self._branches[name] = (revision, json.loads(value))

    def _publish(self) -> None:
        current, faults = tree.convert(self._branches)
        for name, found in faults.items():
            loguru.logger.warning("configuration: {} {}", name, found)
        self._report(current)
