"""Tests of the conversion of the settings tree."""

import copy
import json
import unittest

from sycamorehollow.model import deployment
from sycamorehollow.settings import tree

PLATFORM = json.loads("""{"nonce": "n",
"models": {"atlas": {"versions": {
  "small": {"prompt_price": 20, "output_price": 80},
  "large": {"prompt_price": 9, "output_price": 30, "state": "withdrawn"}}}},
"data_centres": {"levant-1": {"region": "levant-east"}},
"upstreams": {"atlas-a": {"url": "http://127.0.0.1:9001",
  "data_centre": "levant-1", "versions": ["small"], "presence": "leaving"}},
"services": {"filing": {"upstreams": ["atlas-a"],
  "operations": {"lodge": {"idempotent": false}}}}}""")
TEAM = json.loads("""{"nonce": "n",
"workspaces": {"maps": {"versions": ["small"], "services": ["filing"],
  "kinds": {"chapter": {"deadline_s": 600, "gate": true}}}},
"cascades": {"auto": {"steps": ["small", "big"]},
  "big": {"steps": ["large", "small"]}},
"rollouts": {"r": {"model": "atlas", "baseline": "small",
  "candidate": "large", "stages": [0.1, 1]}}}""")
TEAM["workspaces"]["maps"]["key_hashes"] = ["a" * 64]


def change(document, path, value):
    """Returns a copy with one entry replaced."""
    result = copy.deepcopy(document)
    entry = result
    *parents, last = path.split("/")
    for parent in parents:
        entry = entry.setdefault(parent, {})
    entry[last] = value
    return result


class ConvertTest(unittest.TestCase):
    """Guards against accepting invalid settings and rejecting valid ones."""

    def _check_fault(self, branch, path, platform=PLATFORM, team=TEAM):
        result, faults = tree.convert(
            {"platform": (3, platform), "maps": (4, team)}
        )
        self.assertIn(path, [fault.path for fault in faults[branch]])
        self.assertNotIn(branch, result.revisions)
        for fault in faults[branch]:
            self.assertIn(f"config/{branch} {fault.path}: ", fault.reason)
        return result

    def test_converts_every_entry(self):
        result, faults = tree.convert(
            {"maps": (2, TEAM), "platform": (3, PLATFORM)}
        )
        self.assertEqual(faults, {})
        self.assertEqual(result.revisions, {"platform": 3, "maps": 2})
        self.assertIs(
            result.versions["large"].state, deployment.ServingState.WITHDRAWN
        )
        self.assertIs(
            result.upstreams["atlas-a"].presence, deployment.Presence.DRAINING
        )
        self.assertEqual(result.cascades["auto"].steps, ("small", "large"))
        self.assertEqual(result.rollouts["r"].stages, (0.1, 1.0))
        workspace = result.workspaces["maps"]
        self.assertEqual(workspace.kinds["chapter"].deadline_s, 600)
        self.assertEqual(workspace.team, "maps")

    def test_names_faults_of_the_platform_branch(self):
        upstream = "upstreams/atlas-a"
        for change_path, value, path in (
            ("modls", {}, "modls"),
            (f"{upstream}/url", "http://host:1", "upstreams.atlas-a.url"),
            (f"{upstream}/versions", ["x"], "upstreams.atlas-a.versions"),
            (f"{upstream}/data_centre", "x", "upstreams.atlas-a.data_centre"),
            ("services/filing/upstreams", ["x"], "services.filing.upstreams"),
            (
                "models/b/versions/small",
                {"prompt_price": 1, "output_price": 1},
                "models.b.versions.small",
            ),
        ):
            with self.subTest(change_path):
                document = change(PLATFORM, change_path, value)
                self._check_fault("platform", path, platform=document)

    def test_names_faults_of_a_team_branch(self):
        for change_path, value, path in (
            ("workspaces/maps/versions", ["x"], "workspaces.maps.versions"),
            ("workspaces/maps/services", ["x"], "workspaces.maps.services"),
            ("workspaces/maps/weight", 0, "workspaces.maps.weight"),
            ("workspaces/maps/weight", "1", "workspaces.maps.weight"),
            ("cascades/big/steps", ["auto"], "cascades.big.steps"),
            ("cascades/big/steps", ["x"], "cascades.big.steps"),
            ("cascades/small", {"steps": ["large"]}, "cascades.small"),
            ("rollouts/r/stages", [0.5, 0.1], "rollouts.r.stages"),
            ("rollouts/r/candidate", "small", "rollouts.r.candidate"),
            ("rollouts/r/model", "x", "rollouts.r.model"),
        ):
            with self.subTest(change_path):
                document = change(TEAM, change_path, value)
                result = self._check_fault("maps", path, team=document)
                self.assertIn("platform", result.revisions)

    def test_spells_out_a_cycle(self):
        document = change(TEAM, "cascades/big/steps", ["auto"])
        _, faults = tree.convert(
            {"platform": (3, PLATFORM), "b": (4, document)}
        )
        self.assertIn("auto -> big -> auto", faults["b"][0].reason)

    def test_later_of_two_claims_fails(self):
        branches = {
            "platform": (9, PLATFORM),
            "b": (4, TEAM),
            "a": (5, {"workspaces": {"maps": {}, "other": {}}}),
            "c": (6, {"workspaces": {"own": {"key_hashes": ["a" * 64]}}}),
        }
        result, faults = tree.convert(branches)
        self.assertEqual(set(faults), {"a", "c"})
        self.assertEqual(result.workspaces["maps"].team, "b")
        self.assertEqual(set(result.workspaces), {"maps"})

    def test_accepted_branch_loses_only_broken_entries(self):
        document = change(TEAM, "workspaces/maps/versions", ["small", "gone"])
        result, faults = tree.convert(
            {"platform": (9, PLATFORM), "maps": (4, document)}, {"maps"}
        )
        self.assertEqual(len(faults["maps"]), 1)
        self.assertEqual(result.workspaces["maps"].versions, {"small"})
        self.assertEqual(result.revisions["maps"], 4)

    def test_deeply_nested_cascades_end(self):
        steps = {
            f"c{i}": {"steps": [f"c{i + 1}", f"c{i + 1}"]} for i in range(2000)
        }
        steps["c2000"] = {"steps": ["small"]}
        self._check_fault("maps", "cascades.c0.steps", team={"cascades": steps})
        few = {name: steps[name] for name in ("c1999", "c2000")}
        result, faults = tree.convert(
            {"platform": (1, PLATFORM), "maps": (2, {"cascades": few})}
        )
        self.assertEqual(faults, {})
        self.assertEqual(result.cascades["c1999"].steps, ("small",))

    def test_deleted_branch_is_empty(self):
        result, faults = tree.convert(
            {"platform": (1, PLATFORM), "maps": (2, TEAM | {"deleted": True})}
        )
        self.assertEqual(faults, {})
        self.assertEqual(result.workspaces, {})
        self.assertEqual(result.revisions["maps"], 2)
