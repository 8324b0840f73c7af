"""Stored document with the stage of a roll-out."""

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
        state: Whether the roll-out continues.
        config: Revision of the team's branch in effect at the writer.
        rollout_id: Identity of the roll-out, see `compute_rollout_id`.
        nonce_suffix: Random part of the nonce; distinguishes writes.
        earlier: Nonces of the previous writes, oldest first. A writer whose
            response was lost recognises its own write among them.
    """

    stage: int
    state: State
    config: int
    rollout_id: str
    nonce_suffix: str
    earlier: tuple[str, ...] = ()

    @property
    def nonce(self) -> str:
        """The nonce in the store: revision, identity and random suffix."""
        return f"{self.config}.{self.rollout_id}.{self.nonce_suffix}"


def build_next(
    before: Stage | None,
    stage: int,
    state: State,
    config: int,
    rollout_id: str,
    nonce_suffix: str,
) -> Stage:
    """Returns the document that follows another one, or the first one."""
    earlier = (*before.earlier, before.nonce) if before else ()
    kept = earlier[-config_writes.MAX_EARLIER_NONCES :]
    return Stage(stage, state, config, rollout_id, nonce_suffix, kept)


def encode(stage: Stage) -> bytes:
    """Returns the document as JSON."""
    return json.dumps(
        {
            "stage": stage.stage,
            "state": stage.state.value,
            "nonce": stage.nonce,
            "earlier_nonces": stage.earlier,
        }
    ).encode()


def decode(value: bytes) -> Stage | None:
    """Returns the document from JSON, `None` if it is malformed."""
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
