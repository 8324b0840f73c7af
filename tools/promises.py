"""Checks of the invariants from outside, on a running deployment."""

from collections.abc import Callable
import dataclasses
import time

from tools import callers
from tools import deployments
from tools import stage

# "A few seconds" of the invariants.
BOUND_S = 5.0
# Load reports lag, and entry processes poll them.
REPORT_DELAY_S = 2.5
# Bills are sealed each second; the rest is a margin for a busy machine.
BILL_DELAY_S = 6.0
COLD_COUNTERS = ("admitted", "cold_excess")
WITHDRAWN_CODES = ("version_withdrawn",)


@dataclasses.dataclass(frozen=True)
class Finding:
    """Whether a promise held, with the figures behind it."""

    invariant: str
    held: bool
    text: str


def _find_limited(
    deployment: deployments.Deployment,
) -> deployments.Workspace:
    """Returns a workspace that may not use every version."""
    total = len(deployment.versions)
    return next(w for w in deployment.workspaces if len(w.versions) < total)


def check_allowed(running: stage.Stage) -> list[Finding]:
    """I1: forbidden versions are refused and never served."""
    deployment = running.deployment
    workspace, kind = _find_limited(deployment), deployment.kinds[-1]
    forbidden = [
        v.name for v in deployment.versions if v.name not in workspace.versions
    ]
    asked = [running.make_request(workspace, kind, name) for name in forbidden]
    refused = running.complete_all(asked * 2)
    open_choice = running.make_request(workspace, kind, deployment.model)
    served = running.complete_all([open_choice] * 6)
    held = all(a.status == 403 and a.run == "no" for a in refused)
    held = held and all(a.served for a in served)
    versions = {a.version for a in served}
    held = held and versions <= set(workspace.versions)
    text = f"{len(refused)} refused, served versions {sorted(versions)}"
    return [Finding("I1", held, text)]


def check_session(running: stage.Stage) -> list[Finding]:
    """I3: a session stays on its version at every entry process."""
    deployment = running.deployment
    workspace, kind = deployment.workspaces[0], deployment.kinds[-1]
    first = running.complete(
        running.make_request(workspace, kind, deployment.model, session="new")
    )
    if not first.served or not first.session:
        return [Finding("I3", False, f"no session: {first.error}")]
    following = [
        running.complete(
            running.make_request(
                workspace, kind, deployment.model, session=first.session
            ),
            entry,
        )
        for entry in running.entries
    ]
    same = sum(a.served and a.version == first.version for a in following)
    text = f"{same} of {len(following)} turns on {first.version}"
    return [Finding("I3", same == len(following), text)]


def check_calls(running: stage.Stage) -> list[Finding]:
    """I8 and I9: refusals tell the truth and no key runs twice."""
    workspace = running.deployment.workspaces[0]
    keys: list[str] = []
    refusals: list[callers.Answer] = []
    faults = ({"kind": "refuse"}, {"kind": "lose_answer", "method": "POST"})
    for fault in faults:
        running.inject_service(fault)
        batch = [stage.make_key() for _ in range(4)]
        answers = running.run_operations(workspace, batch)
        running.inject_service({"kind": "clear"})
        refusals.extend(a for a in answers if not a.served)
        keys.extend(batch)
    effects = running.count_effects()
    untrue = [a for a in refusals if a.run == "no" and effects.get(a.key)]
    not_run = sum(a.run == "no" for a in refusals)
    typed = all(a.run in ("no", "unknown") for a in refusals)
    truthful = Finding(
        "I8",
        typed and not untrue and not_run > 0,
        f"{len(refusals)} refusals, {not_run} not run, {len(untrue)} untrue",
    )
    repeated = [stage.make_key() for _ in range(3)]
    answers = running.run_operations(workspace, repeated * 4 + keys * 2)
    again = running.run_operations(workspace, repeated)
    effects = running.count_effects()
    doubled = [k for k in keys + repeated if effects.get(k, 0) > 1]
    lost = [k for k in repeated if effects.get(k, 0) != 1]
    confirmed = {a.key for a in answers + again if a.served}
    absent = [k for k in confirmed if not effects.get(k)]
    once = Finding(
        "I9",
        not doubled and not lost and not absent,
        f"{len(keys) + len(repeated)} keys sent repeatedly,"
        f" {len(doubled)} ran twice, {len(lost + absent)} lost",
    )
    return [truthful, once]


