"""Document of a roll-out in the store."""

import dataclasses
import enum
import json

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
    """

    stage: int
    state: State
    config: int
    run: str
    mark: str

    @property
    def nonce(self) -> str:
        """The nonce in the store: revision, identity and random mark."""
        return f"{self.config}.{self.run}.{self.mark}"


def encode(stage: Stage) -> bytes:
    """Returns the document for the store."""
    return json.dumps(
        {
            "stage": stage.stage,
            "state": stage.state.value,
            "nonce": stage.nonce,
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
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
