"""Commands of `sycamorectl` for roll-outs and operator drains.

Stops and drains go to an entry process directly, so that they work while the
store is unavailable. The first line of a command's doc comment is its help
text.
"""

import argparse
from collections.abc import Callable
import dataclasses
import functools
import json
import pathlib
from typing import Any
from typing import TypeAlias

import urllib3

from sycamorehollow.decisions.operations import config_writes
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.releases import stops
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.programs import ctl_changes
from sycamorehollow.programs import ctl_commands
from sycamorehollow.programs import ctl_edits
from sycamorehollow.shells import stores

STOP_PATH = "/v1/operator/stops"
DRAIN_PATH = "/v1/operator/drains"
STOP_TIMEOUT_S = 5.0

# Returns the stage and state that follow the recorded ones, or a refusal. The
# argument is `None` before the roll-out has started.
Transition: TypeAlias = Callable[
    [stages.Stage | None], tuple[int, stages.State] | ctl_edits.Refused
]


@dataclasses.dataclass(frozen=True)
class _Recorded:
    """A configured roll-out and its stored stage document.

    Attributes:
        rollout: The configured roll-out.
        config: Revision of the branch that configures the roll-out.
        revision: Revision of the document; 0 if absent.
        text: The document; `None` if absent.
        found: The decoded document; `None` if absent or malformed.
    """

    rollout: deployment.Rollout
    config: int
    revision: int
    text: str | None
    found: stages.Stage | None

    @property
    def key(self) -> str:
        """Store key of the document."""
        return stages.KEY_PREFIX + self.rollout.name

    @property
    def rollout_id(self) -> str:
        """Identity of the configured roll-out."""
        return stops.compute_rollout_id(self.rollout)

    @property
    def stage(self) -> stages.Stage | None:
        """The document; `None` if it belongs to an earlier definition."""
        if self.found is None or self.found.rollout_id != self.rollout_id:
            return None
        return self.found


def _read(
    store: stores.Store, args: argparse.Namespace
) -> _Recorded | failures.Failure:
    current = ctl_changes.Changer(store).read_deployment()
    if isinstance(current, failures.Failure):
        return current
    rollout = current.rollouts.get(args.name)
    if rollout is None or rollout.team != args.team:
        return ctl_edits.Refused(
            f"the branch of {args.team} has no valid rollout {args.name}"
        )
    response = store.read(stages.KEY_PREFIX + args.name)
    if isinstance(response, failures.Failure):
        return response
    config = current.revisions[args.team]
    if isinstance(response, stores.Absent):
        return _Recorded(rollout, config, 0, None, None)
    found = stages.decode(response.value.encode())
    return _Recorded(rollout, config, response.revision, response.value, found)


def _change(
    store: stores.Store, recorded: _Recorded, transition: Transition
) -> ctl_commands.Result:
    target = transition(recorded.stage)
    if isinstance(target, failures.Failure):
        return target
    written = stages.build_next(
        recorded.found,
        *target,
        recorded.config,
        recorded.rollout_id,
        ctl_changes.draw_nonce(),
    )
    proposal = config_writes.ConditionalWrite(
        recorded.key,
        recorded.revision,
        json.loads(stages.encode(written)),
        written.nonce,
    )
    return ctl_commands.report(ctl_changes.Changer(store).write(proposal))


def start_rollout(
    store: stores.Store, args: argparse.Namespace
) -> ctl_commands.Result:
    """Defines a rollout if it is new, and starts or resumes it."""
    if args.candidate is not None:
        entry = {
            "model": args.model,
            "baseline": args.baseline,
            "candidate": args.candidate,
            "stages": args.stages,
        }
        edit = ctl_edits.add_entry("rollouts", args.name, entry)
        defined = ctl_commands.change_branch(store, args.team, edit)
        if isinstance(defined, failures.Failure):
            return defined
    recorded = _read(store, args)
    if isinstance(recorded, failures.Failure):
        return recorded
    result = _change(store, recorded, _start)
    if args.candidate is None or not isinstance(result, failures.Failure):
        return result
    # An entry process that has seen the new definition may have started the
    # roll-out first.
    recorded = _read(store, args)
    if isinstance(recorded, failures.Failure) or recorded.stage is None:
        return result
    if recorded.stage.state is not stages.State.RUNNING:
        return result
    return {"key": recorded.key, "revision": recorded.revision}


