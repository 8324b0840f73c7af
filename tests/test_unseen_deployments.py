"""Tests of two deployments that differ from all known ones.

They must work without a change of code.
"""

import json
import tempfile
import time
import unittest

from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.platform import documents
from sycamorehollow.platform import settings as platform_settings
from tests import gateway_world
from tests import platform_standins
from tests import processes

# One node and one upstream without keys, limits and prompts; few settings.
HARBOUR = {
    "zone": "pier",
    "zones.pier": "harbour",
    "region": "harbour",
    "bounds.retryBudgetRatio": "0",
    "bounds.budgetWindowS": "3.5",
    "bounds.budgetMinRetries": "0",
    "bounds.drainMs": "900",
    "bounds.unheardOf": "x=1,y=2",
    "limits.linkMbps": "0.5",
    "contracts": "base,tides",
}
# Five zones, three models, short timeouts and unknown fields.
ARCHIPELAGO = {
    "zone": "isle-5",
    **{f"zones.isle-{n}": "sea" for n in range(1, 6)},
    "bounds.retryBudgetRatio": "0.9",
    "bounds.budgetWindowS": "30",
    "bounds.budgetMinRetries": "500",
    "bounds.exposeShare": "0.5",
    "bounds.coldOverage": "3",
    "bounds.coldSlack": "1",
    "bounds.reuseWindowS": "120.5",
    "bounds.sessionS": "90",
    "tides.table": "2026",
}


class UnseenDeploymentTest(unittest.TestCase):
    """Guards against hard-coded names and figures of known deployments."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = folder.name
        self.store = platform_standins.Store()
        self.addCleanup(self.store.stop)

    def _start(self, settings):
        node = gateway_world.Node(self._folder, "n", self.store, **settings)
        self.addCleanup(node.stop)
        node.wait_ready()
        return node

    def _add_upstream(self, identity, service, **changes):
        upstream = platform_standins.Upstream(identity)
        self.addCleanup(upstream.stop)
        upstream.register(self.store, service, **changes)
        return upstream

    def test_one_upstream_without_keys_limits_and_repeats(self):
        route = {
            "name": "berths",
            "host": "berths.example",
            "pathPrefix": "/",
            "kind": "safe",
            "timeoutMs": 700,
            "service": "ledger",
            "colour": "blue",
        }
        document = {
            "version": 3,
            "routes": [route],
            "services": [{"name": "ledger", "tides": [1, 2]}],
            "moorings": {},
        }
        self.store.put("op/config", json.dumps(document))
        ledger = self._add_upstream(
            "l-1", "ledger", zone="pier", slots=1, depth=4.5
        )
        node = self._start(HARBOUR)
        asked = {"host": "berths.example", "authorization": None}
        self.assertEqual(node.request("/any", **asked).status, 200)
        ledger.mode = "fail"
        answer = node.request("/any", **asked)
        self.assertEqual(answer.status, 500)
        self.assertIn("Response-Seal", answer.headers)
        self.assertEqual(len(ledger.run_requests), 2)
        ledger.mode = "hang"
        began = time.monotonic()
        self.assertEqual(node.request("/any", **asked).status, 504)
        self.assertLess(time.monotonic() - began, 1.2)
        self.store.remove("servers/l-1")
        processes.wait_for(lambda: node.request("/any", **asked).status == 503)
        self.assertIn("Retry-After", node.request("/any", **asked).headers)

    def test_five_zones_and_three_models_with_unknown_fields(self):
        document = platform_standins.build_configuration(7)
        draft = document["routes"][0]
        draft |= {"sizes": ["pebble", "reef", "atoll"], "waves": 3}
        draft["maxAttempts"] = 2
        draft["trafficSplit"] = [
            {"service": "llm", "weight": 1},
            {"service": "calm", "weight": 0},
        ]
        self.store.put("op/config", json.dumps(document))
        models = [{"name": name} for name in draft["sizes"]]
        engines = [
            self._add_upstream(
                f"e-{n}", "llm", zone=f"isle-{n}", models=models, slots=2
            )
            for n in range(1, 6)
        ]
        for engine in engines:
            engine.confidences = {"pebble": 10, "reef": 99, "atoll": 99}
        node = self._start(ARCHIPELAGO)
        answer = node.stream(prompt_prefix=None, token_counts=None)
        self.assertEqual(answer.status, 200)
        self.assertIn(b"data: atoll", answer.data)
        asked = {
            run[2]["Model"] for engine in engines for run in engine.run_requests
        }
        self.assertEqual(asked, {"pebble", "atoll"})
        self.assertEqual(sum(len(engine.run_requests) for engine in engines), 2)
        for engine in engines[:-1]:
            engine.mode = "reset"
        for _ in range(6):
            processes.wait_for(lambda: node.stream().status == 200, 3.0)

    def test_settings_of_both_are_read(self):
        base = gateway_world.build_settings("n", "127.0.0.1:1")
        for name, changes in (("pier", HARBOUR), ("isle-5", ARCHIPELAGO)):
            text = "".join(
                f"{key}={value}\n" for key, value in (base | changes).items()
            )
            read = platform_settings.parse_settings(text)
            self.assertEqual(read.data_centre, name)
        self.assertEqual(read.reuse_s, 120.5)
        self.assertEqual(read.link_mbps, 0.0)

    def test_node_entry_of_an_older_release_is_read(self):
        found = documents.decode_node('{"peer": "a:1", "data_centre": "x"}')
        self.assertEqual(found, watchers.Node("a:1", "x"))
