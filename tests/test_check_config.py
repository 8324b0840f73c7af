"""Tests of `sycamorectl check-config`."""

import contextlib
import copy
import io
import json
import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import route_table
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.platform import configuration_changes
from sycamorehollow.platform import configuration_rules
from sycamorehollow.platform import documents
from sycamorehollow.programs import ctl
from tests import platform_standins

SECRET = "key-that-is-secret"
HOSTS = ("a.example", "A.example", "b.example", "b.example:80")
PREFIXES = ("/", "/x/", "/x/y/", "/z", "z/", "/?q/")
# One change each to a sound configuration: place, value, place of the finding
# (below that of the change if it is empty or begins with a dot), and whether it
# is an error.
FAULTS = (
    ("routes.0.timeoutMs", "soon", "", True),
    ("routes.0.kind", "quick", "", True),
    ("routes.0.timeoutMs", 0, "", True),
    ("routes.0.timeoutMs", 900, "", False),
    ("routes.0.targetGapMs", 5000, "", False),
    ("routes.1.targetGapMs", 500, "", False),
    ("routes.1.streamResumption", True, "", False),
    ("routes.2.maxAttempts", 2, "", False),
    ("routes.0.maxAttempts", 1, "", False),
    ("routes.0.service", "nobody", "", True),
    ("routes.0.service", "", "", True),
    ("routes.0.timeoutMS", 900, "", False),
    ("routes.0.priority", 10, "", False),
    ("routes.1.name", "r-draft", "", False),
    (
        "routes.1.trafficSplit",
        [{"service": "desk", "weight": 1}],
        "routes.1.service",
        False,
    ),
    ("services.0.coldPerS", 0.5, "", False),
    ("services.1.name", "llm", "services.0.name", True),
    ("services.0.scaling", {"min": 3, "max": 2, "bootTimeS": 0}, ".min", True),
    ("services.0.scaling", {"min": 0, "max": 0, "bootTimeS": 0}, ".max", True),
    ("services.0.scaling", {"min": 1, "max": 2}, ".bootTimeS", False),
    (
        "services.0.scaling",
        {"min": 1, "max": 2, "bootTimeS": 8},
        "services.0.coldPerS",
        False,
    ),
    ("limits.maxBodyBytes", 40 << 20, "", True),
    ("limits.maxBodyBytes", 8 << 20, "", False),
    ("limits.maxHeaderBytes", 2 << 20, "", True),
    ("limits.maxHeaderBytes", 0, "", True),
    ("limits.headerTimeoutMs", 0, "", True),
    ("limits.idleTimeoutMs", 0, "", False),
    ("tenants.0.apiKeys", [], "", False),
    ("tenants.0.apiKeys", [SECRET, " spaced "], ".1", True),
    ("tenants.0.apiKeys", [5], ".0", True),
    ("tenants.0", SECRET, "", True),
    ("tenants.0", {"apiKeys": [SECRET]}, ".name", True),
    ("tenants.0.name", {"apiKeys": [SECRET]}, "", True),
    ("tenant", [{"name": "a", "apiKeys": [SECRET]}], "", False),
    (
        "tenants",
        [
            {"name": "a", "apiKeys": [SECRET]},
            {"name": "b", "apiKeys": [SECRET]},
        ],
        "tenants.0.apiKeys.0",
        True,
    ),
)


def build_sound():
    """Returns a configuration without findings."""
    return platform_standins.build_configuration(keys=(SECRET,))


def change(document, place, value):
    """Returns a copy with one changed value."""
    document = copy.deepcopy(document)
    *path, last = [int(p) if p.isdigit() else p for p in place.split(".")]
    target = document
    for part in path:
        target = target[part]
    target[last] = value
    return document


def check(document):
    """Returns the findings on a document."""
    return configuration_rules.check(json.dumps(document))


