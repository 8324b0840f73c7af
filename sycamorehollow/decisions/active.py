"""State of one request while it is served."""

import dataclasses

from sycamorehollow.decisions import planning
from sycamorehollow.model import deployment
from sycamorehollow.model import lifecycle
from sycamorehollow.model import requests

TOKENS_PER_PRICE_UNIT = 1000


@dataclasses.dataclass
class ActiveRequest:
    """One request that has not had its final answer.

    Attributes:
        step: Index of the current version in the plan.
        attempt: Number of the current attempt; numbers only grow.
        tried: Upstreams on which an attempt failed.
        held: Whether the chunks of the attempt are kept back.
        output_tokens: Output tokens of the answer, once it is whole.
    """

    request: requests.ModelRequest
    plan: planning.Plan
    step: int = 0
    attempt: int = 0
    upstream: deployment.Upstream | None = None
    tried: frozenset[str] = frozenset()
    held: bool = False
    produced: bool = False
    resumes: int = 0
    retries: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    rating_deadline: float | None = None
    finishing: bool = False
    discarded: tuple[lifecycle.DiscardedAttempt, ...] = ()
    failure: lifecycle.RefuseRequest | None = None

    @property
    def version(self) -> str:
        """The version of the current attempt."""
        return self.plan.steps[self.step]

    @property
    def delivered(self) -> bool:
        """Whether a chunk may have reached the caller."""
        return self.produced and not self.held

    @property
    def has_dearer_step(self) -> bool:
        """Whether the plan has another version after the current one."""
        return self.step + 1 < len(self.plan.steps)


def price_tokens(
    version: deployment.Version, prompt_tokens: int, output_tokens: int
) -> int:
    """Returns the price in micro-units of currency, rounded up."""
    total = (
        version.prompt_price * prompt_tokens
        + version.output_price * output_tokens
    )
    return -(-total // TOKENS_PER_PRICE_UNIT)


def build_bill(
    active: ActiveRequest,
    version: deployment.Version,
    prompt_tokens: int,
    output_tokens: int,
) -> lifecycle.Bill:
    """Returns the bill for the delivered answer of a request."""
    request = active.request
    assert active.upstream is not None
    return lifecycle.Bill(
        workspace=request.workspace,
        identity=request.idempotency_key or request.request_id,
        request_id=request.request_id,
        version=version.name,
        upstream=active.upstream.name,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        amount=price_tokens(version, prompt_tokens, output_tokens),
        discarded=active.discarded,
    )
