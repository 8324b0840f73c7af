"""Tests of the stand-ins of services, VM list, ratings and weights."""

import json
import time
import unittest

import urllib3

from sycamorehollow.standins import ratings
from sycamorehollow.standins import service
from sycamorehollow.standins import settings
from sycamorehollow.standins import vms
from sycamorehollow.standins import weights


class HttpCase(unittest.TestCase):
    """Starts stand-ins and offers calls to them."""

    def setUp(self):
        self.http = urllib3.PoolManager(retries=False)

    def start(self, stand_in):
        stand_in.start()
        self.addCleanup(stand_in.stop)
        return stand_in

    def call(self, method, url, document=None, key=""):
        body = None if document is None else json.dumps(document).encode()
        headers = {"Idempotency-Key": key} if key else {}
        response = self.http.request(method, url, body=body, headers=headers)
        return response.status, json.loads(response.data)


class ServiceTest(HttpCase):
    """Guards against a service that hides a duplicate or lost effect."""

    def setUp(self):
        super().setUp()
        self.first = self.start(service.Service(settings.ServiceSettings()))
        section = settings.ServiceSection(ledger=self.first.url)
        self.second = self.start(
            service.Service(settings.ServiceSettings(service=section))
        )

    def count_effects(self):
        return self.call("GET", self.first.url + "/effects")[1]["effects"]

    def test_counts_duplicates_over_all_replicas(self):
        for replica in (self.first, self.second):
            url = replica.url + "/operations/lodge"
            self.assertEqual(self.call("POST", url, {}, key="a/1")[0], 200)
        self.assertEqual(self.count_effects(), {"a/1": 2})

    def test_lost_answer_has_its_effect_and_the_lookup_tells(self):
        lookup = self.second.url + "/operations/lodge/a%2F1"
        self.assertEqual(self.call("GET", lookup)[1]["state"], "absent")
        fault = {"kind": "lose_answer", "count": 1}
        self.call("POST", self.first.url + "/faults", fault)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            url = self.first.url + "/operations/lodge"
            self.call("POST", url, {}, key="a/1")
        self.assertEqual(self.count_effects(), {"a/1": 1})
        self.assertEqual(self.call("GET", lookup)[1]["state"], "done")

    def test_refusal_and_read_have_no_effect(self):
        url = self.first.url + "/operations/"
        self.call("POST", self.first.url + "/faults", {"kind": "refuse"})
        self.assertEqual(self.call("POST", url + "lodge", {}, key="a")[0], 503)
        self.call("POST", self.first.url + "/faults", {"kind": "clear"})
        self.assertEqual(self.call("POST", url + "status", {}, key="a")[0], 200)
        self.assertEqual(self.count_effects(), {})


class RatingsTest(HttpCase):
    """Guards against ratings that depend on the run or come too soon."""

    def rate(self, count):
        overrides = ["quality.small/caption=0.3", "ratings.jitter_s=0.05"]
        stand_in = self.start(
            ratings.Ratings(
                settings.read_settings(settings.RatingSettings, "", overrides)
            )
        )
        url = stand_in.url + "/v1/ratings"
        sample = {"version": "small", "kind": "caption", "answer": "x"}
        for number in range(count):
            self.call("POST", url, {**sample, "request": str(number)})
        early = self.call("GET", url + "?after=0")[1]["ratings"]
        self.assertLess(len(early), count)
        time.sleep(0.2)
        found = self.call("GET", url + "?after=0")[1]["ratings"]
        return {item["request"]: item["score"] for item in found}

    def test_same_seed_gives_the_same_incomplete_noisy_scores(self):
        scores = self.rate(40)
        self.assertEqual(scores, self.rate(40))
        self.assertTrue(20 < len(scores) < 40)
        mean = sum(scores.values()) / len(scores)
        self.assertAlmostEqual(mean, 0.3, delta=0.1)
        self.assertGreater(len(set(scores.values())), 10)


class VmListTest(HttpCase):
    """Guards against a VM list that shows changes at once."""

    def test_change_shows_after_the_lag(self):
        section = settings.VmSection(vms="127.0.0.1:1/a", lag_s=0.2)
        stand_in = self.start(vms.VmList(settings.VmSettings(vms=section)))
        url = stand_in.url + "/v1/vms"
        self.call("PUT", url, {"vms": []})
        self.assertEqual(len(self.call("GET", url)[1]["vms"]), 1)
        time.sleep(0.25)
        self.assertEqual(self.call("GET", url)[1]["vms"], [])


class WeightsTest(HttpCase):
    """Guards against a weight store without a limit."""

    def test_excess_calls_are_refused_with_retry_after(self):
        stand_in = self.start(weights.Weights(settings.WeightSettings()))
        url = stand_in.url + "/v1/weights/atlas-small-1"
        replies = [self.http.request("GET", url) for _ in range(5)]
        refused = [r for r in replies if r.status == 429]
        self.assertTrue(0 < len(refused) < 5)
        self.assertEqual(refused[0].headers["Retry-After"], "1")