class RulesTest(unittest.TestCase):
    """Guards against faults that are sent, and against findings on sound ones.

    Also guards against API keys in the output.
    """

    def test_sound_configuration_has_no_findings(self):
        self.assertEqual(check(build_sound()), [])

    def test_each_fault_is_found_in_its_place(self):
        for place, value, suffix, is_error in FAULTS:
            with self.subTest(place=place, value=value):
                found = check(change(build_sound(), place, value))
                is_below = suffix == "" or suffix.startswith(".")
                expected = place + suffix if is_below else suffix
                levels = {f.level.value for f in found if f.place == expected}
                self.assertEqual(levels, {"error" if is_error else "warning"})
                self.assertNotIn(SECRET, "".join(map(str, found)))

    def test_unused_parts_are_found(self):
        document = build_sound()
        document["services"].append({"name": "idle"})
        shares = [{"service": "llm", "weight": w} for w in (1, 0, 2)]
        document["routes"][0].update(service="", trafficSplit=shares)
        places = [found.place for found in check(document)]
        expected = ["routes.0.trafficSplit.1.weight"]
        expected += ["routes.0.trafficSplit.2.service", "services.2.name"]
        self.assertEqual(places, expected)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(HOSTS),
                strategies.sampled_from(PREFIXES),
            ),
            max_size=8,
        )
    )
    def test_routes_found_dead_are_those_that_no_request_reaches(self, pairs):
        template = build_sound()["routes"][1]
        routes = [
            {**template, "name": f"r-{i}", "host": host, "pathPrefix": prefix}
            for i, (host, prefix) in enumerate(pairs)
        ]
        document = {**build_sound(), "routes": routes}
        dead = {
            int(found.place.split(".")[1])
            for found in check(document)
            if found.place.startswith("routes") and "error" in str(found)
        }
        table = route_table.RouteTable(
            documents.decode_configuration(json.dumps(document))
        )
        reached = set()
        for host in {host.lower().partition(":")[0] for host in HOSTS}:
            for path in [p for p in PREFIXES if p[0] == "/" and "?" not in p]:
                request = forwarding.Request("1", "GET", host, path, None)
                found = table.find_route(request)
                if not isinstance(found, failures.Failure):
                    reached.add(int(found.name[2:]))
        self.assertEqual(dead, set(range(len(pairs))) - reached)

    @hypothesis.given(
        strategies.sampled_from([fault[0] for fault in FAULTS]),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats(allow_nan=False, allow_infinity=False)
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(strategies.text(max_size=5), inner)
            ),
            max_leaves=5,
        ),
    )
    def test_what_processes_reject_is_an_error(self, place, value):
        document = change(build_sound(), place, value)
        decoded = documents.decode_configuration(json.dumps(document))
        if isinstance(decoded, failures.Failure):
            found = check(document)
            self.assertTrue(all("error" in str(entry) for entry in found))
            self.assertTrue(found)
        else:
            check(document)


class ChangesTest(unittest.TestCase):
    """Guards against differences that are not shown, or without effect."""

    def compare(self, new):
        before, after = (
            documents.validate_configuration(json.dumps(document))
            for document in (build_sound(), new)
        )
        return configuration_changes.compare(before, after)

    def test_each_changed_field_is_shown_with_its_effect(self):
        self.assertEqual(self.compare(build_sound()), [])
        for place, value, expected, effect in (
            (
                "routes.0.timeoutMs",
                9000,
                "routes.r-draft.timeoutMs",
                "keep their",
            ),
            ("routes.0.service", "desk", "routes.r-draft.service", "session"),
            ("services.0.coldPerS", 4, "services.llm.coldPerS", "cold"),
            ("limits.maxBodyBytes", 9, "limits.maxBodyBytes", "arriving"),
            ("tenants.0.priority", 1, "tenants.maps.priority", "new requests"),
            (
                "tenants.0.apiKeys",
                [],
                "tenants.maps.apiKeys (removed)",
                "get 401",
            ),
            ("tenants", None, "tenants", "need no key"),
        ):
            with self.subTest(place=place):
                [found] = self.compare(change(build_sound(), place, value))
                self.assertEqual(found.place, expected)
                self.assertIn(effect, found.effect)
                self.assertNotIn(SECRET, str(found))

    def test_removed_route_tells_where_its_requests_go(self):
        document = build_sound()
        document["routes"][0].update(name="r-all", pathPrefix="/")
        found = {entry.place: entry.effect for entry in self.compare(document)}
        self.assertIn("match route r-all", found["routes.r-draft"])
        self.assertIn("they get 404", found["routes.r-all"])


class CommandTest(unittest.TestCase):
    """Guards against wrong exit statuses, by which scripts decide."""

    def run_ctl(self, *documents_, options=()):
        """Returns the exit status and the output for one or two files."""
        with tempfile.TemporaryDirectory() as folder:
            names = []
            for i, document in enumerate(documents_):
                path = pathlib.Path(folder) / f"{i}.json"
                path.write_text(json.dumps(document))
                names += ["--against", str(path)] if i else [str(path)]
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                status = ctl.main([*options, "check-config", *names])
            return status, out.getvalue()

    def test_status_tells_the_worst_finding(self):
        sound = build_sound()
        warned = change(sound, "routes.0.timeoutMs", 900)
        wrong = change(sound, "routes.0.timeoutMs", "soon")
        for document, expected in ((sound, 0), (warned, 1), (wrong, 2)):
            self.assertEqual(self.run_ctl(document)[0], expected)
        with contextlib.redirect_stdout(io.StringIO()):
            self.assertEqual(ctl.main(["check-config", "/nonexistent"]), 2)

    def test_version_in_force_must_be_lower(self):
        sound = build_sound()
        status, _ = self.run_ctl({**sound, "version": 2}, sound)
        self.assertEqual(status, 0)
        status, text = self.run_ctl(sound, sound, options=["--json"])
        self.assertEqual(status, 2)
        self.assertEqual(json.loads(text)["findings"][0]["place"], "version")
        self.assertEqual(self.run_ctl(sound, "no configuration")[0], 2)
