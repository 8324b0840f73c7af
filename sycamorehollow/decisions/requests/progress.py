"""Progress timeouts, which find connections that have gone silent."""

import dataclasses
import enum

from sycamorehollow.decisions import components
from sycamorehollow.model import commands
from sycamorehollow.model import events
from sycamorehollow.model import failures

# A healthy peer acknowledges written bytes within milliseconds.
WRITE_TIMEOUT_S = 5.0
# Covers the prompt of a long dossier behind others at a busy upstream.
FIRST_BYTE_TIMEOUT_S = 60.0
# 54 ms between tokens at the 95th percentile; two hundred times as long is no
# slow token any more.
NEXT_BYTE_TIMEOUT_S = 10.0
PROBE_INTERVAL_S = 15.0
PROBE_TIMEOUT_S = 5.0


class Phase(enum.Enum):
    """What a connection waits for.

    Attributes:
        IDLE: Nothing; it is kept for reuse.
        PROBED: The answer to a probe.
        WRITING: Bytes of the request to be taken.
        FIRST_BYTE: The first byte of the response.
        READING: More bytes of the response.
        PAUSED: Nothing; the router itself does not read.
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
        timeout_s: Limit of this phase instead of the usual one, for example
            from the estimated duration of a long prompt.
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
    """Closes a silent connection; its attempt ends with the failure."""

    connection: str
    failure: failures.Failure


@dataclasses.dataclass(frozen=True)
class ConnectionSilent(failures.Failure):
    """The connection stayed open and nothing came."""

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
    """Watches connections to upstreams and callers in both directions."""

    def __init__(self) -> None:
        self._connections: dict[str, Connection] = {}

    def handle(self, event: events.Event, now: float) -> list[commands.Command]:
        """Applies one event."""
        match event:
            case ProgressMade():
                self._move(event.connection, now)
            case PhaseChanged():
                limit_s = event.timeout_s
                if limit_s is None:
                    limit_s = TIMEOUTS_S.get(event.phase, float("inf"))
                self._connections[event.connection] = Connection(
                    event.phase, limit_s, now
                )
            case ConnectionClosed():
                self._connections.pop(event.connection, None)
            case events.Tick():
                return self._find_silent(now)
        return []

    def is_usable(self, connection: str) -> bool:
        """Tells whether an idle connection may be used for a request."""
        known = self._connections.get(connection)
        return known is not None and known.phase is Phase.IDLE

    def _move(self, name: str, now: float) -> None:
        connection = self._connections.get(name)
        if connection is None:
            return
        connection.last_progress_at = now
        following = {
            Phase.PROBED: Phase.IDLE,
            Phase.FIRST_BYTE: Phase.READING,
        }.get(connection.phase)
        if following is not None:
            connection.phase = following
            connection.timeout_s = TIMEOUTS_S[following]

    def _find_silent(self, now: float) -> list[commands.Command]:
        decided: list[commands.Command] = []
        for name, connection in list(self._connections.items()):
            if now - connection.last_progress_at < connection.timeout_s:
                continue
            if connection.phase is Phase.IDLE:
                connection.phase = Phase.PROBED
                connection.timeout_s = PROBE_TIMEOUT_S
                connection.last_progress_at = now
                decided.append(ProbeConnection(name))
                continue
            del self._connections[name]
            # Written bytes may have arrived, whatever the silence means.
            probed = connection.phase is Phase.PROBED
            run = (
                failures.Execution.NOT_STARTED
                if probed
                else failures.Execution.UNKNOWN
            )
            failure = ConnectionSilent(
                f"Nothing moved for {connection.timeout_s:.0f} s while"
                f" {connection.phase.value}.",
                run,
            )
            decided.append(CloseConnection(name, failure))
        return decided
