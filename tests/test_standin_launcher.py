"""Tests of the launcher without entry processes."""

import json
import os
import pathlib
import subprocess
import sys
import time
import unittest

import urllib3

ROOT = pathlib.Path(__file__).resolve().parent.parent
END_S = 8.0


def is_alive(pid):
    try:
        stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != "Z"


class LauncherTest(unittest.TestCase):
    """Guards against processes that stay behind and a store without seed."""

    def setUp(self):
        command = [sys.executable, "-m", "tools.serve", "--without-entries"]
        self.process = subprocess.Popen(
            [*command, "--seconds", "20"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.info = json.loads(self.process.stdout.readline())
        self.pids = [u["pid"] for u in self.info["upstreams"]]
        self.pids.append(self.info["store"]["pid"])
        self.pids += [p["pid"] for p in self.info["platform"].values()]

    def check_all_ended(self):
        deadline = time.monotonic() + END_S
        while any(is_alive(pid) for pid in self.pids):
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.05)

    def test_seeds_the_store_and_ends_its_children(self):
        url = self.info["store"]["url"] + "/v1/range?prefix=config/"
        items = urllib3.PoolManager().request("GET", url).json()["items"]
        branches = {item["key"]: item["value"] for item in items}
        platform = branches.pop("config/platform")
        for upstream in self.info["upstreams"]:
            seeded = platform["upstreams"][upstream["name"]]
            self.assertEqual(seeded["url"], upstream["url"])
        names = set().union(*(b["workspaces"] for b in branches.values()))
        self.assertEqual(names, set(self.info["workspaces"]))
        self.assertEqual(len(names), 10)
        self.assertTrue(all(is_alive(pid) for pid in self.pids))
        self.process.terminate()
        self.assertEqual(self.process.wait(END_S), 0)
        self.check_all_ended()

    def test_children_end_when_the_launcher_is_killed(self):
        os.kill(self.process.pid, 9)
        self.check_all_ended()
