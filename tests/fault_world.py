"""A deployment of real processes with fault injection."""

import collections
import concurrent.futures
import dataclasses
import json
import subprocess
import sys
from typing import Any
import uuid

import urllib3

from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.bills import billing_reader
from tests import processes
from tools import callers

# Stand-ins exit after this time, in case the test run is killed.
LIFETIME_S = 240
CAPACITY_TOKENS = 1_000_000
# Bound for effects that are promised within "a few seconds".
BOUND_S = 5.0
SERVICE = "/v1/services/filing/lodge"
HTTP = urllib3.PoolManager(retries=False, timeout=20.0, maxsize=32)
AUTHORIZATION = {"Authorization": f"Bearer {processes.API_KEY}"}


@dataclasses.dataclass
class Entry:
    """An entry process and the addresses to start it again."""

    name: str
    data_centre: str
    address: str
    peer: str
    child: Any = None
    url: str = ""


class World:
    """Store, service, engines and entry processes of one test class.

    Args:
        centres: Data centre of each entry process.
        engines: Settings of each engine, by name.
        engine_centres: Data centre of each engine outside `dc-1`, by name.
    """

    def __init__(
        self,
        centres: tuple[str, ...] = ("dc-1", "dc-2"),
        engines: dict[str, tuple[str, ...]] | None = None,
        engine_centres: dict[str, str] | None = None,
    ):
        self.running = processes.Processes()
        self.pool = concurrent.futures.ThreadPoolExecutor(24)
        self.caller = callers.Caller()
        self.urls: dict[str, str] = {}
        self.children: dict[str, Any] = {}
        self.entries: list[Entry] = []
        try:
            self._start_stand_ins(engines or {"a": ()})
            self._write_settings(set(centres), engine_centres or {})
            self._start_entries(centres)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Stops every process of the deployment."""
        self.running.stop()
        self.pool.shutdown(wait=False, cancel_futures=True)

    # Processes.

    def start_entry(self, entry: Entry) -> Entry:
        """Starts an entry process at its addresses, also after a stop."""
        seeds = [e.peer for e in self.entries if e is not entry]
        own = [e for e in self.entries if e.data_centre == entry.data_centre]
        entry.child, entry.url = self.running.start_entry(
            entry.name,
            self.urls["store"],
            entry.data_centre,
            address=entry.address,
            peer=entry.peer.rpartition(":")[2],
            seeds=",".join(seeds),
            slot=str(own.index(entry)),
            slots=str(len(own)),
        )
        return entry

    def add_entry(self, data_centre: str) -> Entry:
        """Starts an additional entry process."""
        entry = make_entry(f"entry-{len(self.entries)}", data_centre)
        self.entries.append(entry)
        return self.start_entry(entry)

    def wait_for_members(self) -> None:
        """Waits until the live entry processes know each other."""
        live = [e for e in self.entries if e.child.poll() is None]
        addresses = {e.peer for e in live}
        for entry in live:
            processes.wait_for(
                lambda entry=entry: (
                    addresses <= set(self.read_status(entry)["members"])
                )
            )

    def read_status(self, entry: Entry) -> dict[str, Any]:
        """Returns the status page of an entry process."""
        return HTTP.request("GET", f"{entry.url}/v1/status").json()

    def run_operator(self, *arguments: str) -> "subprocess.CompletedProcess":
        """Runs `sycamorectl` until it exits."""
        module = "sycamorehollow.programs.ctl"
        return subprocess.run(
            [sys.executable, "-m", module, "--store", self.urls["store"]]
            + list(arguments),
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def inject(self, name: str, kind: str, **fault: Any) -> None:
        """Injects a fault into a stand-in."""
        answer = HTTP.request(
            "POST", f"{self.urls[name]}/faults", json={"kind": kind, **fault}
        )
        assert answer.status == 200, answer.data

    def clear_faults(self) -> None:
        """Removes the faults of every stand-in that responds."""
        for name, child in self.children.items():
            if child.poll() is None:
                self.inject(name, "clear")

    def read_stats(self, name: str) -> dict[str, Any]:
        """Returns the counters of an upstream."""
        return HTTP.request("GET", f"{self.urls[name]}/stats").json()

    # Non-idempotent calls.

    def call(
        self,
        entry: Entry,
        key: str,
        content: str = "one",
        deadline_s: float = 10.0,
        path: str = SERVICE,
    ) -> callers.Answer:
        """Calls the service with an idempotency key."""
        return self._send(
            "POST",
            entry,
            path,
            {"Idempotency-Key": key},
            {"content": content},
            deadline_s,
        )

    def ask_outcome(
        self, entry: Entry, key: str, query: str = ""
    ) -> callers.Answer:
        """Requests the outcome of a call."""
        path = f"/v1/outcomes/{key}{query}"
        return self._send("GET", entry, path, {}, None, 10.0)

    def issue_ticket(self, entry: Entry) -> str:
        """Returns a new ticket."""
        answer = self._send("POST", entry, "/v1/tickets", {}, {}, 10.0)
        return answer.document["ticket"]

    def count_effects(self, key: str) -> int:
        """Returns how often the service has run the call of a key."""
        page = HTTP.request("GET", f"{self.urls['service']}/effects").json()
        return sum(
            count
            for name, count in page["effects"].items()
            if name.partition(":")[2] == key
        )

    def count_running_calls(self) -> int:
        """Returns the number of calls in progress at the service."""
        report = HTTP.request("GET", f"{self.urls['service']}/v1/load").json()
        return report["running"]

    def count_running(self, name: str) -> int:
        """Returns the number of requests in progress at an engine."""
        return self.read_stats(name)["running"]

    def _send(
        self,
        method: str,
        entry: Entry,
        path: str,
        headers: dict[str, str],
        document: Any,
        deadline_s: float,
    ) -> callers.Answer:
        answer = callers.Answer("", "maps", "", entry.url)
        extra = {"X-Deadline-Ms": str(int(deadline_s * 1000))}
        body = None if document is None else json.dumps(document).encode()
        try:
            response = HTTP.request(
                method,
                entry.url + path,
                body=body,
                headers={**AUTHORIZATION, **extra, **headers},
            )
            answer.status = response.status
            answer.document = response.json()
            if response.status != 200:
                answer.error = answer.document["error"]
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            answer.error = {"code": "broken", "message": str(error)}
        return answer

    # Model requests.

    def complete(
        self, entry: Entry, tokens: int = 5, prompt: str = "", **options: Any
    ) -> callers.Answer:
        """Runs a model request until it is complete."""
        request = callers.Request(
            "maps",
            processes.API_KEY,
            options.pop("model", "atlas"),
            "",
            prompt or uuid.uuid4().hex,
            tokens,
            **options,
        )
        return self.caller.complete(entry.url, request)

    def list_models(self, entry: Entry) -> list[str]:
        """Returns the model names that the workspace may use."""
        answer = HTTP.request(
            "GET", f"{entry.url}/v1/models", headers=AUTHORIZATION
        )
        return [model["id"] for model in answer.json()["data"]]

    def open_stream(
        self, entry: Entry, tokens: int, key: str = "", prompt: str = ""
    ) -> Any:
        """Starts a streamed request and returns the unread response."""
        content = prompt or uuid.uuid4().hex
        return HTTP.request(
            "POST",
            f"{entry.url}/v1/chat/completions",
            json={
                "model": "atlas",
                "messages": [{"role": "user", "content": content}],
                "max_tokens": tokens,
                "stream": True,
            },
            headers={**AUTHORIZATION, "Idempotency-Key": key or make_key()},
            preload_content=False,
        )

    def read_bills(self) -> dict[str, billing_messages.Bill]:
        """Returns the bills in the store by key, without duplicates."""
        reader = billing_reader.BillReader()
        for value in self._read_batches():
            reader.add(value)
        return {
            bill.identity.removeprefix("key:"): bill
            for bill in reader.list_bills()
        }

    def count_stored_bills(self) -> collections.Counter[str]:
        """Returns the number of stored bills of each key."""
        counts: collections.Counter[str] = collections.Counter()
        for value in self._read_batches():
            for bill in billing_messages.decode_bills(value):
                counts[bill.identity.removeprefix("key:")] += 1
        return counts

    def _read_batches(self) -> list[str]:
        page = HTTP.request(
            "GET", f"{self.urls['store']}/v1/range?prefix=bills/"
        ).json()
        return [item["value"] for item in page["items"]]

    # Set-up.

    def _start_stand_ins(self, engines: dict[str, tuple[str, ...]]) -> None:
        wanted = {"store": ("store", ())}
        wanted["service"] = ("service", ())
        for name, settings in engines.items():
            versions = "engine.versions=small-1,large-1"
            memory = f"memory.capacity_tokens={CAPACITY_TOKENS}"
            wanted[name] = ("engine", (versions, memory, *settings))
        started = {
            name: self.pool.submit(self._start_stand_in, module, settings)
            for name, (module, settings) in wanted.items()
        }
        for name, future in started.items():
            self.children[name], self.urls[name] = future.result()

    def _start_stand_in(
        self, module: str, settings: tuple[str, ...]
    ) -> tuple[Any, str]:
        arguments = ["--exit-after", str(LIFETIME_S)]
        for item in ("server.port=0", *settings):
            arguments += ["--set", item]
        module = f"sycamorehollow.standins.{module}"
        return self.running.start(module, *arguments)

    def _write_settings(
        self, centres: set[str], engine_centres: dict[str, str]
    ) -> None:
        names = self.urls.keys() - {"store", "service"}
        platform = processes.build_platform({n: self.urls[n] for n in names})
        for name, centre in engine_centres.items():
            platform["upstreams"][name]["data_centre"] = centre
        for name in names:
            platform["upstreams"][name]["capacity_tokens"] = CAPACITY_TOKENS
        platform["data_centres"] = {
            name: {"region": "region", "presence": "in"}
            for name in centres | {"dc-1", *engine_centres.values()}
        }
        platform["upstreams"]["filing-a"] = {
            "url": self.urls["service"],
            "data_centre": "dc-1",
            "presence": "in",
        }
        platform["services"] = {
            "filing": {
                "upstreams": ["filing-a"],
                "operations": {
                    "lodge": {"idempotent": False},
                    "status": {"idempotent": True},
                },
            }
        }
        team = processes.build_team(services=["filing"])
        processes.put_branch(self.urls["store"], "platform", platform)
        processes.put_branch(self.urls["store"], "maps", team)

    def _start_entries(self, centres: tuple[str, ...]) -> None:
        for number, centre in enumerate(centres):
            self.entries.append(make_entry(f"entry-{number}", centre))
        list(self.pool.map(self.start_entry, self.entries))
        self.wait_for_members()


def make_entry(name: str, data_centre: str) -> Entry:
    """Returns an entry process with free addresses, not started yet."""
    address = f"127.0.0.1:{processes.find_port()}"
    peer = f"127.0.0.1:{processes.find_port()}"
    return Entry(name, data_centre, address, peer)


def make_key() -> str:
    """Returns a new idempotency key."""
    return uuid.uuid4().hex


def price(prompt_tokens: int, output_tokens: int) -> int:
    """Returns the amount of a bill at the test prices of `small-1`."""
    return 1000 * prompt_tokens + 2000 * output_tokens
