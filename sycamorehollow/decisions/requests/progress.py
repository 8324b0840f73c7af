"""Progress timeouts, which detect stalled connections.

A connection has a timeout for the phase that it is in. An idle connection is
probed before it is closed.
"""

import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# A healthy peer acknowledges written bytes within milliseconds.
WRITE_TIMEOUT_S = 5.0
# Long enough for a long prompt that is queued at a busy upstream.
FIRST_BYTE_TIMEOUT_S = 60.0
# The 95th percentile of the time between tokens is 54 ms; a gap two hundred
# times as long is not a slow token.
NEXT_BYTE_TIMEOUT_S = 10.0
PROBE_INTERVAL_S = 15.0
PROBE_TIMEOUT_S = 5.0


class Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        IDLE: Nothing; it is kept for reuse.
        PROBED: The response to a probe.
        WRITING: Bytes of the request to be accepted.
        FIRST_BYTE: The first byte of the response.
        READING: More bytes of the response.
        PAUSED: Nothing; the router has paused reading.
    """

    IDLE = "idle"
    PROBED = "probed"
    WRITING = "writing"
    FIRST_BYTE = "first_byte"
    READING = "reading"
    PAUSED = "paused"


@dataclasses.dataclass(frozen=True)
class PhaseChanged(events.Event):
    """A connection has entered a phase; the first one opens it.

    Attributes:
        timeout_s: Timeout of this phase instead of the default, for example
            for the estimated duration of a long prompt.
    """

    connection: str
    phase: Phase
    timeout_s: float | None = None


@dataclasses.dataclass(frozen=True)
class ProgressMade(events.Event):
    """Bytes were sent or received, or a probe was answered."""

    connection: str


@dataclasses.dataclass(frozen=True)
class ConnectionClosed(events.Event):
    """A connection is closed."""

    connection: str


@dataclasses.dataclass(frozen=True)
class ProbeConnection(commands.Command):
    """Probes an idle connection."""

    connection: str


@dataclasses.dataclass(frozen=True)
class CloseConnection(commands.Command):
    """Closes a stalled connection; its attempt ends with the failure."""

    connection: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class ConnectionSilent(failures.Failure):
    """The connection stayed open without any progress."""

    code = "connection_silent"
    status = 504


TIMEOUTS_S = {
    Phase.IDLE: PROBE_INTERVAL_S,
    Phase.PROBED: PROBE_TIMEOUT_S,
    Phase.WRITING: WRITE_TIMEOUT_S,
    Phase.FIRST_BYTE: FIRST_BYTE_TIMEOUT_S,
    Phase.READING: NEXT_BYTE_TIMEOUT_S,
}


@dataclasses.dataclass
class Connection:
    """State of one connection."""

    phase: Phase
    timeout_s: float
    last_progress_at: float


class ProgressMonitor(components.Component):
    """Monitors connections to upstreams and callers in both directions."""

    def __init__(self) -> None:
        self._connections: dict[str, Connection] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case ProgressMade():
                self._record_progress(event.connection, now)
            case PhaseChanged():
                timeout_s = event.timeout_s
                if timeout_s is None:
                    timeout_s = TIMEOUTS_S.get(event.phase, float("inf"))
                self._connections[event.connection] = Connection(
                    event.phase, timeout_s, now
                )
            case ConnectionClosed():
                self._connections.pop(event.connection, None)
            case events.Tick():
                return self._handle_timeouts(now)
        return []

    def is_usable(self, connection: str) -> bool:
        """Returns whether a connection is idle and may be reused."""
        known = self._connections.get(connection)
        return known is not None and known.phase is Phase.IDLE

    def _record_progress(self, name: str, now: float) -> None:
        connection = self._connections.get(name)
        if connection is None:
            return
        connection.last_progress_at = now
        next_phase = {
            Phase.PROBED: Phase.IDLE,
            Phase.FIRST_BYTE: Phase.READING,
        }.get(connection.phase)
        if next_phase is not None:
            connection.phase = next_phase
            connection.timeout_s = TIMEOUTS_S[next_phase]

    def _handle_timeouts(self, now: float) -> list[commands.Command]:
        result: list[commands.Command] = []
        for name, connection in list(self._connections.items()):
            if now - connection.last_progress_at < connection.timeout_s:
                continue
            if connection.phase is Phase.IDLE:
                connection.phase = Phase.PROBED
                connection.timeout_s = PROBE_TIMEOUT_S
                connection.last_progress_at = now
                result.append(ProbeConnection(name))
                continue
            del self._connections[name]
            # Bytes that were written may have arrived despite the silence.
            is_probe = connection.phase is Phase.PROBED
            run = (
                failures.Execution.NOT_STARTED
                if is_probe
                else failures.Execution.UNKNOWN
            )
            failure = ConnectionSilent(
                f"Nothing moved for {connection.timeout_s:.0f} s while"
                f" {connection.phase.value}.",
                run,
            )
            result.append(CloseConnection(name, failure))
        return result
