"""Polls of the load reports and the cache events of engines."""

from collections.abc import Callable
import time

import pydantic

from sycamorehollow.decisions.operations import orders
from sycamorehollow.decisions.routing import prefix_index
from sycamorehollow.decisions.routing import upstream_events
from sycamorehollow.model import deployment
from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.settings import responses
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling

LOAD_INTERVAL_S = 1.0
CACHE_INTERVAL_S = 2.0
JOB_PREFIX = "upstream/"
HTTP_OK = 200


class UpstreamPolls:
    """Polls the configured engines and reports the results as events.

    Attributes:
        has_load: Whether any engine has reported its load.
    """

    def __init__(
        self,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
    ):
        self.has_load = False
        self._workers = workers
        self._report = report
        self._generations: dict[str, int] = {}
        self._cursors: dict[str, int] = {}

    def build_jobs(
        self, current: deployment.Deployment
    ) -> dict[str, polling.Job]:
        """Returns one load job and one cache job for each engine."""
        jobs = {}
        for upstream in current.upstreams.values():
            if not upstream.versions:
                continue
            jobs[f"{JOB_PREFIX}load/{upstream.name}/{upstream.url}"] = (
                polling.Job(
                    LOAD_INTERVAL_S, self._bind(self._poll_load, upstream)
                )
            )
            jobs[f"{JOB_PREFIX}cache/{upstream.name}/{upstream.url}"] = (
                polling.Job(
                    CACHE_INTERVAL_S, self._bind(self._poll_cache, upstream)
                )
            )
        return jobs

    def _bind(
        self,
        poll: Callable[[deployment.Upstream], None],
        upstream: deployment.Upstream,
    ) -> Callable[[], None]:
        return lambda: poll(upstream)

    def _poll_load(self, upstream: deployment.Upstream) -> None:
        requested_at = time.monotonic()
        response = self._workers.request("GET", f"{upstream.url}/v1/load")
        if isinstance(response, http_workers.CallFailed):
            if response.connection_refused:
                self._report(upstream_events.ConnectFailed(upstream.name))
            else:
                self._report(upstream_events.PollUnanswered(upstream.name))
            return
        try:
            report = responses.LoadReport.model_validate_json(response.data)
        except pydantic.ValidationError:
            return
        self._generations[upstream.name] = report.generation
        self._report(
            upstream_events.LoadReported(
                upstream=upstream.name,
                measured_at=requested_at,
                generation=report.generation,
                cold=report.cold,
                bearable=report.bearable,
                held_tokens=report.held_tokens,
                capacity_tokens=report.capacity_tokens,
                running=report.running,
                queued=report.queued,
            )
        )
        self.has_load = True
        self._report(
            orders.EngineReported(
                upstream.name,
                frozenset(report.versions),
                report.role,
                requested_at,
            )
        )

    def _poll_cache(self, upstream: deployment.Upstream) -> None:
        generation = self._generations.get(upstream.name)
        if generation is None:
            return
        after = self._cursors.get(upstream.name, 0)
        response = self._workers.request(
            "GET",
            f"{upstream.url}/v1/cache-events",
            fields={"after": str(after)},
        )
        if isinstance(response, failures.Failure):
            return
        if response.status != HTTP_OK:
            return
        try:
            batch = responses.CacheEvents.model_validate_json(response.data)
        except pydantic.ValidationError:
            return
        self._cursors[upstream.name] = batch.last
        for event in batch.events:
            stored = event.type == "stored"
            self._report(
                prefix_index.CacheChanged(
                    upstream.name,
                    event.number,
                    generation,
                    (event.prefix,) if stored else (),
                    () if stored else (event.prefix,),
                )
            )
