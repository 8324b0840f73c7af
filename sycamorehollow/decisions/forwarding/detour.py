"""Sends one request through other nodes while this node is isolated.

The other node treats it like a request of its own callers, with its own limits
and in its own order of urgency, but sends it on to upstreams only. Its response
is final unless it states that it did not take the request.

The kernel of a process that is paused accepts connections and takes requests
for it, and the process runs them once it goes on. So a node gets a request only
after a sign of life, and one that falls silent is asked for another. A request
that may run twice then goes through a different node.
"""

from sycamorehollow.decisions.forwarding import attempt_limits
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import failover
from sycamorehollow.decisions.forwarding import router as routers
from sycamorehollow.decisions.forwarding import steps
from sycamorehollow.model import forwarding

# Nodes that a request is sent through at most.
MAX_NODES = 4
# `Retry-After` while no node reaches an upstream, about the time between two
# looks at whether this has changed.
ISOLATED_RETRY_AFTER_S = 1.0
RESUMED_STATUS = 200
# Silence of a node after which it is asked for a sign of life, and the time in
# which it has to give one.
CHECK_AFTER_S = 0.3
CHECK_TIMEOUT_S = 0.25
# Interval of looking for another way while a silent node has the request.
RECHECK_S = 0.1
NO_SIGN_OF_LIFE = "the node gave no sign of life"
NO_WAY = "neither this node nor another one reaches an upstream"


class Detour:
    """Attempts of one request through other nodes.

    Args:
        router: State of the deployment.
        service: Service selected for the request.
        limits: Limits on the attempts of the request.
        retries: Conditions of one more attempt.
        is_allowed: Whether the request may go through another node; one that
            came from a node may not.
    """

    def __init__(
        self,
        router: routers.Router,
        service: forwarding.Service,
        limits: attempt_limits.AttemptLimits,
        retries: failover.Failover,
        is_allowed: bool,
    ):
        self._router = router
        self._service = service
        self._limits = limits
        self._failover = retries
        self._is_allowed = is_allowed
        self._nodes_used = 0

    @property
    def is_needed(self) -> bool:
        """Whether the request may not go directly to upstreams now."""
        return self._is_allowed and self._router.isolation.is_isolated

    def choose(
        self, left_s: float, must_deliver: bool, now: float
    ) -> steps.SendThrough | steps.Reject | None:
        """Returns the next step of the request, or `None` to go on without.

        Args:
            left_s: Seconds to the deadline.
            must_deliver: Whether a response was delivered in part.
            now: Monotonic time in seconds.
        """
        if not self.is_needed or self._failover.find_permanent_limit(now):
            return None
        if self._nodes_used < MAX_NODES:
            name = self._router.helpers.choose(self._router.nodes, now)
            if name is not None:
                return self._send(name, left_s)
        may_end = not must_deliver and not self._limits.possible_runs
        if self._router.isolation.has_open_connections or not may_end:
            return None
        return steps.Reject(
            steps.Unavailable(NO_WAY, retry_after_s=ISOLATED_RETRY_AFTER_S)
        )

    def compute_timeout(
        self, attempt: steps.Attempt, left_s: float, now: float
    ) -> float:
        """Returns the seconds to wait for the next byte of a node.

        0 if it has given no sign of life. A node that has decides by itself how
        long it waits for its upstreams.
        """
        if attempt.is_node_silent:
            return 0.0
        since = max(attempt.last_byte_at, attempt.checked_at)
        return min(left_s, max(0.01, since + CHECK_AFTER_S - now))

    def needs_check(self, attempt: steps.Attempt, now: float) -> bool:
        """Returns whether to ask a silent node for a sign of life."""
        since = max(attempt.last_byte_at, attempt.checked_at)
        return now - since >= CHECK_AFTER_S

    def record_check(
        self, attempt: steps.Attempt, is_alive: bool, now: float
    ) -> None:
        """Records whether the node of a silent attempt gave a sign of life."""
        attempt.checked_at = now
        attempt.is_node_silent = not is_alive
        if is_alive:
            self._router.helpers.record_response(attempt.node, now)
        else:
            self._router.helpers.record_failure(attempt.node, now)

    def choose_other(
        self, attempt: steps.Attempt, left_s: float, now: float
    ) -> steps.SendThrough | None:
        """Returns the step through another node than a silent one, if any.

        The attempt ends only if there is one.
        """
        step = self.choose(left_s, True, now)
        if not isinstance(step, steps.SendThrough):
            return None
        attempt.end(steps.EndCause.TIMEOUT, NO_SIGN_OF_LIFE, now)
        return step

    def _send(self, name: str, left_s: float) -> steps.SendThrough:
        """Returns the step that sends the request through a node."""
        self._nodes_used += 1
        earlier = self._limits.possible_runs
        self._limits.possible_runs += 1
        node = self._router.nodes[name]
        host, _, port = node.relay_address.rpartition(":")
        upstream = forwarding.Upstream(
            identity=f"node:{name}",
            service=self._service.name,
            host=host,
            port=int(port),
            data_centre=node.data_centre,
            version="",
            slots=0,
            draining=False,
        )
        state = directory.UpstreamState(upstream, 0.0, 0.0)
        return steps.SendThrough(state, "", left_s, NO_WAY, name, earlier)

    def start(self, step: steps.SendThrough, now: float) -> steps.Attempt:
        """Returns the attempt of a step."""
        return steps.Attempt(
            step.state, "", now, 0, 0.0, now, 0.0, node=step.node
        )

    def evaluate_head(
        self,
        attempt: steps.Attempt,
        status: int,
        refusal: str,
        is_delivering: bool,
        now: float,
    ) -> steps.Verdict:
        """Decides whether to deliver the response of another node.

        Args:
            attempt: The attempt.
            status: Status of the response.
            refusal: Why the node did not take the request; empty if it did.
            is_delivering: Whether the caller has received part of a response.
            now: Monotonic time in seconds.
        """
        attempt.last_byte_at = now
        self._router.helpers.record_response(attempt.node, now)
        if refusal:
            attempt.end_by_upstream(f"not taken: {refusal}", now)
            self._limits.possible_runs -= 1
            self._router.helpers.record_failure(attempt.node, now)
            return steps.Verdict.RETRY
        if is_delivering and status != RESUMED_STATUS:
            # The caller already has the head of another response.
            attempt.end_by_upstream(f"did not resume, {status}", now)
            return steps.Verdict.RETRY
        attempt.response_accepted = True
        if status < 500:
            self._router.isolation.is_confirmed = True
        return steps.Verdict.DELIVER

    def record_failure(
        self,
        attempt: steps.Attempt,
        reason: str,
        request_written: bool,
        now: float,
    ) -> None:
        """Records that the connection to a node failed or broke."""
        attempt.end(steps.EndCause.UPSTREAM, reason, now)
        if not request_written:
            self._limits.possible_runs -= 1
        self._router.helpers.record_failure(attempt.node, now)
