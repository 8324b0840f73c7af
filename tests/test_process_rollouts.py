"""Roll-outs and operator commands through separate processes."""

from concurrent import futures
import contextlib
import hashlib
import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import urllib3

from sycamorehollow.programs import ctl
from tests import processes

SENDERS = 8
HTTP = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=SENDERS)
TOKEN = "token-of-the-operators"
STAGES = [0.3, 0.6, 0.9]
# Time that the invariants allow until a stop or a change applies everywhere.
SPREAD_S = 5.0
SETTINGS = (
    f"[operators]\ntoken={TOKEN}\n"
    "[rollouts]\ndwell_s=0.5\noutcomes=5\nratings=3\n"
)
KIND = {
    "quality_threshold": 0.7,
    "quality_target": 0.88,
    "deadline_s": 20,
    "priority": 1,
    "gate": False,
    "explore": True,
}
RATINGS = (
    "ratings.delay_s=0",
    "ratings.jitter_s=0",
    "ratings.lost_share=0",
    "ratings.noise=0.01",
    "ratings.default_quality=0.95",
    "quality.bad-2=0.1",
)


class RolloutCase(unittest.TestCase):
    """A store, ratings, two engines and two entry processes.

    The model `<name>` has the versions `<name>-1` and `<name>-2`.
    """

    models: tuple[str, ...] = ()

    @classmethod
    def setUpClass(cls):
        cls.running = processes.Processes()
        cls.addClassCleanup(cls.running.stop)
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.token_file = pathlib.Path(folder.name) / "token"
        cls.token_file.write_text(TOKEN + "\n")
        names = [f"{model}-{n}" for model in cls.models for n in (1, 2)]
        engine = (
            "engine.versions=" + ",".join(names),
            "engine.tokens_per_s=5000",
        )
        started = cls.start_all(
            lambda: cls.running.start_stand_in("store"),
            lambda: cls.running.start_stand_in("ratings", *RATINGS),
            lambda: cls.running.start_stand_in("engine", *engine),
            lambda: cls.running.start_stand_in("engine", *engine),
        )
        cls.store, cls.ratings, *engines = [url for _, url in started]
        cls._configure(names, dict(zip("ab", engines, strict=True)))
        ports = [processes.find_port() for _ in range(2)]
        entries = cls.start_all(
            lambda: cls._start_entry(0, ports),
            lambda: cls._start_entry(1, ports),
        )
        cls.children = {f"entry-{n}": entries[n][0] for n in range(2)}
        cls.urls = {f"entry-{n}": entries[n][1] for n in range(2)}
        for url in cls.urls.values():
            processes.wait_for(
                lambda url=url: len(cls.read_status(url)["members"]) == 2
            )

    @staticmethod
    def start_all(*starts):
        """Starts processes side by side."""
        with futures.ThreadPoolExecutor() as pool:
            return list(pool.map(lambda start: start(), starts))

    @classmethod
    def _start_entry(cls, slot, ports):
        return cls.running.start_entry(
            f"entry-{slot}",
            cls.store,
            peer=str(ports[slot]),
            seeds=f"127.0.0.1:{ports[1 - slot]}",
            slot=str(slot),
            slots="2",
            ratings=cls.ratings,
            more=SETTINGS,
        )

    @classmethod
    def _configure(cls, names, engines):
        price = {"prompt_price": 1000, "output_price": 2000}
        platform = processes.build_platform(engines)
        platform["models"] = {
            model: {"versions": {f"{model}-{n}": price for n in (1, 2)}}
            for model in cls.models
        }
        for upstream in platform["upstreams"].values():
            upstream["versions"] = names
        processes.put_branch(cls.store, "platform", platform)
        team = processes.build_team(versions=names, kinds={"check": KIND})
        other = hashlib.sha256(b"other-key").hexdigest()
        ledger = {**team["workspaces"]["maps"], "key_hashes": [other]}
        team["workspaces"]["ledger"] = ledger
        processes.put_branch(cls.store, "maps", team)

    @staticmethod
    def read_status(url):
        """Returns the status of an entry process."""
        return HTTP.request("GET", f"{url}/v1/status").json()

    def ask(self, url, model, key=processes.API_KEY):
        """Sends one request and returns the version that answered."""
        answer = HTTP.request(
            "POST",
            f"{url}/v1/chat/completions",
            json={
                "model": model,
                "messages": [{"role": "user", "content": "Name the river."}],
                "max_tokens": 3,
            },
            headers={
                "Authorization": f"Bearer {key}",
                "X-Request-Kind": "check",
            },
        )
        self.assertEqual(answer.status, 200, answer.data)
        return answer.json()["model"]

    def ask_many(self, model, count):
        """Sends requests to all entries; returns the versions' answers."""
        urls = list(self.urls.values())
        with futures.ThreadPoolExecutor(SENDERS) as pool:
            found = pool.map(
                lambda n: self.ask(urls[n % len(urls)], model), range(count)
            )
            return list(found)

    def wait_with_traffic(self, model, check, limit_s=15.0):
        """Sends requests until a check holds."""

        def send_and_check():
            self.ask_many(model, 16)
            return check()

        processes.wait_for(send_and_check, limit_s)

    def run_ctl(self, *words, team="maps", status=ctl.DONE):
        """Runs an operator command and returns its output."""
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            found = ctl.main(
                ["--store", self.store, "--team", team, "--json", *words]
            )
        self.assertEqual(found, status, f"{words}: {err.getvalue()}")
        return json.loads(out.getvalue())

    def start(self, model):
        """Starts a roll-out and waits until every entry process applies it."""
        self.run_ctl(
            *("rollout", "start", model, "--model", model),
            *("--baseline", f"{model}-1", "--candidate", f"{model}-2"),
            *("--stages", ",".join(str(share) for share in STAGES)),
        )
        self.wait_for_share(model, STAGES[0])

    def wait_for_share(self, model, share):
        """Waits until every entry process serves a share."""
        for url in self.urls.values():
            processes.wait_for(
                lambda url=url: (
                    self.read_status(url)["rollouts"]
                    .get(model, {})
                    .get("share")
                    == share
                ),
                SPREAD_S,
            )

    def wait_for_stop(self, model):
        """Waits until no entry process sends work to the candidate."""
        for url in self.urls.values():
            processes.wait_for(
                lambda url=url: (
                    f"{model}-2" in self.read_status(url)["stopped_versions"]
                ),
                SPREAD_S,
            )
        self.assertEqual(set(self.ask_many(model, 40)), {f"{model}-1"})

    def read_stage(self, model):
        """Returns stage and state in the store."""
        shown = self.run_ctl("rollout", "show", model)
        return shown["stage"], shown["state"]


