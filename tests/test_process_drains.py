"""Drains requested by operators while the store is down."""

import pathlib
import tempfile
import unittest

from sycamorehollow.programs import ctl
from tests import processes

TOKEN = "token-of-the-operators"
OPERATORS = f"[operators]\ntoken={TOKEN}\n"
BOUND_S = 5.0


class DrainTest(unittest.TestCase):
    """Guards against drains that need the store or stay on one node."""

    def test_drain_reaches_both_entries_without_the_store(self):
        running = processes.Processes()
        self.addCleanup(running.stop)
        _, store = running.start_stand_in("store")
        engines = {}
        for name in ("a", "b"):
            _, engines[name] = running.start_stand_in(
                "engine", "engine.versions=small-1,large-1"
            )
        platform = processes.build_platform(engines)
        processes.put_branch(store, "platform", platform)
        processes.put_branch(store, "maps", processes.build_team())
        ports = [str(processes.find_port()) for _ in range(2)]
        urls = [
            running.start_entry(
                f"e{slot}",
                store,
                peer=ports[slot],
                seeds=f"127.0.0.1:{ports[1 - slot]}",
                slot=str(slot),
                slots="2",
                more=OPERATORS,
            )[1]
            for slot in range(2)
        ]
        processes.wait_for(lambda: all(len(self._read(u)) == 2 for u in urls))
        processes.HTTP.request("POST", f"{store}/faults", json={"kind": "down"})
        with tempfile.TemporaryDirectory() as folder:
            token = pathlib.Path(folder) / "token"
            token.write_text(TOKEN)
            command = ["drain", "upstream", "a", "--entry", urls[0]]
            status = ctl.main([*command, "--token-file", str(token)])
        self.assertEqual(status, ctl.DONE)
        for url in urls:
            processes.wait_for(
                lambda url=url: self._find_drain(url) is not None, BOUND_S
            )

    def _read(self, url):
        status = processes.HTTP.request("GET", f"{url}/v1/status").json()
        return status["members"]

    def _find_drain(self, url):
        status = processes.HTTP.request("GET", f"{url}/v1/status").json()
        return status["upstreams"]["a"]["out_of_service"]
