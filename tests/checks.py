"""Invariants of non-idempotent calls after a schedule."""

from sycamorehollow.decisions.calls import call_messages as messages
from sycamorehollow.decisions.calls import call_records as records
from tests import fakes


def find_fault(world: fakes.World) -> str:
    """Returns the first broken invariant of a settled world, or ''."""
    for intent in world.intents:
        effects_seen = world.service.effects.get(intent.body, 0)
        if effects_seen > 1:
            return f"{effects_seen} effects of call {intent.body!r}"
        if effects_seen and intent.refused:
            return f"call {intent.body!r} ran, all refusals say `run: no`"
        for request_id, result in intent.attempts.items():
            if result is None and intent.nodes[request_id].alive:
                return f"no reply to {request_id}"
            if isinstance(result, messages.Outcome):
                if result.body != b"done " + intent.body:
                    return f"outcome of another call for {request_id}"
                if not effects_seen:
                    return f"outcome without an effect for {request_id}"
    for request_id in world.service.requests:
        if fakes.is_not_run(world.answers.get(request_id)):
            return f"{request_id} ran, its refusal says `run: no`"
    return _find_left_claim(world) or _find_lost_call(world)


def _find_left_claim(world: fakes.World) -> str:
    """Finds claims of live processes that nobody works on any more."""
    if world.count_unfinished():
        return f"{world.count_unfinished()} keys are never released"
    runs = [node.process for node in world.nodes]
    live = {(run.address, run.incarnation) for run in runs}
    for key, (value, _) in world.store.values.items():
        found = records.decode_record(value)
        assert found is not None
        if found.state is records.CallState.CLAIMED:
            if (found.address, found.incarnation) in live:
                return f"the claim of {key} is left"
    return ""


def _find_lost_call(world: fakes.World) -> str:
    """Asks a fresh process for each outcome that the service knows."""
    fresh = fakes.Node(99, 1)
    world.nodes.append(fresh)
    for intent in world.intents:
        for key in intent.keys:
            result = world.ask_outcome(fresh, key)
            ran = f"w:{key}" in world.service.outcomes
            if ran and not isinstance(result, messages.Outcome):
                return f"the outcome of {key[:8]} is lost: {result}"
            if not ran and isinstance(result, messages.Outcome):
                return f"an outcome of {key[:8]} without an effect"
    return ""