class RolloutTest(RolloutCase):
    """Guards against bad versions that stay and operators that are ignored."""

    models = ("bad", "halt", "race", "idle")

    def test_bad_candidate_is_halted_everywhere(self):
        self.start("bad")
        self.assertEqual(self.read_stage("bad"), (0, "running"))
        url = self.urls["entry-1"]
        self.wait_with_traffic(
            "bad",
            lambda: "bad-2" in self.read_status(url)["stopped_versions"],
        )
        self.wait_for_stop("bad")
        processes.wait_for(lambda: self.read_stage("bad")[1] == "withdrawn")

    def test_stop_needs_no_store(self):
        self.start("halt")
        versions = set(self.ask_many("halt", 40))
        self.assertEqual(versions, {"halt-1", "halt-2"})
        faults = f"{self.store}/faults"
        HTTP.request("POST", faults, json={"kind": "down"})
        try:
            done = self.run_ctl(
                *("rollout", "stop", "halt"),
                *("--entry", self.urls["entry-1"]),
                *("--token-file", str(self.token_file)),
            )
            self.assertEqual(done["version"], "halt-2")
            self.wait_for_stop("halt")
        finally:
            HTTP.request("POST", faults, json={"kind": "clear"})
        processes.wait_for(lambda: self.read_stage("halt")[1] == "withdrawn")

    def test_stop_is_refused_without_the_token(self):
        self.start("idle")
        url = self.urls["entry-0"] + "/v1/operator/stops"
        body = {"rollout": "idle", "reason": "test"}
        good = f"Bearer {TOKEN}"
        for given, sent, status in (
            ("", body, 401),
            ("Bearer wrong", body, 401),
            (f"Bearer {processes.API_KEY}", body, 401),
            (good, {"rollout": "idle"}, 400),
            (good, {**body, "rollout": "none"}, 404),
        ):
            with self.subTest(given=given, sent=sent):
                answer = HTTP.request(
                    "POST", url, json=sent, headers={"Authorization": given}
                )
                self.assertEqual(answer.status, status)
        stopped = self.read_status(self.urls["entry-0"])["stopped_versions"]
        self.assertNotIn("idle-2", stopped)

    def test_racing_operators_have_one_winner(self):
        self.start("race")
        command = [
            *(sys.executable, "-m", "sycamorehollow.programs.ctl"),
            *("--store", self.store, "--team", "maps"),
            *("rollout", "advance", "race", "--stage", "0"),
        ]
        operators = [
            subprocess.Popen(
                command, cwd=processes.ROOT, stdout=subprocess.DEVNULL
            )
            for _ in range(2)
        ]
        statuses = sorted(child.wait(20) for child in operators)
        self.assertEqual(statuses, [ctl.DONE, ctl.REFUSED])
        self.assertEqual(self.read_stage("race"), (1, "running"))
        self.wait_for_share("race", STAGES[1])

    def test_operator_sees_bills_and_status(self):
        urls = list(self.urls.values())
        for number in range(6):
            self.ask(urls[number % 2], "idle-1", "other-key")
        processes.wait_for(
            lambda: (
                self.run_ctl("bills", "ledger").get("ledger", {}).get("bills")
                == 6
            )
        )
        total = self.run_ctl("bills", "ledger")["ledger"]
        # Three output tokens at 2000 and the prompt at 1000 per 1,000.
        self.assertGreater(total["amount"], 6 * 3 * 2000)
        self.assertEqual(total["amount"] % 6, 0)
        shown = self.run_ctl("status", *urls)
        for name, url in self.urls.items():
            self.assertEqual(shown[url]["process"], name)
            self.assertEqual(len(shown[url]["members"]), 2)


