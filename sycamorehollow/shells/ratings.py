"""Client of the rating service."""

from collections.abc import Callable

import pydantic

from sycamorehollow.model import events
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle
from sycamorehollow.settings import answers
from sycamorehollow.shells import completions
from sycamorehollow.shells import http_workers
from sycamorehollow.shells import polling

INTERVAL_S = 0.5
HTTP_OK = 200


class RatingClient:
    """Sends answers to the rating service and reads its ratings."""

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
        """Returns the job that reads ratings."""
        return {"ratings": polling.Job(INTERVAL_S, self._poll)}

    def submit(self, command: lifecycle.RequestRating) -> None:
        """Sends an answer; the rating arrives later, or never."""
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
        answer = self._workers.request(
            "GET",
            f"{self._url}/v1/ratings",
            fields={"after": str(self._cursor)},
        )
        if isinstance(answer, failures.Failure):
            return
        if answer.status != HTTP_OK:
            return
        try:
            found = answers.Ratings.model_validate_json(answer.data)
        except pydantic.ValidationError:
            return
        # A lower number shows that the service has started again.
        self._cursor = found.last
        for rating in found.ratings:
            self._report(lifecycle.AnswerRated(rating.request, rating.score))
