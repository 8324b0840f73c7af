"""Sends the calls of duties within the platform's rate."""

from collections.abc import Callable
import dataclasses

import prometheus_client

from sycamorehollow.decisions.duties import duty as duties
from sycamorehollow.decisions.duties import ownership
from sycamorehollow.shells.gateway import duty_client
from sycamorehollow.shells.gateway import duty_codec
from sycamorehollow.shells.gateway import telemetry

# Calls of one duty in flight or queued.
MAX_CALLS = 4
# After a call that failed, the duty makes none for this time.
PAUSE_S = 0.5
# Part of the platform's rate that this node uses; a former owner or the owner
# of another duty may use the rest.
RATE_SHARE = 0.5
BURST_S = 0.5


@dataclasses.dataclass
class Entry:
    """A duty and this node's part in it.

    Attributes:
        duty: The duty.
        candidate: This node's candidacy.
        state: State of the candidate as it was last logged.
        pending: Unsent calls by subject.
        in_flight: Subjects of the calls without a result.
        is_writing: Whether the write of a record has no result.
        paused_until: Boot time until which no calls are made.
    """

    duty: duties.Duty
    candidate: ownership.Ownership
    state: ownership.State = ownership.State.IDLE
    pending: dict[str, duties.Call] = dataclasses.field(default_factory=dict)
    in_flight: set[str] = dataclasses.field(default_factory=set)
    is_writing: bool = False
    paused_until: float = 0.0


class DutySender:
    """Runs in the event loop of the gateway; a thread makes the calls.

    Args:
        node: Name of this node.
        codec: Encodes calls.
        client: Makes the calls.
        worker: Thread of the calls.
        calls_per_s: Calls per second that the platform accepts.
        telemetry_sink: Records every call.
    """

    def __init__(
        self,
        node: str,
        codec: duty_codec.DutyCodec,
        client: duty_client.DutyClient,
        worker: duty_client.Worker,
        calls_per_s: float,
        telemetry_sink: telemetry.Telemetry,
    ):
        self._node = node
        self._codec = codec
        self._client = client
        self._worker = worker
        self._rate_per_s = calls_per_s * RATE_SHARE
        self._credit = 1.0
        self._earned_at = duty_client.read_boot_time()
        self._telemetry = telemetry_sink
        self._calls = prometheus_client.Counter(
            "sycamore_duty_calls",
            "Calls of duties to the platform",
            ["duty", "result"],
            registry=telemetry_sink.registry,
        )

    def send(self, entry: Entry, now: float) -> None:
        """Sends calls as far as the rate and the calls in flight allow."""
        if not entry.pending or now < entry.paused_until:
            return
        limit = max(1.0, self._rate_per_s * BURST_S)
        earned = (now - self._earned_at) * self._rate_per_s
        self._credit = min(limit, self._credit + earned)
        self._earned_at = now
        for subject, call in list(entry.pending.items()):
            if self._credit < 1 or len(entry.in_flight) >= MAX_CALLS:
                return
            if subject in entry.in_flight:
                continue
            if not self._submit(entry, call):
                return
            del entry.pending[subject]
            self._credit -= 1
            entry.in_flight.add(subject)

    def _submit(self, entry: Entry, call: duties.Call) -> bool:
        """Queues a call; returns `False` if too many wait."""
        candidate, token = entry.candidate, entry.candidate.token
        message = self._codec.encode_call(call, self._node, token)

        def may_call(now: float, duration_s: float) -> bool:
            if candidate.token != token:
                return False
            # Recorded first, so that no later ownership overlooks it.
            candidate.record_call(now, duration_s)
            return candidate.can_call(now, duration_s)

        def run() -> Callable[[], None]:
            try:
                result, detail = self._client.send(message, may_call)
            except Exception as error:
                result, detail = duties.Result.UNKNOWN, f"error {error!r}"
            return lambda: self._record_result(
                entry, call, token, result, detail
            )

        return self._worker.submit(run)

    def _record_result(
        self,
        entry: Entry,
        call: duties.Call,
        token: int,
        result: duties.Result,
        detail: str,
    ) -> None:
        now = duty_client.read_boot_time()
        entry.in_flight.discard(call.subject)
        name = entry.duty.name
        self._calls.labels(name, result.value).inc()
        self._telemetry.record_state_change(
            f"duty={name}",
            f"call={call.subject} {result.value} token={token} {detail} {call}",
            "duties",
        )
        if result not in (duties.Result.ACCEPTED, duties.Result.REJECTED):
            entry.paused_until = now + PAUSE_S
        entry.duty.record_result(call, result, now)