class CoordinatorTest(RolloutCase):
    """Guards against a roll-out that stalls when its coordinator is lost.

    It also guards against a coordinator that overrides operators.
    """

    models = ("pace",)

    def test_killed_coordinator_is_replaced(self):
        self.start("pace")
        self.run_ctl("rollout", "pause", "pace")
        # More traffic than a stage needs must not advance a paused roll-out.
        self.ask_many("pace", 80)
        self.assertEqual(self.read_stage("pace"), (0, "paused"))
        self.wait_for_share("pace", STAGES[0])
        self.run_ctl("rollout", "start", "pace")
        self.run_ctl("rollout", "advance", "pace", "--stage", "0")
        self.wait_for_share("pace", STAGES[1])
        holder = self.find_holder()
        self.children[holder].kill()
        self.children[holder].wait(10)
        del self.urls[holder]
        seen = []

        def is_advanced():
            seen.append(self.read_stage("pace"))
            return seen[-1][0] == 2

        # The lease of the killed process has to expire first.
        self.wait_with_traffic("pace", is_advanced, 40.0)
        self.assertEqual(set(seen), {(1, "running"), (2, "running")})
        self.assertNotEqual(self.find_holder(), holder)
        self.wait_for_share("pace", STAGES[2])
        self.run_ctl("rollout", "withdraw", "pace")
        self.wait_for_stop("pace")
        self.assertEqual(self.read_stage("pace"), (2, "withdrawn"))

    def find_holder(self):
        """Waits for the lease and returns the process that holds it."""
        url = f"{self.store}/v1/kv/leases/rollouts/pace"
        processes.wait_for(lambda: HTTP.request("GET", url).status == 200)
        return HTTP.request("GET", url).json()["value"]


if __name__ == "__main__":
    unittest.main()
