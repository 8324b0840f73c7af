"""Candidate upstreams for the next attempt of one request."""

from collections.abc import Collection
import math

from sycamorehollow.decisions.forwarding import part_guard
from sycamorehollow.decisions.forwarding import placement
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.model import forwarding


class Candidates:
    """Selects upstreams in view of the outcomes of earlier attempts.

    Args:
        router: State of the deployment.
        request: The request.
        service: Service selected for the request.
        session: Affinity key; requests with the same key get the same version.
        body_bytes: Length of the body.
        guard: Restricts prompts that may crash upstreams.
        due_at: Monotonic time in seconds at which the first event is due.

    Attributes:
        model: Requested model; empty for a plain service.
        no_failures: Whether no attempt has failed; a response that was
            discarded for a larger model is no failure.
        delivering: Whether the caller has received part of the response.
    """

    def __init__(
        self,
        router: routers.Router,
        request: forwarding.Request,
        service: forwarding.Service,
        session: str,
        body_bytes: int,
        guard: part_guard.PartGuard,
        due_at: float = math.inf,
    ):
        self.model = ""
        self.no_failures = True
        self.delivering = False
        self.due_at = due_at
        self._router = router
        self._request = request
        self._service = service
        self._session = session
        self._body_bytes = body_bytes
        self._guard = guard
        self._tried: set[str] = set()
        self._version = ""

    @property
    def has_tried_upstreams(self) -> bool:
        """Whether upstreams are excluded because they were tried before."""
        return bool(self._tried)

    def record_sent(self, upstream: forwarding.Upstream) -> None:
        """Records that the request was sent to an upstream."""
        self._tried.add(upstream.identity)
        self._version = upstream.version

    def clear_tried(self) -> None:
        """Allows upstreams that were tried before."""
        self._tried.clear()

    def build_requirements(self, now: float) -> placement.Requirements:
        """Returns the requirements of the next attempt."""
        return self._build_requirements(
            self.model, self.no_failures, self._tried, now
        )

    def get_assignment_share(self, version: str, now: float) -> float:
        """Returns the traffic share by which a version was assigned."""
        return self._router.rollouts.get_assignment_share(
            self._service.name,
            version,
            self._session if self.no_failures else None,
            now,
        )

    def choose_for_model(self, model: str, now: float) -> placement.Choice:
        """Returns the best upstream for another model."""
        work = self._build_requirements(model, self.no_failures, (), now)
        return self._guard.choose(work, now)

    def choose_alternative(self, current: str, now: float) -> placement.Choice:
        """Returns the upstream to fail over to if the attempt failed now.

        Args:
            current: Identity of the upstream that is always excluded.
            now: Monotonic time in seconds.
        """
        work = self._build_requirements(self.model, False, self._tried, now)
        choice = self._guard.choose(work, now)
        if choice.eligible:
            return choice
        # All others were tried; a second try is better than a failure.
        work = self._build_requirements(self.model, False, {current}, now)
        return self._guard.choose(work, now)

    def _build_requirements(
        self,
        model: str,
        no_failures: bool,
        excluded: Collection[str],
        now: float,
    ) -> placement.Requirements:
        return placement.Requirements(
            self._request,
            self._service,
            self._body_bytes,
            model,
            self._choose_versions(no_failures, now),
            frozenset(excluded),
            self.due_at,
        )

    def _choose_versions(
        self, no_failures: bool, now: float
    ) -> set[str] | None:
        router = self._router
        name = self._service.name
        allowed = router.choose_versions(name, self._session, no_failures, now)
        if not self.delivering or allowed is None:
            return allowed
        # The version that began a response also completes it, unless it is
        # stopped, suspected of being slow or without upstreams.
        usable = {
            state.upstream.version
            for state in router.directory.list_usable(name, now)
        }
        if (
            self._version not in usable
            or router.rollouts.is_stopped(name, self._version)
            or router.rollouts.is_suspected(name, self._version)
        ):
            return allowed
        return {self._version}