def check_cold(running: stage.Stage) -> list[Finding]:
    """I5: engines that turned cold are not given too much."""
    deployment = running.deployment
    workspace, kind = deployment.workspaces[0], deployment.kinds[1]
    names = [engine.name for engine in deployment.engines]
    # All of them, so that the work cannot go around the cold ones.
    for name in names:
        running.inject(name, {"kind": "cold"})
    time.sleep(REPORT_DELAY_S)
    before = _sum_counters(running, names)
    requests = [
        running.make_request(workspace, kind, deployment.model)
        for _ in range(36)
    ]
    answers = running.complete_all(requests)
    after = _sum_counters(running, names)
    for name in names:
        running.inject(name, {"kind": "cold", "value": False})
    time.sleep(REPORT_DELAY_S)
    work, excess = (after[n] - before[n] for n in COLD_COUNTERS)
    served = sum(a.served for a in answers)
    text = (
        f"{len(answers)} requests to cold engines, {served} served,"
        f" {work} taken, {excess} above what they bear"
    )
    return [Finding("I5", excess == 0 and served > 0, text)]


def _sum_counters(running: stage.Stage, names: list[str]) -> dict[str, int]:
    """Returns the cold-start counters of engines, summed up."""
    stats = [running.get_stats(name) for name in names]
    return {c: sum(s.get(c, 0) for s in stats) for c in COLD_COUNTERS}


def check_changes(running: stage.Stage) -> list[Finding]:
    """I2, I6, I10 and I12: changes of the settings take effect in time."""
    deployment = running.deployment
    withdrawn = deployment.rollout[1]
    centre = deployment.data_centres[-1]
    leaving = deployment.engines[0].name
    team = deployment.teams[0]
    workspace = deployment.workspaces[0]
    removed = deployment.versions[0].name

    def change_platform(document: dict) -> None:
        versions = document["models"][deployment.model]["versions"]
        versions[withdrawn]["state"] = "withdrawn"
        document["data_centres"][centre]["presence"] = "out"
        document["upstreams"][leaving]["presence"] = "leaving"

    def change_team(document: dict) -> None:
        document["workspaces"][workspace.name]["versions"].remove(removed)

    running.change_branch(f"config/{team}", change_team)
    arrival = stage.wait_until(
        lambda: not _list_accepting(running, workspace, removed), BOUND_S
    )
    running.change_branch("config/platform", change_platform)
    time.sleep(BOUND_S)
    findings = _check_after_change(running, withdrawn, centre, leaving)
    reverted = _list_accepting(running, workspace, removed)
    when = "not in time" if arrival is None else f"after {arrival:.1f} s"
    text = f"at all entries {when}, reverted at {len(reverted)}"
    held = arrival is not None and not reverted
    return [*findings, Finding("I12", held, text)]


def _list_accepting(
    running: stage.Stage, workspace: deployments.Workspace, version: str
) -> list[str]:
    """Returns the entry processes that still list a version."""
    key = running.get_key(workspace)
    accepting = []
    for entry in running.entries:
        answer = running.caller.call(entry, "GET", "/v1/models", key)
        names = [m["id"] for m in (answer.document or {}).get("data", ())]
        if version in names:
            accepting.append(entry)
    return accepting


def _check_after_change(
    running: stage.Stage, withdrawn: str, centre: str, leaving: str
) -> list[Finding]:
    """Sends requests after the bound and looks at where they went."""
    deployment = running.deployment
    workspace, kind = deployment.workspaces[1], deployment.kinds[-1]
    upstreams = running.processes.list_upstreams()
    gone = [u["name"] for u in upstreams if u["data_centre"] == centre]
    before = {n: running.count_work(n) for n in [*gone, leaving]}
    asked = [running.make_request(workspace, kind, withdrawn) for _ in range(6)]
    refused = running.complete_all(asked)
    choice = [
        running.make_request(workspace, kind, deployment.model)
        for _ in range(24)
    ]
    answers = running.complete_all(choice)
    calls = running.run_operations(
        workspace, [stage.make_key() for _ in range(6)]
    )
    work = {n: running.count_work(n) - before[n] for n in before}
    served = sum(a.served for a in answers)
    done = sum(a.served for a in calls)
    lost = sum(work[n] for n in gone)
    return [
        _judge_withdrawal(withdrawn, refused, answers),
        Finding(
            "I6",
            lost == 0 and served > 0 and done > 0,
            f"{lost} of {served} requests and {done} calls in {centre}",
        ),
        Finding(
            "I10",
            work[leaving] == 0 and served > 0,
            f"{work[leaving]} of {served} requests at {leaving}",
        ),
    ]


