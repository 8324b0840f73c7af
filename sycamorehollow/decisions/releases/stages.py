"""Document of a roll-out in the store."""

import dataclasses
import enum
import json

from sycamorehollow.decisions.operations import config_writes

KEY_PREFIX = "rollouts/"


class State(enum.Enum):
    """State of a roll-out in the store."""

    RUNNING = "running"
    PAUSED = "paused"
    WITHDRAWN = "withdrawn"
    DONE = "done"


@dataclasses.dataclass(frozen=True)
class Stage:
    """The document under `rollouts/<name>`.

    Attributes:
        stage: Index into the stages of the roll-out.
        state: Whether the roll-out goes on.
        config: Revision of the team's branch that the writer had in effect.
        run: Identity of the roll-out, see `stops.name_run`.
        mark: Random part of the nonce, tells one write from another.
        earlier: Nonces of the last writes before this one, oldest first. A
            writer whose response was lost finds its own among them.
    """

    stage: int
    state: State
    config: int
    run: str
    mark: str
    earlier: tuple[str, ...] = ()

    @property
    def nonce(self) -> str:
        """The nonce in the store: revision, identity and random mark."""
        return f"{self.config}.{self.run}.{self.mark}"


def succeed(
    before: Stage | None,
    stage: int,
    state: State,
    config: int,
    run: str,
    mark: str,
) -> Stage:
    """Returns the document that follows another one, or none."""
    earlier = (*before.earlier, before.nonce) if before else ()
    kept = earlier[-config_writes.MAX_EARLIER_NONCES :]
    return Stage(stage, state, config, run, mark, kept)


def encode(stage: Stage) -> bytes:
    """Returns the document for the store."""
    return json.dumps(
        {
            "stage": stage.stage,
            "state": stage.state.value,
            "nonce": stage.nonce,
            "earlier_nonces": stage.earlier,
        }
    ).encode()


def decode(value: bytes) -> Stage | None:
    """Returns the document from the store, `None` when it is malformed."""
    try:
        document = json.loads(value)
        config, run, mark = document["nonce"].split(".")
        return Stage(
            int(document["stage"]),
            State(document["state"]),
            int(config),
            run,
            mark,
            tuple(str(item) for item in document.get("earlier_nonces", ())),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
