"""Tests of `sycamorectl`, the control program of operators."""

import contextlib
import dataclasses
import io
import json
import tempfile
import unittest
from unittest import mock

from sycamorehollow.decisions.bills import billing_messages
from sycamorehollow.decisions.releases import stages
from sycamorehollow.decisions.releases import stops
from sycamorehollow.programs import ctl
from sycamorehollow.programs import ctl_changes
from sycamorehollow.settings import tree
from sycamorehollow.shells import stores
from tests import test_storeclient

PLATFORM = {
    "models": {
        "atlas": {"versions": {"v1": {"prompt_price": 1, "output_price": 1}}}
    },
    "data_centres": {"dc": {"region": "r"}},
    "upstreams": {"u": {"url": "http://127.0.0.1:1", "data_centre": "dc"}},
}


class MemoryStore(stores.Store):
    """In-memory store that can lose responses and inject concurrent writes."""

    def __init__(self):
        self.items = {}
        self.revision = 0
        self.fates = []
        self.before_write = None

    def read(self, key):
        if key not in self.items:
            return stores.Absent(key)
        return stores.Found(key, *self.items[key])

    def write(self, key, value, expected_revision, lease=""):
        if self.before_write:
            hook, self.before_write = self.before_write, None
            hook()
        fate = self.fates.pop(0) if self.fates else ""
        if fate == "lost before":
            return stores.InDoubt("lost")
        old, revision = self.items.get(key, (None, 0))
        result = stores.Conflict("moved", revision=revision, value=old)
        if expected_revision in (None, revision):
            self.revision += 1
            self.items[key] = (value, self.revision)
            result = stores.Written(self.revision)
        return stores.InDoubt("lost") if fate == "lost after" else result

    def list_range(self, prefix):
        found = [
            stores.Found(key, *self.items[key])
            for key in sorted(self.items)
            if key.startswith(prefix)
        ]
        return stores.Listing(tuple(found), self.revision)

    def delete(self, key, expected_revision=None):
        raise NotImplementedError

    watch = grant_lease = renew_lease = release_lease = delete


