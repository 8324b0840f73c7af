"""Tests of the soak's checks, and a short seeded run of it."""

import concurrent.futures
import itertools
import random
import socket
import unittest
from unittest import mock

from tests import processes
from tests.soak import promises
from tests.soak import run
from tests.soak import schedule

# Fixed here, so that CI repeats the same schedules.
SEEDS = (1,)
# Beside these, upstreams answer what is no answer.
TROUBLE_SEEDS = (400,)
# Beside these, upstreams state limits, ask for pauses and leave.
NEED_SEEDS = (600,)
# Beside these, a prompt part crashes engines.
DEADLY_SEEDS = (800,)
# Beside these, answers end with their connections, and upstreams crash.
CLOSING_SEEDS = (902,)
# Beside these, the store is restored from copies.
RESTORE_SEEDS = (951,)
# Beside these, open connections of the nodes fall silent.
HUSH_SEEDS = (1100,)
# Beside these, nodes are cut off from all upstreams.
CUT_SEEDS = (1200,)
# Beside these, upstreams send malformed heads.
MALFORMED_SEEDS = (2101,)
AT_ONCE = 2
# Seeds that once failed, each with a line on its cause.
REGRESSION_SEEDS = {
    101: "a signal to reload ended a process that was starting",
    322: "sound content was blamed for upstreams that were killed",
}


def build_exchange(path="/status/1", **changes):
    """Returns a request that was answered whole."""
    values = {
        "request_id": "aa01",
        "node": "node-0",
        "path": path,
        "sent_at": 100.0,
        "ended_at": 100.1,
        "status": 200,
        "sealed": True,
        "whole": True,
        "body": b"echo aa01" if path.startswith("/lodge/") else b"echo ",
    }
    if path.startswith("/draft/"):
        values["events"] = [(number, "aa01") for number in range(1, 7)]
    return promises.Exchange(**(values | changes))


def build_run(path="/status/1", **changes):
    """Returns a run of that request."""
    values = {
        "request": "aa01",
        "at": 100.05,
        "upstream": "desk-0",
        "path": path,
        "workspace": "maps",
        "has_key": False,
        "resumed_after": "",
    }
    return promises.Run(**(values | changes))


