"""Final failures and bills of requests."""

import dataclasses

from sycamorehollow.decisions.requests import active as actives
from sycamorehollow.model import commands
from sycamorehollow.model import failures
from sycamorehollow.model import lifecycle


class Settlement:
    """Bills what was delivered, once per request.

    An answer that breaks off is billed when the relay has told how many
    tokens went to the caller.
    """

    def __init__(self):
        self._cut: dict[str, actives.ActiveRequest] = {}

    def __len__(self) -> int:
        return len(self._cut)

    def bill_whole(
        self, active: actives.ActiveRequest
    ) -> actives.SecureBill | None:
        """Returns the bill of a whole answer, or `None` if it is empty."""
        return self._build(
            active, active.prompt_tokens, active.output_tokens, True
        )

    def refuse(
        self, active: actives.ActiveRequest, failure: failures.Failure
    ) -> list[commands.Command]:
        """Gives the caller its final failure.

        A later step may fail with a refusal of its own, but the request was
        not run only if no earlier attempt may have run.
        """
        request = active.request
        if active.describe_run() is failures.Execution.UNKNOWN:
            failure = dataclasses.replace(
                failure, execution=failures.Execution.UNKNOWN
            )
        if active.delivered:
            self._cut[request.request_id] = active
        return [
            lifecycle.RefuseRequest(
                request.request_id, request.workspace, failure
            )
        ]

    def end_cut(
        self, request_id: str, delivered_tokens: int
    ) -> list[commands.Command] | None:
        """Bills a broken answer; returns `None` if there was none."""
        active = self._cut.pop(request_id, None)
        if active is None:
            return None
        return self.bill_delivered(active, delivered_tokens)

    def bill_delivered(
        self, active: actives.ActiveRequest, delivered_tokens: int
    ) -> list[commands.Command]:
        """Bills the tokens of an answer that is not whole."""
        bill = self._build(active, 0, delivered_tokens, False)
        return [] if bill is None else [bill]

    def _build(
        self,
        active: actives.ActiveRequest,
        prompt_tokens: int,
        output_tokens: int,
        urgent: bool,
    ) -> actives.SecureBill | None:
        if active.priced is None:
            return None
        usage = actives.measure_usage(
            active, active.priced, prompt_tokens, output_tokens
        )
        bill = actives.build_bill(active, usage)
        if bill is None:
            return None
        return actives.SecureBill(active.request.request_id, bill, urgent)