def _judge_withdrawal(
    withdrawn: str,
    refused: list[callers.Answer],
    answers: list[callers.Answer],
) -> Finding:
    """Judges requests for a withdrawn version and for its model."""
    served = sum(a.served for a in answers)
    wrong = sum(a.version == withdrawn for a in answers + refused)
    typed = all(a.code in WITHDRAWN_CODES and a.run == "no" for a in refused)
    return Finding(
        "I2",
        wrong == 0 and typed and served > 0,
        f"{len(refused)} direct requests: {_list_codes(refused)};"
        f" {wrong} of {served} others on {withdrawn}",
    )


def _list_codes(answers: list) -> str:
    return ", ".join(sorted({a.code or str(a.status) for a in answers}))


def check_shutdown(running: stage.Stage) -> list[Finding]:
    """I11: an entry process that is asked to end finishes its streams."""
    deployment = running.deployment
    workspace, kind = deployment.workspaces[1], deployment.kinds[1]
    entry = running.processes.entries[0]
    requests = [
        running.make_request(
            workspace, kind, deployment.versions[0].name, output_tokens=120
        )
        for _ in range(4)
    ]
    futures = [running.start(r, entry.child.url) for r in requests]
    time.sleep(0.7)
    open_streams = sum(not future.done() for future in futures)
    entry.child.process.terminate()
    running.remove_entry(entry.child.url)
    answers = [future.result() for future in futures]
    whole = sum(a.complete for a in answers)
    status = entry.child.process.wait(10.0)
    text = f"{whole} of {open_streams} open streams whole, exit {status}"
    held = open_streams == len(futures) == whole and status == 0
    return [Finding("I11", held, text)]


def check_answers(running: stage.Stage) -> list[Finding]:
    """I7: every response is whole and its caller's own."""
    served = [a for a in running.answers if a.status == 200]
    # A typed error event ends a stream that is known to be cut off.
    cut = [a for a in served if a.run and not a.done]
    broken = [a for a in served if not a.complete and a not in cut]
    text = (
        f"{len(served)} responses, {len(cut)} cut off with a failure,"
        f" {len(broken)} cut off without or foreign"
    )
    return [Finding("I7", bool(served) and not broken, text)]


def check_bills(running: stage.Stage) -> list[Finding]:
    """I4: every completed request has one bill of the right amount."""
    due = {(a.workspace, a.key): a for a in running.answers if a.complete}
    prices = {v.name: v for v in running.deployment.versions}

    def read() -> dict:
        bills: dict = {}
        for bill in running.read_bills():
            identity = (bill["workspace"], bill["identity"])
            bills.setdefault(identity, []).append(bill)
        return bills

    stage.wait_until(lambda: due.keys() <= read().keys(), BILL_DELAY_S)
    bills = read()
    missing = due.keys() - bills.keys()
    unknown = {
        (a.workspace, a.key) for a in running.answers if a.status != 200
    } & bills.keys()
    wrong = 0
    for identity in due.keys() & bills.keys():
        answer = due[identity]
        price = prices[answer.version]
        amount = (
            price.prompt_price * answer.usage["prompt_tokens"]
            + price.output_price * answer.usage["completion_tokens"]
        )
        wrong += any(bill["amount"] != amount for bill in bills[identity])
    text = (
        f"{len(due)} requests, {len(missing)} without a bill,"
        f" {len(unknown)} refusals billed, {wrong} of another amount"
    )
    held = bool(due) and not missing and not unknown and not wrong
    return [Finding("I4", held, text)]


CHECKS: tuple[Callable[[stage.Stage], list[Finding]], ...] = (
    check_allowed,
    check_session,
    check_calls,
    check_changes,
    # A new entry process leaves its share of cold engines unused for the time
    # of one loan, so this check comes late.
    check_cold,
    check_shutdown,
    check_answers,
    check_bills,
)