class PromisesTest(unittest.TestCase):
    """Guards against checks that find nothing."""

    def _judge(self, exchange, runs, *faults):
        found = promises.judge([exchange], runs, faults)
        return {violation.promise for violation in found}

    def test_sound_requests_break_nothing(self):
        for path in ("/status/1", "/lodge/1", "/draft/1"):
            found = self._judge(build_exchange(path), [build_run(path)])
            self.assertEqual(found, set())

    def test_second_run_of_an_unsafe_request_is_found(self):
        runs = [build_run("/lodge/1"), build_run("/lodge/1")]
        found = self._judge(build_exchange("/lodge/1"), runs)
        self.assertEqual(found, {"at most one run"})

    def test_untrue_refusal_is_found(self):
        for status in (429, 503):
            exchange = build_exchange(
                "/lodge/1", status=status, retry_after=True
            )
            found = self._judge(exchange, [build_run("/lodge/1")])
            self.assertEqual(found, {"truthful refusal"})

    def test_refusal_without_a_time_of_return_is_found(self):
        found = self._judge(build_exchange(status=503), [])
        self.assertEqual(found, {"time of return"})

    def test_too_many_attempts_are_found(self):
        found = self._judge(build_exchange(), [build_run()] * 4)
        self.assertEqual(found, {"bounded attempts"})

    def test_run_that_nobody_asked_for_is_found(self):
        found = self._judge(build_exchange(), [build_run(request="bb")])
        self.assertEqual(found, {"no unasked run"})

    def test_changed_request_and_passed_key_are_found(self):
        found = self._judge(build_exchange(), [build_run("/other/")])
        self.assertEqual(found, {"unchanged request"})
        for changes in ({"has_key": True}, {"workspace": "other"}):
            found = self._judge(build_exchange(), [build_run(**changes)])
            self.assertEqual(found, {"workspace instead of key"})

    def test_wrong_answers_are_found(self):
        other = [(number, "bb02") for number in range(1, 7)]
        gap = [(1, "aa01"), (3, "aa01")]
        for path, changes, promise in (
            ("/status/1", {"sealed": False}, "upstream's own answer"),
            ("/status/1", {"body": b"echo other"}, "own answer"),
            ("/status/1", {"status": 404}, "proper requests are served"),
            ("/draft/1", {"events": other}, "own answer"),
            ("/draft/1", {"events": gap, "whole": False}, "events in order"),
            ("/draft/1", {"events": [(1, "aa01")]}, "no false end"),
        ):
            found = self._judge(build_exchange(path, **changes), [])
            self.assertEqual(found, {promise}, changes)

    def test_late_answer_is_found_unless_its_node_was_disturbed(self):
        late = build_exchange(ended_at=106.0)
        self.assertEqual(
            self._judge(late, [build_run()]), {"answer by the deadline"}
        )
        for target, found in (
            ("node-0", set()),
            ("node-1", {"answer by the deadline"}),
            ("engine-0", {"answer by the deadline"}),
        ):
            fault = promises.Happened(
                schedule.Kind.FREEZE, target, 101.0, 104.0
            )
            self.assertEqual(self._judge(late, [build_run()], fault), found)

    def test_request_lost_in_an_orderly_change_is_found(self):
        lost = build_exchange(status=0, whole=False, failure="ProtocolError")
        for kind in schedule.PLANNED_KINDS:
            fault = promises.Happened(kind, "node-0", 99.0, 101.0)
            found = self._judge(lost, [build_run()], fault)
            self.assertEqual(found, {"orderly changes lose nothing"})
        killed = promises.Happened(schedule.Kind.KILL, "node-0", 99.0, 101.0)
        self.assertEqual(self._judge(lost, [build_run()], killed), set())
        elsewhere = promises.Happened(schedule.Kind.KILL, "node-1", 99.0, 101.0)
        found = self._judge(lost, [build_run()], elsewhere)
        self.assertEqual(found, {"orderly changes lose nothing"})

    def test_answer_that_is_cut_after_it_was_given_up_is_found(self):
        line = (
            "INFO node=n request=aa01 route=r outcome='cut: no repeat'"
            " attempts=[e1@v1 m +0.0 %s]"
        )
        silent = "no byte in time (patience +1.000 silent_s=1.0)"
        broken = "closed (upstream +2.000 silent_s=0.1)"
        self.assertEqual(len(promises.judge_logs(line % silent)), 1)
        self.assertEqual(promises.judge_logs(line % broken), [])
        both = f"{silent}; e2@v1 m +1.0 {broken}"
        self.assertEqual(promises.judge_logs(line % both), [])

    def test_run_at_a_drained_upstream_is_found(self):
        drain = promises.Happened(schedule.Kind.DRAIN, "desk-0", 95.0, 101.0)
        found = self._judge(build_exchange(), [build_run()], drain)
        self.assertEqual(found, {"drained upstreams rest"})
        silent = promises.Happened(
            schedule.Kind.SILENCE, "store/node-0", 94.0, 99.0
        )
        found = self._judge(build_exchange(), [build_run()], drain, silent)
        self.assertEqual(found, set())

    def test_exceeded_limit_is_found(self):
        limited = promises.Happened(
            schedule.Kind.NEED, "desk-0", 90.0, 110.0, "limit/2"
        )
        freeze = promises.Happened(schedule.Kind.FREEZE, "node-0", 100.0, 101.0)
        drain = promises.Happened(schedule.Kind.DRAIN, "desk-0", 100.0, 101.0)
        for count, others, broken in (
            (17, [], 0),
            (18, [], 1),
            (18, [freeze], 0),
            (18, [drain], 0),
        ):
            with self.subTest(count=count, others=others):
                exchanges = [
                    build_exchange(request_id=f"{number}")
                    for number in range(count)
                ]
                runs = [
                    build_run(request=f"{number}", at=100.0 + number / 10)
                    for number in range(count)
                ]
                found = promises.judge(exchanges, runs, [limited, *others])
                limits = [f for f in found if f.promise == "limits hold"]
                self.assertEqual(len(limits), broken)

    def test_deadly_part_that_goes_on_is_found(self):
        freeze = promises.Happened(schedule.Kind.FREEZE, "node-0", 99.0, 101.0)
        for count, faults, broken in (
            (3, [], set()),
            (4, [], {"deadly parts are rejected"}),
            (4, [freeze], set()),
        ):
            exchanges = [
                build_exchange(request_id=f"{number}", status=502)
                for number in range(count)
            ]
            runs = [
                build_run(request=f"{number}", deadly=True)
                for number in range(count)
            ]
            crashes = [90.0 + number for number in range(5)]
            found = promises.judge(exchanges, runs, faults, crashes)
            self.assertEqual({v.promise for v in found}, broken)


