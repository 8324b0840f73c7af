"""Tests of prompt parts that crash upstreams."""

import json
import unittest

from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import part_blame
from sycamorehollow.decisions.forwarding import part_quarantine
from sycamorehollow.decisions.forwarding import prompt_crashes
from sycamorehollow.shells.gateway import crash_messages
from tests import crash_fleet
from tests import forwarding_world
from tests import part_rule

REQUESTS_PER_S = 12.0
DEADLY_EVERY = 8
DEADLY_FROM_S = 5.0
END_S = 30.0
DEADLY = "dead"
LEVEL = part_blame.Level


def choose_sound(rng):
    """Returns the shared parts of a sound request."""
    return [f"first{rng.randrange(3)}", f"middle{rng.randrange(40)}"]


def build_deadly_chooser(*deadly, place=1):
    """Returns a function that adds one of the deadly parts."""

    def choose(rng):
        parts = choose_sound(rng)
        parts.insert(place, rng.choice(deadly))
        return parts

    return choose


def build_prompt(*parts, model="", workspace="w"):
    """Returns what an attempt runs."""
    return prompt_crashes.Prompt("llm", model, workspace, parts)


class FleetTest(unittest.TestCase):
    """Guards against one crash for each request with a deadly part."""

    def play(self, fleet, choose_deadly, *deadly):
        """Plays sound load, and later deadly requests beside it."""
        sound_rate = REQUESTS_PER_S * (1 - 1 / DEADLY_EVERY)
        deadly_rate = REQUESTS_PER_S / DEADLY_EVERY
        fleet.deadly = set(deadly)
        fleet.press_parts(sound_rate, 0.0, END_S, choose_sound)
        fleet.press_parts(deadly_rate, DEADLY_FROM_S, END_S, choose_deadly)
        fleet.run(END_S + 2.0)

    def check(self, fleet, max_later=part_rule.MAX_LATER_ARRIVALS):
        """Checks the rules after a play."""
        self.assertTrue(fleet.crashes)
        later = part_rule.count_later_arrivals(
            fleet.ended, fleet.deadly_arrivals
        )
        self.assertLessEqual(later, max_later)
        calm = fleet.compute_sound_share(0.0, DEADLY_FROM_S)
        beside = fleet.compute_sound_share(DEADLY_FROM_S, END_S)
        self.assertGreaterEqual(beside, 0.95 * calm)

    def check_crashes(self, nodes, seeds):
        """Checks that few plays have more crashes than the goal."""
        over = 0
        for seed in range(seeds):
            fleet = crash_fleet.Fleet(nodes, seed=seed)
            place = seed % 3
            choose = build_deadly_chooser(DEADLY, place=place)
            with self.subTest(seed=seed, place=place):
                self.play(fleet, choose, DEADLY)
                self.check(fleet)
            over += len(fleet.ended) > part_rule.MAX_CRASHES
        self.assertLessEqual(over, seeds // 10)

    def test_few_crashes_before_one_node(self):
        self.check_crashes(1, 10)

    def test_few_crashes_before_9_nodes(self):
        self.check_crashes(9, 10)

    def test_few_crashes_before_60_nodes(self):
        self.check_crashes(60, 3)

    def test_few_crashes_before_195_nodes(self):
        self.check_crashes(195, 1)

    def test_several_deadly_parts(self):
        fleet = crash_fleet.Fleet(9, seed=5)
        deadly = ("dead-a", "dead-b", "dead-c")
        self.play(fleet, build_deadly_chooser(*deadly), *deadly)
        self.assertLessEqual(len(fleet.crashes), 3 * part_rule.MAX_CRASHES)
        beside = fleet.compute_sound_share(DEADLY_FROM_S + 6.0, END_S)
        self.assertGreaterEqual(beside, 0.95)

    def test_held_requests_do_not_reach_an_upstream_together(self):
        for seed in range(6):
            fleet = crash_fleet.Fleet(6, upstreams=18, seed=seed)
            deadly = ("dead-a", "dead-b")
            self.play(fleet, build_deadly_chooser(*deadly), *deadly)
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    len(fleet.ended), len(deadly) * part_rule.MAX_CRASHES + 1
                )

    def test_hot_part_that_ran_well_before(self):
        fleet = crash_fleet.Fleet(9, seed=6)
        fleet.press_parts(REQUESTS_PER_S, 0.0, END_S, choose_sound)
        fleet.at(DEADLY_FROM_S, fleet.deadly.add, "first1")
        fleet.run(END_S)
        self.assertTrue(fleet.crashes)
        later = part_rule.count_later_arrivals(
            fleet.ended, fleet.deadly_arrivals
        )
        self.assertLessEqual(later, part_rule.MAX_LATER_ARRIVALS)
        for part in ("first0", "first2"):
            share = fleet.compute_sound_share(DEADLY_FROM_S + 6, END_S, part)
            self.assertGreaterEqual(share, 0.95)

    def test_neighbour_that_only_comes_beside_a_deadly_part(self):
        def choose(rng):
            return [f"first{rng.randrange(3)}", DEADLY, "beside"]

        fleet = crash_fleet.Fleet(9, seed=7)
        # Its own sound requests come later.
        for number in range(20):
            at = 20.0 + number / 4
            fleet.at(at, fleet.send_parts, ["first0", "beside"])
        self.play(fleet, choose, DEADLY)
        self.check(fleet)

    def test_loss_of_a_data_centre_blames_no_part(self):
        fleet = crash_fleet.Fleet(9, seed=8)
        fleet.press_parts(60.0, 0.0, END_S, choose_sound)
        for number in range(0, 14, 2):
            at = 10.0 + 0.05 * number
            fleet.at(at, fleet.kill, f"u-{number}")
        fleet.run(END_S)
        self.assertEqual(fleet.compute_sound_share(0.0, END_S), 1.0)

    def test_kills_in_series_blame_no_part(self):
        fleet = crash_fleet.Fleet(9, seed=9)
        fleet.press_parts(40.0, 0.0, END_S, choose_sound)
        for number in range(25):
            at = 5.0 + 0.9 * number
            fleet.at(at, fleet.kill, f"u-{number * 5 % 14}")
        fleet.run(END_S)
        self.assertGreaterEqual(fleet.compute_sound_share(0.0, END_S), 0.99)
        fleet.run(END_S + 10.0)
        for router in fleet.routers.values():
            counts = router.part_quarantine.count_blamed()
            self.assertEqual(counts[LEVEL.QUARANTINED], 0)

    def test_data_centre_is_lost_beside_a_deadly_part(self):
        fleet = crash_fleet.Fleet(9, seed=10)
        for number in range(0, 14, 2):
            fleet.at(DEADLY_FROM_S + 0.4, fleet.kill, f"u-{number}")
        self.play(fleet, build_deadly_chooser(DEADLY), DEADLY)
        self.check(fleet)

    def test_new_node_knows_the_verdict_from_its_first_exchange(self):
        fleet = crash_fleet.Fleet(9, seed=11)
        self.play(fleet, build_deadly_chooser(DEADLY), DEADLY)
        # Long after the news of the crashes.
        fleet.run(END_S + 15.0)
        before = len(fleet.deadly_arrivals)
        fleet.add("node-new")
        fleet.run(fleet.now + 1.0)
        for _ in range(20):
            fleet.send_parts(["first0", DEADLY], "node-new")
        fleet.run(fleet.now + 5.0)
        self.assertEqual(len(fleet.deadly_arrivals), before)

    def test_restarted_and_isolated_nodes(self):
        fleet = crash_fleet.Fleet(9, seed=12)
        for number in range(4):
            name = f"node-{number}"
            at = DEADLY_FROM_S + 1.0 + 2.0 * number
            fleet.at(at, fleet.start, name, list(fleet.routers))
        fleet.at(DEADLY_FROM_S + 0.5, fleet.isolated.add, "node-8")
        fleet.at(DEADLY_FROM_S + 9.5, fleet.isolated.discard, "node-8")
        self.play(fleet, build_deadly_chooser(DEADLY), DEADLY)
        # The isolated node counts for itself, and each restart may cost one.
        self.assertLessEqual(len(fleet.crashes), 3 * part_rule.MAX_CRASHES)
        before = len(fleet.crashes)
        fleet.press_parts(
            2.0, END_S + 2, END_S + 12, build_deadly_chooser(DEADLY)
        )
        fleet.run(END_S + 14)
        self.assertEqual(len(fleet.crashes), before)

    def test_waiting_requests_are_rejected_when_the_verdict_falls(self):
        fleet = crash_fleet.Fleet(1, seed=13)
        fleet.deadly = {DEADLY}
        for number in range(12):
            fleet.at(1.0 + number / 100, fleet.send_parts, [DEADLY])
        fleet.run(20.0)
        self.assertLessEqual(len(fleet.crashes), 12)
        router = next(iter(fleet.routers.values()))
        lifecycle = forwarding_world.build_lifecycle(router, now=20.0)
        self.assertIsNotNone(lifecycle.choose_next_step(20.0))
        before = len(fleet.deadly_arrivals)
        fleet.send_parts([DEADLY])
        self.assertEqual(len(fleet.deadly_arrivals), before)

    def test_trials_are_rare_and_by_one_node(self):
        fleet = crash_fleet.Fleet(9, seed=14)
        fleet.deadly = {DEADLY}
        choose = build_deadly_chooser(DEADLY)
        fleet.press_parts(2.0, 0.0, 400.0, choose)
        fleet.press_parts(4.0, 0.0, 400.0, choose_sound)
        fleet.run(400.0)
        # Trials at about 60, 180 and 420 s.
        self.assertLessEqual(len(fleet.crashes), part_rule.MAX_CRASHES + 3)
        fleet.deadly.clear()
        fleet.press_parts(2.0, 400.0, 1200.0, choose)
        fleet.run(1200.0)
        self.assertEqual(fleet.compute_sound_share(1100.0, 1190.0, DEADLY), 1.0)

    def test_messages_are_bounded(self):
        fleet = crash_fleet.Fleet(9, seed=15)
        log = next(iter(fleet.routers.values())).part_quarantine.crash_log
        for number in range(500):
            parts = [f"p{number}-{part}" for part in range(32)]
            prompt = build_prompt(*parts)
            log.record_break(prompt, f"u/{number}", 0.0, 1.0)
            log.record_check(f"u/{number}", True, 1.0, 1.0)
        log.evict_expired(set(), 2.0)
        self.assertLessEqual(len(log.list_all()), prompt_crashes.MAX_CRASHES)
        data = json.dumps(crash_messages.export(log, "n", 2.0, True))
        self.assertLess(len(data), 64 * 1024)