class CtlTest(unittest.TestCase):
    """Guards against lost, invalid or repeated writes to the settings.

    Also guards against changes to the branch of another team.
    """

    def setUp(self):
        self.store = MemoryStore()
        self.store.write("config/platform", json.dumps(PLATFORM), 0)
        pause = mock.patch.object(ctl_changes, "RETRY_PAUSE_S", 0.0)
        pause.start()
        self.addCleanup(pause.stop)

    def run_ctl(self, line, expected=ctl.DONE):
        """Runs one command and returns its JSON output."""
        out, err = io.StringIO(), io.StringIO()
        words = ["--store", "http://127.0.0.1:1", "--json", *line.split()]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = ctl.main(words, lambda url: self.store)
        self.assertEqual(status, expected, f"{line}: {err.getvalue()}")
        return json.loads(out.getvalue())

    def find_error(self, line):
        """Returns the error code of a rejected command; it must not write."""
        before = dict(self.store.items)
        error = self.run_ctl(line, ctl.REFUSED)["error"]
        self.assertEqual(self.store.items, before)
        return error["code"]

    def convert(self):
        """Returns the deployment in the store, which must have no faults."""
        branches = {
            key.removeprefix("config/"): (revision, json.loads(text))
            for key, (text, revision) in self.store.items.items()
            if key.startswith("config/")
        }
        result, faults = tree.convert(branches)
        self.assertEqual(faults, {})
        return result

    def test_commands_change_what_is_in_force(self):
        self.run_ctl("version add atlas v2 --prompt-price 2 --output-price 3")
        self.run_ctl("--team a workspace create w --allow v1 --weight 2")
        self.run_ctl("--team a version allow w v2")
        self.run_ctl("--team a version disallow w v1")
        self.run_ctl("--team a cascade define auto v1 v2")
        self.run_ctl("version withdraw v1")
        self.run_ctl("data-centre out dc")
        self.run_ctl("upstream leave u")
        result = self.convert()
        self.assertEqual(result.workspaces["w"].versions, {"v2"})
        self.assertEqual(result.cascades["auto"].steps, ("v1", "v2"))
        self.assertEqual(result.versions["v1"].state.value, "withdrawn")
        self.assertEqual(result.data_centres["dc"].presence.value, "out")
        self.assertEqual(result.upstreams["u"].presence.value, "leaving")
        self.run_ctl("version restore v1")
        self.run_ctl("data-centre in dc")
        self.run_ctl("upstream in u")
        self.run_ctl("--team a cascade delete auto")
        self.assertIn("w", self.run_ctl("--team a workspace show"))
        self.run_ctl("--team a workspace delete w")
        result = self.convert()
        self.assertEqual((result.workspaces, result.cascades), ({}, {}))
        self.assertEqual(result.upstreams["u"].presence.value, "in")

    def test_rollout_passes_its_stages(self):
        self.run_ctl("version add atlas v2 --prompt-price 2 --output-price 3")
        self.run_ctl(
            "--team a rollout start r --model atlas --baseline v1"
            " --candidate v2 --stages 0.1,1"
        )
        self.run_ctl("--team a rollout pause r")
        self.assertEqual(
            self.find_error("--team a rollout advance r"), "refused"
        )
        self.run_ctl("--team a rollout start r")
        self.run_ctl("--team a rollout advance r --stage 0")
        stale = "--team a rollout advance r --stage 0"
        self.assertEqual(self.find_error(stale), "refused")
        shown = self.run_ctl("--team a rollout show r")
        self.assertEqual((shown["stage"], shown["state"]), (1, "running"))
        self.run_ctl("--team a rollout advance r")
        self.assertEqual(
            self.run_ctl("--team a rollout show r")["state"], "done"
        )
        self.run_ctl("--team a rollout withdraw r")
        self.assertEqual(self.find_error("--team b rollout start r"), "refused")

    def test_lost_response_is_recognised_as_success(self):
        for number, fates in enumerate(
            (["lost after"], ["lost before"], ["lost before", "lost after"])
        ):
            self.store.fates = list(fates)
            self.run_ctl(f"--team a workspace create w{number}")
        self.assertEqual(len(self.convert().workspaces), 3)
        self.store.fates = ["lost before"] * 9
        error = self.run_ctl("--team a workspace create x", ctl.REFUSED)
        self.assertEqual(error["error"]["code"], "change_in_doubt")

    def test_loser_of_a_race_changes_nothing(self):
        self.run_ctl("--team a workspace create first")
        for fates in ([], ["", "lost after"]):
            self.store.before_write = lambda: self.run_ctl(
                "--team a version allow first v1"
            )
            self.store.fates = fates
            error = self.run_ctl("--team a workspace create x", ctl.REFUSED)
            self.assertEqual(error["error"]["code"], "change_conflict")
            result = self.convert()
            self.assertEqual(set(result.workspaces), {"first"})
            self.assertEqual(result.workspaces["first"].versions, {"v1"})
            self.run_ctl("--team a version disallow first v1")

    def test_invalid_changes_are_refused(self):
        self.run_ctl("--team a workspace create w --allow v1")
        for line, code in (
            ("--team a workspace create w", "refused"),
            ("--team b workspace create w", "branch_invalid"),
            ("--team b workspace create x --allow v9", "branch_invalid"),
            ("--team a cascade define c c", "branch_invalid"),
            ("--team a cascade delete c", "refused"),
            ("--team a data-centre out dc", "refused"),
            ("data-centre out x", "refused"),
            ("version withdraw v9", "refused"),
            ("--team a version allow w v1", "unchanged"),
        ):
            with self.subTest(line):
                self.assertEqual(self.find_error(line), code)

    def test_branch_is_replaced_only_by_a_valid_one(self):
        self.run_ctl("--team a workspace create w --allow v1")
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(PLATFORM | {"models": {}}))
            file.flush()
            for command in ("put", "validate"):
                # The branch of team a refers to the removed version.
                line = f"--team platform branch {command} {file.name}"
                self.assertEqual(self.find_error(line), "branch_invalid")
            line = f"--team b branch put {file.name}"
            self.assertEqual(self.find_error(line), "branch_invalid")
            file.truncate(0)
            file.seek(0)
            file.write('{"deleted": true}')
            file.flush()
            self.run_ctl(f"--team a branch validate {file.name}")
            self.run_ctl(f"--team a branch put {file.name}")
        self.assertEqual(self.convert().workspaces, {})
        self.assertTrue(
            self.run_ctl("--team a branch show")["document"]["deleted"]
        )

    def test_bad_usage_has_its_own_status(self):
        for words in (
            ["--store", "here", "bills"],
            ["bills"],
            ["--store", "http://127.0.0.1:1", "workspace", "show"],
            ["--store", "http://127.0.0.1:1", "--team", "a", "rollout"],
            [
                "--store",
                "http://h",
                "--team",
                "a",
                "rollout",
                "start",
                "r",
                "--model",
                "m",
            ],
        ):
            with contextlib.redirect_stderr(io.StringIO()):
                try:
                    status = ctl.main(words, lambda url: self.store)
                except SystemExit as end:
                    status = end.code
            self.assertEqual(status, ctl.BAD_USAGE, words)

    def test_status_asks_every_entry_process(self):
        server = test_storeclient.ScriptedServer(self)
        server.responses.append(test_storeclient.reply(200, {"a": 1}))
        shown = self.run_ctl(f"status {server.url} http://127.0.0.1:1")
        self.assertEqual(server.requests[0][:2], ("GET", "/v1/status"))
        self.assertEqual(shown[server.url], {"a": 1})
        self.assertIn("error", shown["http://127.0.0.1:1"])
        self.assertEqual(
            self.find_error("status http://127.0.0.1:1"), "no_upstream"
        )

    def test_bills_count_once_and_by_workspace(self):
        bills = [
            billing_messages.Bill("w", "request:1", "v1", 2, 3, 40, 5),
            billing_messages.Bill("w", "request:2", "v1", 2, 3, 60),
            billing_messages.Bill("x", "request:1", "v1", 2, 3, 7),
        ]
        items = [billing_messages.Item(bill).encode() for bill in bills]
        for name, batch in (("1", items[:2]), ("2", items[1:])):
            value = billing_messages.encode_batch(batch)
            self.store.write(f"bills/dc/1/{name}", value, 0)
        w = {"bills": 2, "amount": 100, "internal_cost": 5}
        x = {"bills": 1, "amount": 7, "internal_cost": 0}
        self.assertEqual(self.run_ctl("bills"), {"w": w, "x": x})
        self.assertEqual(self.run_ctl("bills x"), {"x": x})
        self.store.write("bills/dc/1/3", "damaged", 0)
        self.assertEqual(self.find_error("bills"), "value_unreadable")

    def start_rollout(self):
        """Starts a roll-out with two stages and returns its definition."""
        self.run_ctl("version add atlas v2 --prompt-price 2 --output-price 3")
        self.run_ctl(
            "--team a rollout start r --model atlas --baseline v1"
            " --candidate v2 --stages 0.1,1"
        )
        return self.convert().rollouts["r"]

    def read_stage(self):
        """Returns the roll-out's document as an entry process reads it."""
        return stages.decode(self.store.items["rollouts/r"][0].encode())

    def test_entry_processes_understand_every_stage(self):
        rollout = self.start_rollout()
        revision = self.store.items["config/a"][1]
        for action, stage, state in (
            ("pause", 0, stages.State.PAUSED),
            ("start", 0, stages.State.RUNNING),
            ("advance", 1, stages.State.RUNNING),
            ("withdraw", 1, stages.State.WITHDRAWN),
            ("start", 0, stages.State.RUNNING),
        ):
            with self.subTest(action):
                self.run_ctl(f"--team a rollout {action} r")
                found = self.read_stage()
                self.assertEqual((found.stage, found.state), (stage, state))
                self.assertEqual(
                    found.rollout_id, stops.compute_rollout_id(rollout)
                )
                self.assertEqual(found.config, revision)

    def test_start_accepts_that_an_entry_process_was_faster(self):
        name = "sycamorehollow.programs.ctl_changes.Changer.write"
        write = ctl_changes.Changer.write

        def overtake(changer, proposal):
            if proposal.key == "rollouts/r":
                other = dataclasses.replace(
                    stages.decode(proposal.text.encode()), nonce_suffix="entry"
                )
                value = stages.encode(other).decode()
                self.store.write("rollouts/r", value, 0)
            return write(changer, proposal)

        with mock.patch(name, overtake):
            self.start_rollout()
        self.assertEqual(self.read_stage().nonce_suffix, "entry")

    def test_lost_response_is_recognised_after_an_entry_process_wrote(self):
        self.start_rollout()

        def follow():
            found = self.read_stage()
            after = stages.build_next(
                found, 1, found.state, found.config, found.rollout_id, "entry"
            )
            value = stages.encode(after).decode()
            self.store.write("rollouts/r", value, None)

        self.run_ctl("--team a rollout pause r")
        self.store.fates = ["lost after"]
        read = self.store.read
        reads = []

        def read_late(key):
            reads.append(key)
            if reads.count("rollouts/r") == 2:
                follow()
            return read(key)

        with mock.patch.object(self.store, "read", read_late):
            self.run_ctl("--team a rollout start r")
        self.assertEqual(self.read_stage().nonce_suffix, "entry")

    def test_unreadable_stage_is_shown_and_can_be_replaced(self):
        self.start_rollout()
        plain = '{"stage": 1, "state": "running", "nonce": "plain"}'
        self.store.write("rollouts/r", plain, None)
        shown = self.run_ctl("--team a rollout show r")
        self.assertEqual((shown["stage"], shown["state"]), (None, "unreadable"))
        self.assertEqual(self.find_error("--team a rollout pause r"), "refused")
        self.run_ctl("--team a rollout start r")
        self.assertEqual(self.read_stage().stage, 0)
