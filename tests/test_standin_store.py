"""Tests of the store stand-in."""

import concurrent.futures
import json
import time
import unittest

import urllib3

from sycamorehollow.shells import storeclient
from sycamorehollow.shells import stores
from sycamorehollow.standins import settings
from sycamorehollow.standins import store


class StoreCase(unittest.TestCase):
    """Starts a store and offers calls to it."""

    SECTION = settings.StoreSection()

    def setUp(self):
        self.http = urllib3.PoolManager(retries=False, maxsize=32)
        self.store = store.Store(settings.StoreSettings(store=self.SECTION))
        self.store.start()
        self.addCleanup(self.store.stop)

    def call(self, method, path, document=None):
        body = None if document is None else json.dumps(document).encode()
        url = self.store.url + path
        response = self.http.request(method, url, body=body, timeout=10)
        return response.status, json.loads(response.data)

    def put(self, key, value, expect=None, lease=None):
        document = {"value": value, "expect": expect, "lease": lease}
        return self.call("PUT", f"/v1/kv/{key}", document)


class CompareAndSwapTest(StoreCase):
    """Guards against a compare-and-swap that overwrites another's write."""

    def test_one_of_many_racing_writers_wins(self):
        revision = self.put("config/a", 0, expect=0)[1]["revision"]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            replies = list(
                pool.map(
                    lambda n: self.put("config/a", n, expect=revision),
                    range(1, 17),
                )
            )
        won = [n for n, reply in enumerate(replies, 1) if reply[0] == 200]
        self.assertEqual(len(won), 1)
        self.assertEqual(
            self.call("GET", "/v1/kv/config/a")[1]["value"], won[0]
        )
        lost = [reply for reply in replies if reply[0] != 200]
        self.assertEqual({status for status, _ in lost}, {409})
        self.assertEqual({r["value"] for _, r in lost}, {won[0]})

    def test_create_fails_on_a_present_key(self):
        self.put("k", 1, expect=0)
        self.assertEqual(self.put("k", 2, expect=0)[0], 409)
        self.assertEqual(self.call("GET", "/v1/kv/k")[1]["value"], 1)

    def test_delete_fails_on_another_revision(self):
        self.put("k", 1)
        self.assertEqual(self.call("DELETE", "/v1/kv/k?expect=7")[0], 409)
        self.assertEqual(self.call("GET", "/v1/kv/k")[0], 200)


class FaultTest(StoreCase):
    """Guards against faults that differ from what they claim."""

    def test_lost_answer_leaves_the_write_in_effect(self):
        fault = {"kind": "lose_answer", "method": "PUT", "count": 1}
        self.call("POST", "/faults", fault)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.put("k", 1, expect=0)
        self.assertEqual(self.call("GET", "/v1/kv/k")[1]["value"], 1)

    def test_down_has_no_effect_and_ends_pending_watches(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            watch = pool.submit(
                self.call, "GET", "/v1/watch?prefix=k&after=0&timeout=0.3"
            )
            time.sleep(0.1)
            self.call("POST", "/faults", {"kind": "down"})
            with self.assertRaises(urllib3.exceptions.ProtocolError):
                self.put("k", 1)
            with self.assertRaises(urllib3.exceptions.ProtocolError):
                watch.result()
        self.call("POST", "/faults", {"kind": "clear"})
        self.assertEqual(self.call("GET", "/v1/kv/k")[0], 404)


class WatchTest(StoreCase):
    """Guards against a watch that misses or repeats an event."""

    def test_sees_every_write_once_and_in_order(self):
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            writes = pool.submit(
                lambda: [self.put(f"c/{n % 3}", n) for n in range(60)]
            )
            seen, after = [], 0
            while len(seen) < 60:
                path = f"/v1/watch?prefix=c/&after={after}&timeout=5"
                reply = self.call("GET", path)[1]
                self.assertTrue(reply["events"])
                seen.extend(event["value"] for event in reply["events"])
                after = reply["revision"]
            writes.result()
        self.assertEqual(seen, list(range(60)))

    def test_pending_watch_is_one_call(self):
        before = self.call("GET", "/v1/stats")[1]["calls"]
        self.call("GET", "/v1/watch?prefix=c/&after=0&timeout=0.2")
        after = self.call("GET", "/v1/stats")[1]["calls"]
        self.assertEqual(after - before, 1)


class CompactionTest(StoreCase):
    """Guards against a watch that silently skips forgotten events."""

    SECTION = settings.StoreSection(history=5)

    def test_watch_from_before_the_history_is_refused(self):
        for number in range(8):
            self.put("k", number)
        status, reply = self.call("GET", "/v1/watch?prefix=k&after=1&timeout=1")
        self.assertEqual((status, reply["error"]["code"]), (410, "compacted"))


class RestoreTest(StoreCase):
    """Guards against fencing tokens that go back with the store."""

    def test_restore_undoes_changes_and_ends_leases(self):
        self.put("a", 1)
        time.sleep(0.2)
        lease = self.call("POST", "/v1/leases", {"ttl_s": 9})[1]["lease"]
        self.put("a", 2)
        self.put("b", 1, lease=lease)
        self.assertEqual(
            self.call("POST", "/v1/restore?age_s=0.15"),
            (200, {"revision": 1, "era": 1}),
        )
        self.assertEqual(self.call("GET", "/v1/kv/a")[1]["value"], 1)
        self.assertEqual(self.call("GET", "/v1/kv/b")[0], 404)
        self.assertEqual(self.call("PUT", f"/v1/leases/{lease}")[0], 404)
        self.assertEqual(self.put("c", 1)[1], {"revision": 2, "era": 1})

    def test_fencing_token_grows_across_a_restore(self):
        client = storeclient.StoreClient(self.store.url)
        for number in range(5):
            self.put("other", number)
        first = client.write("lease", "holder-1", 0)
        self.call("POST", "/v1/restore?age_s=5")
        second = client.write("lease", "holder-2", 0)
        self.assertLess(second.revision, first.revision)
        self.assertGreater(
            stores.compute_fencing_token(second),
            stores.compute_fencing_token(first),
        )
        read = client.read("lease")
        self.assertEqual(
            stores.compute_fencing_token(read),
            stores.compute_fencing_token(second),
        )


class LeaseTest(StoreCase):
    """Guards against a lease that outlives its holder."""

    def test_expired_lease_deletes_its_key_and_takes_no_write(self):
        lease = self.call("POST", "/v1/leases", {"ttl_s": 0.2})[1]["lease"]
        self.put("k", 1, lease=lease)
        path = "/v1/watch?prefix=k&after=1&timeout=5"
        self.assertEqual(
            self.call("GET", path)[1]["events"][0]["type"], "delete"
        )
        self.assertEqual(self.put("k", 2, lease=lease)[0], 404)
        self.assertEqual(self.call("PUT", f"/v1/leases/{lease}")[0], 404)


class RateLimitTest(StoreCase):
    """Guards against a store that takes more calls than its limit."""

    SECTION = settings.StoreSection(writes_per_s=8)

    def test_excess_writes_are_refused_and_counted(self):
        statuses = [self.put("k", n)[0] for n in range(12)]
        self.assertIn(429, statuses)
        self.assertEqual(
            self.call("GET", "/v1/stats")[1]["rejected"], statuses.count(429)
        )
