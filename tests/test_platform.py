"""Tests of the adapter to the users' platform."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.platform import documents
from sycamorehollow.platform import header_codec
from sycamorehollow.platform import settings
from sycamorehollow.platform import store_codec
from sycamorehollow.platform import storeclient
from sycamorehollow.settings import gateway
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import header_codec as gateway_codec
from tests import platform_standins

SETTINGS = """
nodeName=front-1
ip=10.1.0.40
zone=east-a
listen.front=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internalPortRange=7340,7355
bounds.drainMs=2000
bounds.graceS=8
bounds.retryBudgetRatio=0.9
bounds.budgetWindowS=10
bounds.budgetMinRetries=58
platform.address=10.200.1.7:8223
not.known.here=x
"""
ENTRY = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "east-a",
    "version": "v1",
    "slots": 48,
    "state": "ready",
    "coldRemainingMs": 1500,
    "born": 77,
    "models": [{"name": "small", "version": 1}],
}


class SettingsTest(unittest.TestCase):
    """Guards against settings that are read wrongly."""

    def test_known_fields_are_taken_and_others_ignored(self):
        read = settings.parse_settings(SETTINGS)
        self.assertEqual(read.data_centre, "east-a")
        self.assertEqual(read.peer_address, "10.1.0.40:7340")
        self.assertEqual(read.drain_s, 2.0)

    def test_limits_on_memory_are_read(self):
        read = settings.parse_settings(SETTINGS)
        self.assertEqual(read.memory, gateway.MemoryLimits())
        text = SETTINGS + "limits.memoryMb=152\nlimits.maxFds=1535\n"
        text += "limits.headerLines=64\nlimits.bodyWaitMs=250\n"
        self.assertEqual(
            settings.parse_settings(text).memory,
            gateway.MemoryLimits(152, 1535, header_lines=64, body_wait_s=0.25),
        )
        text += "limits.callerConnections=0\nlimits.requestMemoryMb=1\n"
        faults = settings.parse_settings(text)
        self.assertEqual(
            {fault.key for fault in faults},
            {"callerConnections", "requestMemoryMb"},
        )

    def test_every_fault_is_named(self):
        text = SETTINGS.replace("graceS=8", "graceS=soon").replace(
            "ip=10.1.0.40\n", ""
        )
        faults = settings.parse_settings(text)
        self.assertEqual(
            {(fault.section, fault.key) for fault in faults},
            {("bounds", "graceS"), ("", "ip")},
        )


class DocumentsTest(unittest.TestCase):
    """Guards against entries that are decoded wrongly."""

    def test_upstream_is_decoded(self):
        upstream = documents.decode_upstream("servers/i-1", json.dumps(ENTRY))
        self.assertEqual(
            upstream,
            forwarding.Upstream(
                "i-1", "llm", "10.0.0.9", 8080, "east-a", "v1", 48, False,
                1.5, 77, ("small",),
            ),
        )  # fmt: skip

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(sorted(ENTRY)), inner, max_size=6
                )
            ),
            max_leaves=8,
        ),
        strategies.sampled_from(sorted(ENTRY)),
    )
    def test_foreign_entries_name_no_upstream_or_a_valid_one(self, value, key):
        for document in (value, ENTRY | {key: value}):
            result = documents.decode_upstream(
                "servers/x", json.dumps(document)
            )
            if isinstance(result, failures.InvalidRequest):
                continue
            self.assertTrue(result.service and result.host)
            self.assertIsInstance(result.slots, int)

    def test_state_that_is_not_named_gives_no_upstream(self):
        for change in ({"state": "up"}, {"address": "x"}, {"service": ""}):
            text = json.dumps(ENTRY | change)
            self.assertIsInstance(
                documents.decode_upstream("servers/x", text),
                failures.InvalidRequest,
            )

    def test_configuration_is_decoded(self):
        document = platform_standins.build_configuration(version=7)
        document["routes"][0]["trafficSplit"] = [
            {"service": "llm", "weight": 90},
            {"service": "desk", "weight": 10},
            {"service": "none", "weight": 0},
        ]
        read = documents.decode_configuration(json.dumps(document))
        self.assertEqual(read.version, 7)
        self.assertEqual(
            read.routes[0].targets,
            (forwarding.Target("llm", 90), forwarding.Target("desk", 10)),
        )
        self.assertEqual(read.routes[0].models, ("small", "large"))
        self.assertTrue(read.routes[0].is_retryable)
        self.assertFalse(read.routes[2].is_retryable)
        self.assertEqual(read.workspaces["key-1"].name, "maps")
        del document["tenants"]
        read = documents.decode_configuration(json.dumps(document))
        self.assertIsNone(read.workspaces)


class OpenModelTest(unittest.TestCase):
    """Guards against overriding a model that the caller has chosen."""

    def test_only_a_star_leaves_the_model_open(self):
        codec = header_codec.PlatformHeaderCodec()
        for value, is_open in ((b"*", True), (b"large", False), (None, False)):
            headers = [(b"Host", b"models.example")]
            if value is not None:
                headers.append((b"Model", value))
            call = codec.decode_request("POST", "/draft/1", headers)
            self.assertEqual(call.any_model, is_open)


HEADERS = (
    b"token-counts",
    b"prompt-prefix",
    b"request-deadline",
    b"replica-load",
    b"keep-alive",
    b"cold-remaining",
    b"hint-confidence",
    b"authorization",
    b"last-event-id",
    b"server-limit",
    b"server-leaving",
    b"retry-after",
)
# Numbers that parsers misread or fail on.
FIGURES = strategies.sampled_from(
    ("1", "-1", "1e400", "NaN", "9" * 5000, "\xb2", "\u0663", "", ":", ",")
)
LINES = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.lists(FIGURES, max_size=4).map(
        lambda parts: ",".join(parts).encode("utf-8")
    ),
    strategies.lists(FIGURES, max_size=4).map(
        lambda parts: ":".join(parts).encode("latin-1", "ignore")
    ),
)
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=5),
        FIGURES,
        strategies.sampled_from(("10.0.0.9:99999", "h:1", "10.0.0.9:\u0663")),
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    ),
    max_leaves=5,
)


class MalformedInputTest(unittest.TestCase):
    """Guards against malformed input that raises an exception."""

    @hypothesis.given(strategies.sampled_from(HEADERS), LINES)
    @hypothesis.example(b"prompt-prefix", b"a:\xb2")
    @hypothesis.example(b"prompt-prefix", b"a:" + b"9" * 5000)
    @hypothesis.example(b"replica-load", b"1,1," + b"9" * 5000)
    def test_headers(self, name, value):
        codec = header_codec.PlatformHeaderCodec()
        headers = [(b"host", b"h"), (name, value)]
        call = codec.decode_request("GET", "/a", headers)
        self.assertIsInstance(call, forwarding.Request)
        response = codec.decode_response(200, headers)
        self.assertEqual(response.status, 200)

    @hypothesis.given(
        strategies.sampled_from(sorted(ENTRY)),
        VALUES,
        strategies.sampled_from(("servers/a", "op/config", "op/rollout/a")),
    )
    @hypothesis.example("address", "10.0.0.9:99999", "servers/a")
    @hypothesis.example("address", "10.0.0.9:\u0663", "servers/a")
    @hypothesis.example("address", "host:1", "servers/a")
    def test_entries_of_other_writers(self, field, value, key):
        text = json.dumps(ENTRY | {field: value})
        news = store_codec.PlatformStoreCodec().decode(
            mirror.Entry(key, text, 1)
        )
        for update in news:
            if isinstance(update, updates.UpstreamSet):
                self.assertIn(update.upstream.port, range(1, 65536))
                self.assertTrue(update.upstream.host.startswith("10."))

    @hypothesis.given(strategies.text(max_size=40))
    @hypothesis.example("[" * 100_000)
    @hypothesis.example("\udcff")
    def test_values_that_are_no_documents(self, text):
        for key in ("servers/a", "op/config", "op/rollout/a", "nodes/a"):
            store_codec.PlatformStoreCodec().decode(mirror.Entry(key, text, 1))


class StoreCodecTest(unittest.TestCase):
    """Guards against updates that are lost or invented."""

    def test_keys_are_told_apart(self):
        codec = store_codec.PlatformStoreCodec()
        order = '{"service": "llm", "target": "v2", "durationS": 12}'
        status = codec.encode_status(
            "llm", "v2", forwarding.RolloutState.COMPLETED
        )
        own = watchers.Node("10.0.0.1:7", "east-a")
        node = codec.encode_node("n", own)
        for key, value, expected in (
            ("servers/i", None, updates.UpstreamRemoved("i")),
            ("op/evacuate/east-a", "{}", updates.EvacuationSet("east-a", True)),
            (
                "op/evacuate/east-a",
                None,
                updates.EvacuationSet("east-a", False),
            ),
            (
                "op/rollout/llm",
                order,
                updates.RolloutOrdered(
                    forwarding.RolloutOrder("llm", "v2", 12.0, 5)
                ),
            ),
            ("op/rollout/llm", None, updates.RolloutWithdrawn("llm")),
            (
                status.key,
                status.value,
                updates.RolloutStatusSet(
                    forwarding.RolloutStatus(
                        "llm", "v2", forwarding.RolloutState.COMPLETED, 5
                    )
                ),
            ),
            (node.key, node.value, updates.NodeSet("n", own)),
        ):
            with self.subTest(key=key, value=value):
                entry = mirror.Entry(key, value, 5)
                self.assertEqual(list(codec.decode(entry)), [expected])
        self.assertEqual(list(codec.decode(mirror.Entry("x/y", "z", 5))), [])

    def test_spoiled_entry_of_an_upstream_takes_it_out(self):
        entry = mirror.Entry("servers/i", "no json", 5)
        news = list(store_codec.PlatformStoreCodec().decode(entry))
        self.assertIsInstance(news[0], updates.UnreadableEntry)
        self.assertEqual(news[1], updates.UpstreamRemoved("i"))


class HeaderCodecTest(unittest.TestCase):
    """Guards against headers that are misread or passed on wrongly."""

    def test_request_is_decoded(self):
        call = header_codec.PlatformHeaderCodec().decode_request(
            "POST",
            "/a/b?c=d",
            [
                (b"Host", b"Models.Example:80"),
                (b"request-id", b"q"),
                (b"Request-Deadline", b"1500"),
                (b"Authorization", b"Bearer key"),
                (b"Token-Counts", b"1460,80"),
                (b"Prompt-Prefix", b"5c:800,91:410,broken"),
            ],
        )
        self.assertEqual(
            (call.host, call.path, call.request_id, call.deadline_s),
            ("models.example", "/a/b", "q", 1.5),
        )
        self.assertEqual((call.prompt_tokens, call.output_tokens), (1460, 80))
        self.assertEqual(
            call.prompt_parts,
            (
                forwarding.PromptPart("5c", 800),
                forwarding.PromptPart("91", 410),
            ),
        )

    def test_upstream_gets_our_headers_in_place_of_the_callers(self):
        attempt = gateway_codec.AttemptHeaders(
            "i-1", "maps", 0.75, "large", 2, "9"
        )
        headers = header_codec.PlatformHeaderCodec().encode_attempt(
            [
                (b"Model", b"*"),
                (b"Tenant-Id", b"forged"),
                (b"Kv-Hold", b"h"),
                (b"Last-Event-Id", b"3"),
                (b"X-Kept", b"1"),
                (b"X-Kept", b"2"),
            ],
            5,
            attempt,
        )
        self.assertEqual(
            sorted(headers),
            sorted(
                [
                    (b"X-Kept", b"1"),
                    (b"X-Kept", b"2"),
                    (b"Request-Deadline", b"750"),
                    (b"Target-Replica", b"i-1"),
                    (b"Tenant-Id", b"maps"),
                    (b"Model", b"large"),
                    (b"Last-Event-Id", b"9"),
                    (b"Request-Priority", b"2"),
                    (b"Content-Length", b"5"),
                ]
            ),
        )

    def test_answer_is_decoded(self):
        head = header_codec.PlatformHeaderCodec().decode_response(
            503,
            [
                (b"Not-Executed", b"1"),
                (b"Replica-Load", b"3,1,8"),
                (b"Keep-Alive", b"timeout=7"),
                (b"Hint-Confidence", b"x"),
            ],
        )
        self.assertTrue(head.not_run)
        self.assertEqual(head.load, forwarding.Load(3, 1, 8))
        self.assertEqual(head.keep_alive_s, 7.0)
        self.assertIsNone(head.confidence)
        self.assertFalse(head.sealed)
        self.assertIsNone(head.limit_per_s)

    def test_request_limit_is_a_decimal(self):
        for values, limit in (
            ((b"2.4",), 2.4),
            ((b" 0 ",), 0.0),
            ((b"200",), 200.0),
            ((b"",), None),
            ((b"-1",), None),
            ((b"1e3",), None),
            ((b"nan",), None),
            ((b"inf",), None),
            ((b"1_0",), None),
            ((b"many",), None),
            ((b"9" * 400,), None),
            ((b"2", b"2"), None),
        ):
            with self.subTest(values):
                head = header_codec.PlatformHeaderCodec().decode_response(
                    200, [(b"Server-Limit", value) for value in values]
                )
                self.assertEqual(head.limit_per_s, limit)
                self.assertEqual(head.limit_invalid, limit is None)

    def test_pause_is_a_number_or_a_date(self):
        date = (b"Date", b"Fri, 04 Dec 2026 17:00:00 GMT")
        later = b"Fri, 04 Dec 2026 17:00:30 GMT"
        for value, headers, pause_s in (
            (b"2", [], 2.0),
            (b" 0.5", [], 0.5),
            (b"7200", [], 7200.0),
            (later, [date], 30.0),
            (later, [], None),
            (b"Fri, 04 Dec 2026 16:00:00 GMT", [date], 0.0),
            (b"Fri, 04 Dec 2026 17:00:30", [date], None),
            (b"-1", [], None),
            (b"nan", [], None),
            (b"soon", [], None),
            (b"", [date], None),
        ):
            with self.subTest(value):
                head = header_codec.PlatformHeaderCodec().decode_response(
                    503, [(b"Retry-After", value), *headers]
                )
                self.assertEqual(head.retry_after_s, pause_s)

    def test_notice_of_leaving(self):
        for value, leaving in ((b"1", True), (b"0", False), (b"x", False)):
            head = header_codec.PlatformHeaderCodec().decode_response(
                200, [(b"Server-Leaving", value)]
            )
            self.assertEqual(head.leaving, leaving)


class StoreClientTest(unittest.TestCase):
    """Guards against lost write conditions, pages and changes."""

    def setUp(self):
        self.store = platform_standins.Store()
        self.addCleanup(self.store.stop)
        self.client = storeclient.PlatformStore(f"http://{self.store.address}")
        self.addCleanup(self.client.close)

    def test_era_comes_with_listings_and_watches(self):
        self.store.put("a", "1")
        self.assertEqual(self.client.list_range("").era, 1)
        at = self.client.list_range("").revision
        self.store.restore(changes=0)
        self.store.put("a", "2")
        self.assertEqual(self.client.watch("", at, 1.0).era, 2)

    def test_invalid_or_missing_era_is_unknown(self):
        for era in (None, "", "-1", "1.5", "\u00b2", "9" * 40):
            self.store.era = era
            self.assertIsNone(self.client.list_range("").era, era)

    def test_writes_keep_their_condition(self):
        first = self.client.write("a", "1", 0)
        self.assertIsInstance(first, stores.Written)
        conflict = self.client.write("a", "2", 0)
        self.assertIsInstance(conflict, stores.Conflict)
        self.assertEqual(conflict.revision, first.revision)
        self.assertEqual(conflict.value, "1")
        second = self.client.write("a", "2", first.revision)
        self.assertEqual(
            self.client.read("a"), stores.Found("a", "2", second.revision)
        )
        self.assertIsInstance(
            self.client.delete("a", second.revision), stores.Deleted
        )
        self.assertIsInstance(self.client.read("a"), stores.Absent)

    def test_all_pages_of_a_range_are_read(self):
        for number in range(23):
            self.store.put(f"p/{number:02}", "v")
        listing = self.client.list_range("p/")
        self.assertEqual(len(listing.items), 23)

    def test_list_of_pages_of_different_age_is_of_the_oldest(self):
        # A later page may lack changes that the first one includes.
        for lags_s in ((0.0, 30.0), (30.0, 0.0), (0.0, 0.0, 30.0)):
            with self.subTest(lags_s):
                for number in range(17):
                    self.store.put(f"p/{number:02}", "v")
                self.store.age(60.0)
                before = self.client.list_range("p/").revision
                self.store.remove("p/11")
                self.store.remove("p/00")
                self.store.page_lags_s = lags_s
                listing = self.client.list_range("p/", allow_stale=True)
                self.assertEqual(listing.revision, before)
                self.assertEqual(
                    max(page.revision for page in listing.pages), before + 2
                )

    def test_watch_reports_changes_and_lost_history(self):
        revision = self.client.list_range("").revision
        self.store.put("a", b"\xff")
        self.store.remove("a")
        changes = self.client.watch("", revision, 1.0)
        self.assertEqual(
            [change.value for change in changes.changes], ["\udcff", None]
        )
        self.store.compact()
        self.assertIsInstance(
            self.client.watch("", revision, 1.0), stores.HistoryGone
        )

    def test_refusals_have_no_effect(self):
        for status in (429, 503):
            self.store.refuse = status
            self.assertIsInstance(
                self.client.write("a", "1", 0), stores.RateLimited
            )