class ScheduleTest(unittest.TestCase):
    """Guards against schedules that cannot be repeated."""

    def test_seed_gives_one_schedule_within_its_time(self):
        names = (["node-0", "node-1"], ["engine-0", "desk-0"])
        kinds = set()
        for seed in range(200):
            faults = schedule.draw(seed, 12.0, *names)
            self.assertEqual(faults, schedule.draw(seed, 12.0, *names))
            for fault in faults:
                self.assertGreaterEqual(fault.at, 0.0)
                self.assertLessEqual(fault.end, 12.0)
                kinds.add(fault.kind)
            trouble = schedule.draw_trouble(seed, 12.0, names[1])
            self.assertEqual(
                trouble, schedule.draw_trouble(seed, 12.0, names[1])
            )
            kinds.update(fault.kind for fault in trouble)
            malformed = schedule.draw_malformed(seed, 12.0, names[1])
            self.assertEqual(
                malformed, schedule.draw_malformed(seed, 12.0, names[1])
            )
            needs = schedule.draw_needs(seed, 12.0, names[1])
            self.assertEqual(needs, schedule.draw_needs(seed, 12.0, names[1]))
            kinds.update(fault.kind for fault in needs)
            closing = schedule.draw_closing(seed, 12.0, names[1])
            self.assertEqual(
                closing, schedule.draw_closing(seed, 12.0, names[1])
            )
            kinds.update(fault.kind for fault in closing)
            restores = schedule.draw_restores(seed, 12.0)
            self.assertEqual(restores, schedule.draw_restores(seed, 12.0))
            kinds.update(fault.kind for fault in restores)
            hushes = schedule.draw_hushes(seed, 12.0)
            self.assertEqual(hushes, schedule.draw_hushes(seed, 12.0))
            kinds.update(fault.kind for fault in hushes)
            cuts = schedule.draw_cuts(seed, 12.0, names[0])
            self.assertEqual(cuts, schedule.draw_cuts(seed, 12.0, names[0]))
            kinds.update(fault.kind for fault in cuts)
            lags = schedule.draw_page_lags(seed)
            self.assertEqual(lags, schedule.draw_page_lags(seed))
            deadly = schedule.draw_deadly(seed, 12.0)
            self.assertEqual(deadly, schedule.draw_deadly(seed, 12.0))
            self.assertLessEqual(deadly.end, 12.0)
            kinds.add(deadly.kind)
        self.assertEqual(kinds, set(schedule.Kind))


class PortTest(unittest.TestCase):
    """Guards against two processes that are given one port."""

    def _find_port(self, drawn, count=1):
        """Finds ports where the first draws are given."""
        source = random.Random()
        draws = itertools.chain(
            drawn, iter(lambda: source.randrange(*processes.PORTS), None)
        )
        with mock.patch.object(
            processes.random, "randrange", side_effect=draws
        ):
            return processes.find_port(count)

    def test_port_is_given_once_while_its_process_starts(self):
        first = processes.find_port()
        self.assertNotEqual(self._find_port([first]), first)
        self.assertNotEqual(self._find_port([first - 1], 2), first - 1)
        with socket.create_server(("127.0.0.1", first)) as server:
            self.assertEqual(server.getsockname()[1], first)


class SoakTest(unittest.TestCase):
    """Plays a few schedules on real processes."""

    def test_promises_hold_under_faults(self):
        seeds = (
            *SEEDS,
            *REGRESSION_SEEDS,
            *TROUBLE_SEEDS,
            *NEED_SEEDS,
            *DEADLY_SEEDS,
            *CLOSING_SEEDS,
            *RESTORE_SEEDS,
            *HUSH_SEEDS,
            *CUT_SEEDS,
            *MALFORMED_SEEDS,
        )
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            results = list(pool.map(self._run, seeds))
        for seed, (found, logs) in zip(seeds, results, strict=True):
            self.assertEqual(found, [], f"seed {seed}\n{logs}")

    def _run(self, seed):
        size = run.Size(
            trouble=seed in TROUBLE_SEEDS,
            needs=seed in NEED_SEEDS,
            deadly=seed in DEADLY_SEEDS,
            closing=seed in CLOSING_SEEDS,
            restores=seed in RESTORE_SEEDS,
            hushes=seed in HUSH_SEEDS,
            cuts=seed in CUT_SEEDS,
            lags=seed in CUT_SEEDS,
            malformed=seed in MALFORMED_SEEDS,
        )
        soak = run.Soak(seed, size)
        try:
            found = soak.run()
            return found, soak.read_logs() if found else ""
        finally:
            soak.close()