class BlameTest(unittest.TestCase):
    """Guards against blame of sound parts and against missing blame."""

    def setUp(self):
        ranks = node_ranks.NodeRanks("node-1")
        self.quarantine = part_quarantine.PartQuarantine(ranks)
        self.log = self.quarantine.crash_log

    def crash(self, incarnation, at, *prompts):
        """Records a crash of an upstream that ran prompts."""
        for prompt in prompts:
            self.log.record_break(prompt, incarnation, at - 0.1, at)
        self.log.record_check(incarnation, True, at + 0.1, at + 0.2)

    def find_level(self, now, *parts, **fields):
        """Returns the level that applies to a prompt."""
        prompt = build_prompt(*parts, **fields)
        return self.quarantine.find_verdict(prompt, now).level

    def test_levels_rise_with_the_crashes(self):
        levels = []
        for number in range(3):
            self.crash(f"u/{number}", float(number), build_prompt("a", "b"))
            levels.append(self.find_level(number + 0.5, "a", "b"))
        self.assertEqual(
            levels, [LEVEL.SUSPECTED, LEVEL.ISOLATED, LEVEL.QUARANTINED]
        )

    def test_last_part_is_never_suspected(self):
        request = forwarding_world.build_request(
            prompt_parts=tuple(
                prompt_crashes.forwarding.PromptPart(name, 1)
                for name in ("a", "b", "own")
            )
        )
        prompt = prompt_crashes.build_prompt(request, "llm", "", "w")
        self.assertEqual(prompt.parts, ("a", "b"))

    def test_event_after_the_crash_clears_and_before_does_not(self):
        self.log.record_event(build_prompt("a"), 0.5)
        for number in range(1, 5):
            self.crash(f"u/{number}", float(number), build_prompt("a"))
        self.assertEqual(self.find_level(5.0, "a"), LEVEL.QUARANTINED)
        self.log.record_event(build_prompt("a"), 5.0)
        self.assertEqual(self.find_level(5.1, "a"), LEVEL.NONE)

    def test_report_of_a_crash_before_an_event_here_blames_nobody(self):
        other = prompt_crashes.CrashLog()
        other.record_break(build_prompt("a"), "u/1", 0.9, 1.0)
        other.record_check("u/1", True, 1.1, 1.1)
        self.log.record_event(build_prompt("a"), 1.5)
        document = json.loads(
            json.dumps(crash_messages.export(other, "n", 2.0, False))
        )
        crash_messages.merge(self.log, document, 2.0)
        self.assertEqual(self.find_level(2.0, "a"), LEVEL.NONE)
        # And the other node is told so.
        back = crash_messages.export(self.log, "n", 2.0, False)
        crash_messages.merge(other, json.loads(json.dumps(back)), 2.0)
        self.assertEqual(other.list_all()[0].suspects, {})

    def test_neighbours_are_free_once_a_part_explains_the_crashes(self):
        for number in range(3):
            self.crash(
                f"u/{number}",
                float(number),
                build_prompt("dead", f"rare{number}"),
                build_prompt("hot", f"other{number}"),
            )
            if number < 2:
                self.log.record_event(build_prompt("hot"), number + 0.3)
        for part in ("rare0", "rare1", "rare2", "hot", "other2"):
            with self.subTest(part=part):
                self.assertEqual(self.find_level(3.0, part), LEVEL.NONE)
        self.assertEqual(self.find_level(3.0, "dead"), LEVEL.QUARANTINED)

    def test_part_is_told_from_its_rivals_by_prompts_without_them(self):
        for number in range(3):
            self.crash(f"u/{number}", float(number), build_prompt("a", "b"))
        self.assertEqual(self.find_level(3.0, "a", "b"), LEVEL.QUARANTINED)
        self.assertEqual(self.find_level(3.0, "b"), LEVEL.ISOLATED)
        self.log.record_event(build_prompt("b"), 3.5)
        self.assertEqual(self.find_level(4.0, "b"), LEVEL.NONE)
        self.assertEqual(self.find_level(4.0, "a"), LEVEL.QUARANTINED)

    def test_nodes_take_turns_with_isolated_parts(self):
        names = [f"node-{number}" for number in range(6)]
        nodes = []
        for name in names:
            ranks = node_ranks.NodeRanks(name)
            ranks.add_nodes(names)
            node = part_quarantine.PartQuarantine(ranks)
            for number in range(2):
                prompt = build_prompt("a")
                node.crash_log.record_break(prompt, f"u/{number}", 0.0, number)
                node.crash_log.record_check(f"u/{number}", True, 1.2, 1.2)
            node.find_verdict(build_prompt("a"), 1.3)
            nodes.append(node)
        turns = [
            [node.may_send_isolated("llm", 1.3 + tenth / 10) for node in nodes]
            for tenth in range(60)
        ]
        self.assertEqual({sum(turn) for turn in turns}, {1})
        self.assertEqual(
            {sum(turn[n] for turn in turns) > 0 for n in range(6)}, {True}
        )
        for node in nodes:
            node.record_isolated("llm", 2.0)
            self.assertFalse(node.may_send_isolated("llm", 2.1))

    def test_upstreams_that_end_together_count_once(self):
        for number in range(6):
            self.log.record_break(build_prompt("a"), f"u/{number}", 0.0, 1.0)
            self.log.record_check(f"u/{number}", True, 1.2, 1.2)
        self.assertEqual(self.find_level(2.0, "a"), LEVEL.SUSPECTED)

    def test_part_that_ran_well_is_not_rejected_while_all_upstreams_crash(self):
        self.log.record_event(build_prompt("hot"), 0.5)
        for number in range(5):
            self.crash(f"u/{number}", 1.0 + 0.3 * number, build_prompt("hot"))
        self.assertEqual(self.find_level(2.5, "hot"), LEVEL.ISOLATED)
        self.assertEqual(self.quarantine.count_blamed()[LEVEL.QUARANTINED], 0)

    def test_failover_of_one_request_counts_each_time(self):
        at = 1.0
        for number in range(3):
            self.log.record_break(
                build_prompt("a"), f"u/{number}", at, at + 0.05
            )
            self.log.record_check(f"u/{number}", True, at + 0.2, at + 0.2)
            at += 0.06
        self.assertEqual(self.find_level(2.0, "a"), LEVEL.QUARANTINED)

    def test_upstream_that_lives_speaks_against_nothing(self):
        self.log.record_break(build_prompt("a"), "u/1", 0.0, 1.0)
        self.assertEqual(self.find_level(1.0, "a"), LEVEL.SUSPECTED)
        self.log.record_check("u/1", False, 1.06, 1.2)
        self.assertEqual(self.find_level(1.2, "a"), LEVEL.NONE)

    def test_break_during_a_check_is_checked_again(self):
        self.log.record_break(build_prompt("a"), "u/1", 0.0, 1.0)
        self.log.record_break(build_prompt("b"), "u/1", 0.0, 1.1)
        self.log.record_check("u/1", False, 1.06, 1.2)
        self.assertEqual(self.log.list_incarnations_to_check(1.3), ["u/1"])

    def test_one_workspace_cannot_have_the_parts_of_others_rejected(self):
        for number in range(4):
            prompt = build_prompt("theirs", workspace="attacker")
            self.crash(f"u/{number}", float(number), prompt)
        self.assertEqual(
            self.find_level(5.0, "theirs", workspace="attacker"),
            LEVEL.QUARANTINED,
        )
        self.assertEqual(
            self.find_level(5.0, "theirs", workspace="owner"), LEVEL.SUSPECTED
        )
        prompt = build_prompt("theirs", workspace="third")
        self.crash("u/9", 6.0, prompt)
        self.assertEqual(
            self.find_level(7.0, "theirs", workspace="owner"),
            LEVEL.QUARANTINED,
        )

    def test_model_that_runs_a_part_is_not_barred_from_it(self):
        for number in range(4):
            self.crash(
                f"u/{number}", float(number), build_prompt("a", model="large")
            )
            self.log.record_event(
                build_prompt("a", model="small"), number + 0.5
            )
        self.assertEqual(
            self.find_level(4.0, "a", model="large"), LEVEL.QUARANTINED
        )
        self.assertEqual(self.find_level(4.0, "a", model="small"), LEVEL.NONE)

    def test_run_by_one_model_clears_a_part_that_another_ran(self):
        # Most requests for a larger model began with the smaller one.
        for number in range(3):
            self.crash(
                f"u/{number}",
                float(number),
                build_prompt("hot", "dead", model="large"),
                build_prompt("hot", model="small"),
            )
            self.log.record_event(
                build_prompt("hot", model="small"), number + 0.5
            )
        self.crash("u/9", 4.0, build_prompt("hot", model="large"))
        self.assertEqual(
            self.find_level(4.5, "hot", model="small"), LEVEL.SUSPECTED
        )
        self.log.record_event(build_prompt("hot", model="small"), 5.0)
        self.assertEqual(self.find_level(5.5, "hot", model="small"), LEVEL.NONE)
        self.assertEqual(
            self.find_level(5.5, "hot", "dead", model="small"),
            LEVEL.QUARANTINED,
        )

    def test_crash_is_forgotten_unless_a_verdict_rests_on_it(self):
        self.crash("u/0", 0.0, build_prompt("a"))
        for number in range(1, 4):
            self.crash(f"u/{number}", float(number), build_prompt("b"))
        self.quarantine.evict_expired(prompt_crashes.RETENTION_S + 10)
        self.assertEqual(self.find_level(80.0, "a"), LEVEL.NONE)
        self.assertEqual(self.find_level(80.0, "b"), LEVEL.QUARANTINED)
        self.quarantine.evict_expired(prompt_crashes.VERDICT_RETENTION_S + 10)
        self.assertEqual(self.log.list_all(), [])

    def test_news_is_not_sent_to_a_node_at_each_exchange(self):
        self.crash("u/0", 0.0, build_prompt("a"))
        self.crash("u/1", 1.0, build_prompt("b"))
        sent = [
            [crash.incarnation for crash in self.log.export("n", at, False)]
            for at in (1.3, 1.4, 1.5)
        ]
        self.assertEqual(sent, [["u/0", "u/1"], [], []])
        self.assertEqual(len(self.log.export("other", 1.5, False)), 2)
        self.log.record_event(build_prompt("a"), 1.6)
        changed = self.log.export("n", 1.7, False)
        self.assertEqual([crash.incarnation for crash in changed], ["u/0"])
        # It may have missed the first message.
        self.assertEqual(
            len(self.log.export("n", 1.4 + prompt_crashes.RESEND_S, False)), 1
        )
        self.assertEqual(len(self.log.export("n", 1.8, True)), 2)

    def test_malformed_messages_are_rejected(self):
        for entry in (
            [],
            ["u/1", "llm", "x", [], []],
            ["u/1", "llm", 1.0, [["a"]], []],
            ["u/1", "llm", 1.0, 5, []],
            None,
        ):
            with (
                self.subTest(entry=entry),
                self.assertRaises((AttributeError, TypeError, ValueError)),
            ):
                crash_messages.merge(self.log, {"crashes": [entry]}, 2.0)

    def test_many_parts_and_long_names_are_bounded(self):
        parts = tuple(
            prompt_crashes.forwarding.PromptPart(f"{n}" * 200, 1)
            for n in range(400)
        )
        request = forwarding_world.build_request(prompt_parts=parts)
        prompt = prompt_crashes.build_prompt(request, "llm", "", "w")
        self.assertLessEqual(
            len(prompt.parts), prompt_crashes.MAX_PARTS_PER_REQUEST
        )
        longest = max(len(part) for part in prompt.parts)
        self.assertLessEqual(longest, prompt_crashes.MAX_IDENTITY_CHARS)


if __name__ == "__main__":
    unittest.main()
