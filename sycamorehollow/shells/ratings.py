"""Client of the rating service."""

from collections.abc import Callable

import pydantic

from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.settings import responses
from sycamorehollow.shells import completions
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling

INTERVAL_S = 0.5
HTTP_OK = 200


class RatingClient:
    """Submits answers to the rating service and polls for ratings."""

    def __init__(
        self,
        url: str,
        workers: http_workers.HttpWorkers,
        report: Callable[[events.Event], None],
    ):
        self._url = url
        self._workers = workers
        self._report = report
        self._cursor = 0

    def build_jobs(self) -> dict[str, polling.Job]:
        """Returns the job that polls for ratings."""
        return {"ratings": polling.Job(INTERVAL_S, self._poll)}

    def submit(self, command: lifecycle.RequestRating) -> None:
        """Submits an answer; its rating arrives later with a poll, or never."""
        self._workers.submit(lambda: self._send(command))

    def _send(self, command: lifecycle.RequestRating) -> None:
        self._workers.request(
            "POST",
            f"{self._url}/v1/ratings",
            json={
                "request": command.answer_id,
                "workspace": command.workspace,
                "kind": command.kind,
                "version": command.version,
                "prompt": command.prompt.decode("utf-8", "replace"),
                "answer": completions.join_text(command.answer),
            },
        )

    def _poll(self) -> None:
        response = self._workers.request(
            "GET",
            f"{self._url}/v1/ratings",
            fields={"after": str(self._cursor)},
        )
        if isinstance(response, failures.Failure):
            return
        if response.status != HTTP_OK:
            return
        try:
            batch = responses.Ratings.model_validate_json(response.data)
        except pydantic.ValidationError:
            return
        # A number below the previous one means that the service restarted.
        self._cursor = batch.last
        for rating in batch.ratings:
            self._report(lifecycle.AnswerRated(rating.request, rating.score))
