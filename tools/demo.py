"""Sends real requests through a deployment: `python -m tools.demo`."""

import argparse
from collections.abc import Callable
import signal
import sys
import tempfile
import time
from typing import IO

from tools import callers
from tools import deployments
from tools import launcher
from tools import promises
from tools import stage

# Leaves the launcher 10 s of a minute to end the processes.
LIMIT_S = 48
LOG_TAIL_LINES = 20
ROW = "{:<14} {:<18} {:<14} {:>10} {:>11} {:>10}"


class OutOfTimeError(Exception):
    """The demo did not end within its limit."""


def run_traffic(running: stage.Stage) -> list[callers.Answer]:
    """Sends every kind of request for every workspace."""
    deployment = running.deployment
    requests = []
    for number, workspace in enumerate(deployment.workspaces):
        models = deployments.list_models(deployment, workspace)
        for index, kind in enumerate(deployment.kinds):
            model = models[(number + index) % len(models)]
            stream = (number + index) % 4 != 0
            requests.append(
                running.make_request(workspace, kind, model, stream=stream)
            )
    return running.complete_all(requests)


def run_calls(running: stage.Stage) -> list[tuple[str, str, float]]:
    """Runs the plain service with a key, with a ticket and as a read."""
    service = running.deployment.service
    workspace = running.deployment.workspaces[0]
    key = running.get_key(workspace)
    path = f"/v1/services/{service.name}/{service.read}"
    ticket = running.caller.call(
        running.choose_entry(), "POST", "/v1/tickets", key, {}
    )
    number = ""
    if isinstance(ticket.document, dict):
        number = str(ticket.document.get("ticket", ""))
    with_key = running.run_operation(workspace, stage.make_key())
    with_ticket = running.run_operation(workspace, number or "none")
    read = running.caller.call(running.choose_entry(), "POST", path, key, {})
    name = f"{service.name}/{service.operation}"
    answers = (
        (f"{name} with a key", with_key),
        (f"{name} with a ticket", with_ticket),
        (f"{service.name}/{service.read}", read),
    )
    return [
        (label, "ok" if a.served else a.code or str(a.status), a.latency_s)
        for label, a in answers
    ]


def format_cost(running: stage.Stage, answer: callers.Answer) -> str:
    """Returns the price of an answer in micro-units of currency."""
    for version in running.deployment.versions:
        if version.name == answer.version:
            nano = (
                version.prompt_price * answer.usage["prompt_tokens"]
                + version.output_price * answer.usage["completion_tokens"]
            )
            return f"{nano / 1_000:.1f}"
    return "?"


def print_table(
    running: stage.Stage,
    answers: list[callers.Answer],
    calls: list[tuple[str, str, float]],
) -> None:
    """Prints who served what, at which cost, and what was billed."""
    served_by = {}
    for engine in running.deployment.engines:
        url = running.processes.stand_ins[engine.name].url
        for item in running.processes.call("GET", f"{url}/served")["served"]:
            served_by[item["mark"]] = engine.name
    bills = {b["identity"]: b for b in running.read_bills()}
    print(
        ROW.format("kind", "version", "upstream", "cost", "latency ms", "bill")
    )
    for answer in answers:
        if not answer.complete:
            print(f"{answer.kind:<14} failed: {answer.code or answer.status}")
            continue
        bill = bills.get(answer.key)
        row = (
            answer.kind,
            answer.version,
            served_by.get(answer.mark, "?"),
            format_cost(running, answer),
            f"{answer.latency_s * 1_000:.0f}",
            f"{bill['amount'] / 1_000:.1f}" if bill else "none",
        )
        print(ROW.format(*row))
    for label, outcome, latency_s in calls:
        print(f"{label}: {outcome}, {latency_s * 1_000:.0f} ms")


def run_check(
    check: Callable[[stage.Stage], list[promises.Finding]], running: stage.Stage
) -> list[promises.Finding]:
    """Runs one check; one that fails to run is a broken promise."""
    try:
        return check(running)
    except OutOfTimeError:
        raise
    except Exception as error:
        reason = f"{type(error).__name__}: {error}"
        return [promises.Finding(check.__name__, False, reason)]


def run_demo(running: stage.Stage) -> bool:
    """Runs the demo and returns whether every promise held."""
    answers = run_traffic(running)
    calls = run_calls(running)
    print_table(running, answers, calls)
    held = all(outcome == "ok" for _, outcome, _ in calls)
    for check in promises.CHECKS:
        started = time.monotonic()
        for finding in run_check(check, running):
            verdict = "held  " if finding.held else "BROKEN"
            print(f"{verdict} {finding.invariant}: {finding.text}", flush=True)
            held = held and finding.held
        print(
            f"{check.__name__} took {time.monotonic() - started:.1f} s",
            file=sys.stderr,
        )
    return held


def _stop_late(*_: object) -> None:
    raise OutOfTimeError(f"the demo took more than {LIMIT_S} s")


def print_log(log: IO[str]) -> None:
    """Prints the end of what the processes logged."""
    log.seek(0)
    for line in log.readlines()[-LOG_TAIL_LINES:]:
        print(line.rstrip(), file=sys.stderr)


def main(argv: list[str] | None = None) -> int:
    """Runs the demo; 0 only if every promise held."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument(
        "--profile",
        choices=sorted(deployments.DEPLOYMENTS),
        default=deployments.MERIDIAN,
    )
    arguments = parser.parse_args(argv)
    signal.signal(signal.SIGALRM, _stop_late)
    signal.alarm(LIMIT_S)
    start = time.monotonic()
    deployment = deployments.DEPLOYMENTS[arguments.profile]
    held = False
    with tempfile.TemporaryFile("w+", encoding="utf-8") as log:
        processes = launcher.Launcher(deployment, LIMIT_S, log)
        running = None
        try:
            processes.start()
            running = stage.Stage(processes)
            held = run_demo(running)
        except (launcher.LaunchError, OutOfTimeError) as error:
            print(f"demo: {error}", file=sys.stderr)
        finally:
            signal.alarm(0)
            if running:
                running.close()
            processes.stop()
        if not held:
            print_log(log)
    print(f"{time.monotonic() - start:.1f} s, all held: {held}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