def change_rollout(
    store: stores.Store, args: argparse.Namespace
) -> ctl_commands.Result:
    """Pauses, advances or withdraws a rollout."""
    recorded = _read(store, args)
    if isinstance(recorded, failures.Failure):
        return recorded
    if args.action == "pause":
        return _change(store, recorded, _pause)
    if args.action == "withdraw":
        return _change(store, recorded, _withdraw)
    count = len(recorded.rollout.stages)
    transition = functools.partial(_advance, count, args.stage)
    return _change(store, recorded, transition)


def show_rollout(
    store: stores.Store, args: argparse.Namespace
) -> ctl_commands.Result:
    """Returns the definition and the stage of a rollout."""
    recorded = _read(store, args)
    if isinstance(recorded, failures.Failure):
        return recorded
    definition = dataclasses.asdict(recorded.rollout)
    del definition["name"], definition["team"]
    stage = recorded.stage
    state = stage.state.value if stage else None
    if recorded.text is not None and recorded.found is None:
        state = "unreadable"
    return {
        "definition": definition,
        "revision": recorded.revision,
        "stage": stage.stage if stage else None,
        "state": state,
    }


def _start(stage: stages.Stage | None) -> Any:
    if stage is None or stage.state is stages.State.WITHDRAWN:
        return 0, stages.State.RUNNING
    if stage.state is stages.State.PAUSED:
        return stage.stage, stages.State.RUNNING
    return _refuse(stage)


def _pause(stage: stages.Stage | None) -> Any:
    if stage is None or stage.state is not stages.State.RUNNING:
        return _refuse(stage)
    return stage.stage, stages.State.PAUSED


def _withdraw(stage: stages.Stage | None) -> Any:
    if stage is None:
        return 0, stages.State.WITHDRAWN
    if stage.state is stages.State.WITHDRAWN:
        return _refuse(stage)
    return stage.stage, stages.State.WITHDRAWN


def _advance(
    count: int, expected: int | None, stage: stages.Stage | None
) -> Any:
    """Returns the next of `count` stages, or `DONE` after the last one.

    Args:
        count: Number of stages.
        expected: Stage to advance from; `None` for the current one.
        stage: The recorded stage.
    """
    if stage is None or stage.state is not stages.State.RUNNING:
        return _refuse(stage)
    if expected is not None and expected != stage.stage:
        return ctl_edits.Refused(f"the rollout is at stage {stage.stage}")
    if stage.stage + 1 >= count:
        return stage.stage, stages.State.DONE
    return stage.stage + 1, stages.State.RUNNING


def _refuse(stage: stages.Stage | None) -> ctl_edits.Refused:
    state = stage.state.value if stage else "not started"
    return ctl_edits.Refused(f"the rollout is {state}")


def stop_rollout(args: argparse.Namespace) -> ctl_commands.Result:
    """Stops the new version at once, without the store."""
    return post_operator_request(
        args, STOP_PATH, {"rollout": args.name, "reason": args.reason}
    )


def request_drain(args: argparse.Namespace) -> ctl_commands.Result:
    """Takes an upstream or data centre out at once, without the store."""
    return post_operator_request(
        args, DRAIN_PATH, {"scope": args.scope, "name": args.name}
    )


def post_operator_request(
    args: argparse.Namespace, path: str, body: dict[str, str]
) -> ctl_commands.Result:
    """Sends an operator request to one entry process."""
    try:
        token = pathlib.Path(args.token_file).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = f"{args.token_file} is not readable: {error}"
        return failures.InvalidRequest(reason)
    pool = urllib3.PoolManager(retries=False, timeout=STOP_TIMEOUT_S)
    try:
        response = pool.request(
            "POST",
            args.entry.rstrip("/") + path,
            json=body,
            headers={"Authorization": f"Bearer {token}"},
        )
        result = json.loads(response.data)
        if response.status == 200 and isinstance(result, dict):
            return result
        return ctl_edits.Refused(str(result["error"]["message"]))
    except urllib3.exceptions.HTTPError as error:
        return failures.NoUpstream(
            f"{args.entry} does not answer: {error}", failures.Execution.UNKNOWN
        )
    except (ValueError, KeyError, TypeError):
        return failures.NoUpstream(
            f"{args.entry} gave no valid answer", failures.Execution.UNKNOWN
        )
