"""Tests of cascades and sessions in real processes."""

import concurrent.futures
import signal
import unittest

from tests import processes

POLICY = {
    "quality_threshold": 0.7,
    "quality_target": 0.9,
    "deadline_s": 30,
    "priority": 2,
    "gate": True,
    "explore": True,
}
# Requests within which one should be a trial of the small version.
TRIES = 20


class CascadeTest(unittest.TestCase):
    """Guards against rejected, mixed or empty responses of a cascade."""

    @classmethod
    def setUpClass(cls):
        cls.running = processes.Processes()
        cls.addClassCleanup(cls.running.stop)
        _, store = cls.running.start_stand_in("store")
        _, ratings = cls.running.start_stand_in(
            "ratings",
            "ratings.lost_share=0",
            "ratings.noise=0",
            "quality.small-1=0.1",
            "quality.large-1=0.95",
        )
        _, engine = cls.running.start_stand_in(
            "engine",
            "engine.versions=small-1,large-1",
            "engine.tokens_per_s=200",
        )
        processes.put_branch(
            store, "platform", processes.build_platform({"a": engine})
        )
        team = processes.build_team(
            versions=["small-1", "large-1"], kinds={"chapter": POLICY}
        )
        processes.put_branch(store, "maps", team)
        _, cls.url = cls.running.start_entry("e1", store, ratings=ratings)
        _, cls.other = cls.running.start_entry(
            "e2", store, ratings=ratings, slot="1", slots="2"
        )

    def _ask(self, url, model="atlas", **headers):
        return processes.HTTP.request(
            "POST",
            f"{url}/v1/chat/completions",
            json={
                "model": model,
                "max_tokens": 5,
                "messages": [{"role": "user", "content": "Name the river."}],
            },
            headers={
                "Authorization": f"Bearer {processes.API_KEY}",
                **headers,
            },
            timeout=30.0,
        )

    def test_rejected_cheap_answer_escalates_to_a_whole_one(self):
        for _ in range(6):
            answer = self._ask(self.url, **{"X-Request-Kind": "chapter"})
            self.assertEqual(answer.status, 200)
            content = answer.json()["choices"][0]["message"]["content"]
            self.assertEqual(len(content.split()), 5)
            self.assertEqual(answer.headers["X-Model-Version"], "large-1")

    def test_session_stays_on_its_version_at_another_entry(self):
        first = self._ask(self.url, **{"X-Session": "new"})
        token = first.headers["X-Session"]
        version = first.headers["X-Model-Version"]
        for url in (self.other, self.url):
            answer = self._ask(url, **{"X-Session": token})
            self.assertEqual(answer.headers["X-Model-Version"], version)

    def test_tampered_session_is_refused(self):
        token = self._ask(self.url, **{"X-Session": "new"}).headers["X-Session"]
        changed = token[:-2] + ("AA" if token[-2:] != "AA" else "BB")
        answer = self._ask(self.url, **{"X-Session": changed})
        self.assertEqual(answer.status, 400)
        self.assertEqual(answer.json()["error"]["code"], "invalid_session")


class LargerVersionLostTest(unittest.TestCase):
    """Guards against an error although a complete response is available.

    The larger version is paused while the request runs on the small one.
    """

    def test_paused_larger_version_leaves_the_small_answer(self):
        running = processes.Processes()
        self.addCleanup(running.stop)
        _, store = running.start_stand_in("store")
        _, ratings = running.start_stand_in(
            "ratings",
            "ratings.lost_share=0",
            "ratings.noise=0",
            "quality.small-1=0.1",
            "quality.large-1=0.95",
        )
        engines = {}
        children = {}
        for version in ("small-1", "large-1"):
            children[version], engines[version] = running.start_stand_in(
                "engine", f"engine.versions={version}", "engine.tokens_per_s=20"
            )
        platform = processes.build_platform(engines)
        for version, upstream in platform["upstreams"].items():
            upstream["versions"] = [version]
        processes.put_branch(store, "platform", platform)
        team = processes.build_team(
            versions=["small-1", "large-1"],
            kinds={"chapter": {**POLICY, "deadline_s": 6}},
        )
        processes.put_branch(store, "maps", team)
        _, url = running.start_entry("e1", store, ratings=ratings)
        large = children["large-1"]
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            answer = self._begin_with_small(pool, url, engines)
            large.send_signal(signal.SIGSTOP)
            try:
                received = answer.result(20)
            finally:
                large.send_signal(signal.SIGCONT)
        self.assertEqual(received.status, 200, received.data)
        self.assertEqual(received.headers["X-Model-Version"], "small-1")
        self.assertIn(b"[DONE]", received.data)

    def _begin_with_small(self, pool, url, engines):
        """Returns a request that runs on the small version first.

        The process decides at random which requests are such trials.
        """
        for _ in range(TRIES):
            answer = pool.submit(ask_chapter, url)
            processes.wait_for(
                lambda: any(count_running(one) for one in engines.values())
            )
            if count_running(engines["small-1"]):
                return answer
            answer.result(20)
        raise AssertionError("no request began with the small version")


def ask_chapter(url):
    """Requests a chapter and returns the complete response."""
    return processes.HTTP.request(
        "POST",
        f"{url}/v1/chat/completions",
        json={
            "model": "atlas",
            "max_tokens": 20,
            "stream": True,
            "messages": [{"role": "user", "content": "Name the river."}],
        },
        headers={
            "Authorization": f"Bearer {processes.API_KEY}",
            "X-Request-Kind": "chapter",
        },
        timeout=20.0,
    )


def count_running(engine):
    """Returns the number of requests that run at an engine."""
    load = processes.HTTP.request("GET", f"{engine}/v1/load")
    return load.json()["running"]
