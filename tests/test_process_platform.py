"""Tests of VM lists and engine orders, with a real entry process."""

import unittest
import urllib.parse

from tests import processes


class PlatformTest(unittest.TestCase):
    """Guards against ignored VM states and configured versions."""

    @classmethod
    def setUpClass(cls):
        cls.running = processes.Processes()
        cls.addClassCleanup(cls.running.stop)
        _, cls.store = cls.running.start_stand_in("store")
        _, cls.vms = cls.running.start_stand_in("vms", "vms.lag_s=0")
        cls.engines = {}
        for name in ("a", "b"):
            _, cls.engines[name] = cls.running.start_stand_in(
                "engine", "engine.versions=small-1,large-1"
            )
        cls.platform = processes.build_platform(cls.engines)
        processes.put_branch(cls.store, "platform", cls.platform)
        processes.put_branch(cls.store, "maps", processes.build_team())
        _, cls.entry = cls.running.start_entry(
            "entry-1", cls.store, vms=cls.vms
        )

    def _read(self, url):
        return processes.HTTP.request("GET", url).json()

    def _ask(self):
        response = processes.HTTP.request(
            "POST",
            f"{self.entry}/v1/chat/completions",
            json={
                "model": "small-1",
                "max_tokens": 2,
                "messages": [{"role": "user", "content": "hello"}],
            },
            headers={"Authorization": f"Bearer {processes.API_KEY}"},
        )
        return response.headers.get("X-Upstream")

    def _count_loads(self, name):
        load = self._read(f"{self.engines[name]}/v1/load")
        return set(load["versions"])

    def test_leaving_vm_gets_no_new_work(self):
        address = urllib.parse.urlsplit(self.engines["a"]).netloc
        vm = {"address": address, "data_centre": "dc-1", "state": "leaving"}
        processes.HTTP.request("PUT", f"{self.vms}/v1/vms", json={"vms": [vm]})
        status = f"{self.entry}/v1/status"
        processes.wait_for(
            lambda: self._read(status)["upstreams"]["a"]["out_of_service"],
            5.0,
        )
        self.assertEqual({self._ask() for _ in range(6)}, {"b"})
        vm["state"] = "live"
        processes.HTTP.request("PUT", f"{self.vms}/v1/vms", json={"vms": [vm]})
        processes.wait_for(
            lambda: not self._read(status)["upstreams"]["a"]["out_of_service"],
            5.0,
        )

    def test_engine_is_ordered_to_load_a_configured_version(self):
        versions = self.platform["models"]["atlas"]["versions"]
        versions["small-2"] = dict(versions["small-1"])
        self.platform["upstreams"]["b"]["versions"].append("small-2")
        processes.put_branch(self.store, "platform", self.platform)
        processes.wait_for(lambda: "small-2" in self._count_loads("b"), 30.0)
        self.assertNotIn("small-2", self._count_loads("a"))
