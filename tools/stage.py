"""A running deployment as the demo sees it from outside."""

import concurrent.futures
import itertools
import json
import time
from typing import Any
import uuid

from tools import callers
from tools import deployments
from tools import launcher

POLL_S = 0.2
THREADS = 12


class Stage:
    """A running deployment and the answers that it gave so far."""

    def __init__(self, processes: launcher.Launcher):
        self.processes = processes
        self.deployment = processes.deployment
        self.caller = callers.Caller()
        self.answers: list[callers.Answer] = []
        self._entries = [entry.child.url for entry in processes.entries]
        self._turn = itertools.count()
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS)

    @property
    def entries(self) -> list[str]:
        """URLs of the entry processes in service."""
        return list(self._entries)

    def remove_entry(self, url: str) -> None:
        """Takes an entry process that was ended out of the turn."""
        self._entries.remove(url)

    def choose_entry(self) -> str:
        """Returns the entry processes in turn, as a load balancer does."""
        return self._entries[next(self._turn) % len(self._entries)]

    def make_request(
        self,
        workspace: deployments.Workspace,
        kind: deployments.Kind,
        model: str,
        **options: Any,
    ) -> callers.Request:
        """Builds a request with a prompt of its own."""
        prompt = f"{uuid.uuid4().hex} ".ljust(kind.prompt_characters, "x")
        return callers.Request(
            workspace=workspace.name,
            api_key=self.get_key(workspace),
            model=model,
            kind=kind.name,
            prompt=prompt,
            output_tokens=options.pop("output_tokens", kind.output_tokens),
            **options,
        )

    def get_key(self, workspace: deployments.Workspace) -> str:
        """Returns the API key of a workspace."""
        return deployments.make_api_key(self.deployment, workspace.name)

    def complete(
        self, request: callers.Request, entry: str = ""
    ) -> callers.Answer:
        """Runs a request and keeps the answer."""
        answer = self.caller.complete(entry or self.choose_entry(), request)
        self.answers.append(answer)
        return answer

    def complete_all(
        self, requests: list[callers.Request]
    ) -> list[callers.Answer]:
        """Runs requests side by side."""
        return list(self._pool.map(self.complete, requests))

    def start(self, request: callers.Request, entry: str) -> Any:
        """Starts a request and returns its future."""
        return self._pool.submit(self.complete, request, entry)

    def run_operation(
        self, workspace: deployments.Workspace, key: str, entry: str = ""
    ) -> callers.Answer:
        """Runs the operation of the plain service that has an effect."""
        service = self.deployment.service
        return self.caller.call(
            entry or self.choose_entry(),
            "POST",
            f"/v1/services/{service.name}/{service.operation}",
            self.get_key(workspace),
            {"reference": key},
            key,
        )

    def run_operations(
        self, workspace: deployments.Workspace, keys: list[str]
    ) -> list[callers.Answer]:
        """Runs the operation for several keys side by side."""
        return list(
            self._pool.map(lambda k: self.run_operation(workspace, k), keys)
        )

    def count_effects(self) -> dict[str, int]:
        """Returns the effects at the plain service by the caller's key."""
        first = self.deployment.service.replicas[0][0]
        url = self.processes.stand_ins[first].url
        effects = self.processes.call("GET", f"{url}/effects")["effects"]
        # The router puts the workspace before the key.
        return {key.partition(":")[2]: n for key, n in effects.items()}

    def inject_service(self, fault: dict[str, Any]) -> None:
        """Injects a fault at every replica of the plain service."""
        for name, _ in self.deployment.service.replicas:
            self.inject(name, fault)

    def inject(self, name: str, fault: dict[str, Any]) -> None:
        """Injects a fault at a stand-in."""
        url = self.processes.stand_ins[name].url
        self.processes.call("POST", f"{url}/faults", fault)

    def get_stats(self, name: str) -> dict[str, Any]:
        """Returns the counters of an upstream."""
        url = self.processes.stand_ins[name].url
        return self.processes.call("GET", f"{url}/stats")

    def count_work(self, name: str) -> int:
        """Returns the requests that an upstream has taken so far."""
        stats = self.get_stats(name)
        return int(stats.get("admitted", stats.get("calls", 0)))

    def change_branch(self, key: str, change: Any) -> None:
        """Changes a branch of the settings by compare-and-swap."""
        url = self.processes.stand_ins["store"].url + f"/v1/kv/{key}"
        item = self.processes.call("GET", url)
        document = item["value"]
        change(document)
        document["nonce"] = uuid.uuid4().hex
        entry = {"value": document, "expect": item["revision"], "lease": None}
        self.processes.call("PUT", url, entry)

    def read_bills(self) -> list[dict[str, Any]]:
        """Returns every bill in the store, duplicates included."""
        url = self.processes.stand_ins["store"].url
        page = self.processes.call("GET", f"{url}/v1/range?prefix=bills/")
        bills: list[dict[str, Any]] = []
        for item in page["items"]:
            batch = item["value"]
            if isinstance(batch, str):
                batch = json.loads(batch)
            bills.extend(i["bill"] for i in batch["items"] if "bill" in i)
        for bill in bills:
            bill["identity"] = bill["identity"].removeprefix("key:")
        return bills

    def close(self) -> None:
        """Ends the threads."""
        self._pool.shutdown(wait=False, cancel_futures=True)


def make_key() -> str:
    """Returns a fresh idempotency key."""
    return f"demo-{uuid.uuid4().hex}"


def wait_until(condition: Any, bound_s: float) -> float | None:
    """Returns the seconds until a condition held; `None` if it did not."""
    start = time.monotonic()
    while True:
        if condition():
            return time.monotonic() - start
        if time.monotonic() - start > bound_s:
            return None
        time.sleep(POLL_S)
