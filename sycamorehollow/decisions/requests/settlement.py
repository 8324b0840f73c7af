"""Final failures of requests, and bills for what was delivered."""

import dataclasses

from sycamorehollow.decisions.requests import active_requests
from sycamorehollow.model import commands
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle


class Settlement:
    """Bills the delivered answer of each request once.

    A truncated answer is billed as soon as the relay has reported how many
    tokens were delivered.
    """

    def __init__(self):
        self._truncated: dict[str, active_requests.ActiveRequest] = {}

    def __len__(self) -> int:
        return len(self._truncated)

    def bill_complete(
        self, active: active_requests.ActiveRequest
    ) -> active_requests.ReplicateBill | None:
        """Returns the bill of a complete answer, or `None` if there is none."""
        return self._build(
            active, active.prompt_tokens, active.output_tokens, True
        )

    def fail(
        self, active: active_requests.ActiveRequest, failure: failures.Failure
    ) -> list[commands.Command]:
        """Ends a request with its final failure.

        The last attempt may have failed without being executed, but the request
        counts as not executed only if that holds for all earlier attempts.
        """
        request = active.request
        if active.classify_execution() is failures.Execution.UNKNOWN:
            failure = dataclasses.replace(
                failure, execution=failures.Execution.UNKNOWN
            )
        if active.has_delivered:
            self._truncated[request.request_id] = active
        return [
            lifecycle.FailRequest(
                request.request_id, request.workspace, failure
            )
        ]

    def bill_truncated(
        self, request_id: str, delivered_tokens: int
    ) -> list[commands.Command] | None:
        """Bills a truncated answer; returns `None` if there is none."""
        active = self._truncated.pop(request_id, None)
        if active is None:
            return None
        return self.bill_partial(active, delivered_tokens)

    def bill_partial(
        self, active: active_requests.ActiveRequest, delivered_tokens: int
    ) -> list[commands.Command]:
        """Bills the delivered tokens of an incomplete answer."""
        bill = self._build(active, 0, delivered_tokens, False)
        return [] if bill is None else [bill]

    def _build(
        self,
        active: active_requests.ActiveRequest,
        prompt_tokens: int,
        output_tokens: int,
        urgent: bool,
    ) -> active_requests.ReplicateBill | None:
        if active.priced_version is None:
            return None
        usage = active_requests.build_usage(
            active, active.priced_version, prompt_tokens, output_tokens
        )
        bill = active_requests.build_bill(active, usage)
        if bill is None:
            return None
        return active_requests.ReplicateBill(
            active.request.request_id, bill, urgent
        )
