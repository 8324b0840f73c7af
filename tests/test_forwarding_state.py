"""Tests of the store mirror, routes, upstreams and rate limits."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import cold_start_limiter
from sycamorehollow.decisions.forwarding import directory
from sycamorehollow.decisions.forwarding import mirror
from sycamorehollow.decisions.forwarding import node_ranks
from sycamorehollow.decisions.forwarding import retry_budget
from sycamorehollow.decisions.forwarding import route_table
from sycamorehollow.decisions.forwarding import updates
from sycamorehollow.decisions.forwarding import watchers
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from tests import forwarding_world

# Tolerated multiple of the rate of a cold upstream, and addition to it.
FACTOR = 1.5
FLOOR = 5.0
CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcd"),
        strategies.one_of(strategies.none(), strategies.text(max_size=2)),
    ),
    max_size=20,
)


def build_history(changes):
    """Returns the store entries that result from the changes in order."""
    return [
        mirror.Entry(key, value, number)
        for number, (key, value) in enumerate(changes, 1)
    ]


def read_values(copy):
    """Returns the values of a mirror by key."""
    return {entry.key: entry.value for entry in copy.list_values()}


class MirrorTest(unittest.TestCase):
    """Guards against mirrors that go back, diverge or lose a deletion."""

    @hypothesis.given(
        CHANGES,
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.integers(0, 2),
                strategies.integers(0, 20),
            ),
            max_size=25,
        ),
    )
    def test_copies_agree_with_the_store(self, changes, schedule):
        history = build_history(changes)
        copies = [mirror.Mirror() for _ in range(3)]
        for left, right, upto in schedule:
            if left == right:
                latest = {e.key: e for e in history[:upto]}
                values = [e for e in latest.values() if e.value is not None]
                copies[left].replace(values, min(upto, len(history)))
                continue
            delta = copies[left].build_delta(copies[right].revision)
            if delta is not None:
                copies[right].merge(delta)
        for copy in copies:
            expected = {}
            for entry in history[: copy.revision]:
                expected[entry.key] = entry.value
            expected = {k: v for k, v in expected.items() if v is not None}
            self.assertEqual(read_values(copy), expected)

    @hypothesis.given(
        CHANGES,
        strategies.tuples(*[strategies.integers(0, 20)] * 3),
        strategies.lists(strategies.integers(1, 5), max_size=20),
        strategies.integers(0, 20),
    )
    def test_list_of_uneven_pages_ends_up_right(
        self, changes, revisions, steps, followed
    ):
        # A page that is older than another one may still hold what was
        # removed, and a replay of what another one includes may undo it.
        history = build_history(changes)
        ends = ("a", "c", "")
        pages = [min(revision, len(history)) for revision in revisions]
        found = []
        for key in "abcd":
            part = next(i for i, end in enumerate(ends) if key <= (end or "z"))
            entries = [e for e in history[: pages[part]] if e.key == key]
            found += [e for e in entries[-1:] if e.value is not None]
        copy, follower = mirror.Mirror(), mirror.Mirror()
        follower.apply(history[: min(pages)], min(pages))
        segments = tuple(map(mirror.Segment, ends, pages))
        copy.replace(found, min(pages), 0, segments)
        reached = {entry.key: entry.revision for entry in found}
        while copy.revision < len(history):
            upto = copy.revision + (steps.pop() if steps else 20)
            upto = min(upto, len(history))
            for update in copy.apply(history[copy.revision : upto], upto):
                part = next(
                    i for i, e in enumerate(ends) if update.key <= (e or "z")
                )
                self.assertGreater(update.revision, pages[part])
                self.assertGreater(update.revision, reached.get(update.key, 0))
            if copy.revision >= followed:
                delta = copy.build_delta(follower.revision)
                if delta is not None:
                    follower.merge(delta)
        delta = copy.build_delta(follower.revision)
        if delta is not None:
            follower.merge(delta)
        latest = {entry.key: entry.value for entry in history}
        expected = {k: v for k, v in latest.items() if v is not None}
        self.assertEqual(read_values(copy), expected)
        self.assertEqual(read_values(follower), expected)

    def test_watch_that_lags_behind_a_peer_changes_nothing(self):
        copy = mirror.Mirror()
        newer = mirror.Delta((mirror.Entry("a", "new", 5),), 5, False)
        copy.merge(newer)
        self.assertEqual(copy.apply([mirror.Entry("a", "old", 3)], 3), [])
        self.assertEqual(copy.apply([mirror.Entry("a", None, 4)], 4), [])
        self.assertEqual(read_values(copy), {"a": "new"})
        self.assertEqual(copy.revision, 5)

    def test_storm_of_changes_is_reported_by_its_last_one(self):
        copy = mirror.Mirror()
        storm = [mirror.Entry("a", str(n), n) for n in range(1, 30)]
        self.assertEqual(copy.apply(storm, 29), storm[-1:])

    def test_old_delta_changes_nothing(self):
        copy = mirror.Mirror()
        copy.apply([mirror.Entry("a", "new", 5)], 5)
        old = mirror.Delta((mirror.Entry("a", "old", 3),), 3, True)
        self.assertEqual(copy.merge(old), [])
        self.assertEqual(read_values(copy), {"a": "new"})

    def test_forgotten_deletions_need_a_whole_copy(self):
        copy = mirror.Mirror()
        count = mirror.MAX_DELETIONS + 5
        copy.apply(
            [mirror.Entry(f"k{n}", "v", n + 1) for n in range(count)], count
        )
        late = mirror.Mirror()
        late.merge(copy.build_delta(0))
        copy.apply(
            [mirror.Entry(f"k{n}", None, count + n + 1) for n in range(count)],
            2 * count,
        )
        late.merge(copy.build_delta(late.revision))
        self.assertEqual(read_values(late), {})


class RouteTableTest(unittest.TestCase):
    """Guards against wrong routes and unauthorized requests."""

    def setUp(self):
        routes = (
            forwarding_world.build_route(name="short"),
            forwarding_world.build_route(name="long", path_prefix="/draft/a/"),
            forwarding_world.build_route(
                name="open", path_prefix="/o/", auth_exempt=True
            ),
        )
        self.table = route_table.RouteTable(
            forwarding_world.build_configuration(
                *routes, workspaces={"k": forwarding.Workspace("maps")}
            )
        )

    def test_longest_prefix_wins(self):
        for path, name in (
            ("/draft/a/x", "long"),
            ("/draft/ax", "short"),
            ("/draft/a", "short"),
        ):
            request = forwarding_world.build_request(path=path)
            self.assertEqual(self.table.find_route(request).name, name)
        for request in (
            forwarding_world.build_request(path="/drafts/a"),
            forwarding_world.build_request(host="other.example"),
        ):
            self.assertIsInstance(
                self.table.find_route(request), failures.NotFound
            )

    def test_keys_belong_to_workspaces(self):
        route = self.table.configuration.routes[0]
        opened = self.table.configuration.routes[2]
        for key, on, expected in (
            ("k", route, forwarding.Workspace("maps")),
            ("k", opened, forwarding.Workspace("maps")),
            ("", opened, None),
        ):
            request = forwarding_world.build_request(api_key=key)
            self.assertEqual(self.table.authorize(request, on), expected)
        for key in ("", "other"):
            request = forwarding_world.build_request(api_key=key)
            self.assertIsInstance(
                self.table.authorize(request, route), failures.Unauthorized
            )


class DirectoryTest(unittest.TestCase):
    """Guards against using removed upstreams and dropping live ones."""

    def setUp(self):
        self.directory = directory.Directory()
        self.upstream = forwarding_world.build_upstream("a")
        self.directory.register(self.upstream, 0.0)

    def _list(self, now):
        return self.directory.list_usable("llm", now)

    def test_removed_upstream_is_not_used(self):
        self.directory.remove("a", 1.0)
        self.assertEqual(self._list(1.0), [])

    def test_entry_that_lapsed_with_the_store_has_time_to_come_back(self):
        self.directory.record_store_recovery(10.0)
        self.directory.remove("a", 10.1)
        self.assertEqual(len(self._list(11.9)), 1)
        self.assertEqual(self._list(12.0), [])
        self.directory.register(self.upstream, 11.0)
        self.assertEqual(len(self._list(13.0)), 1)

    def test_draining_and_evacuated_upstreams_get_nothing(self):
        self.directory.set_evacuated(["dc-1"])
        self.assertEqual(self._list(0.0), [])
        self.directory.set_evacuated([])
        draining = forwarding_world.build_upstream("a", draining=True)
        self.directory.register(draining, 0.0)
        self.assertEqual(self._list(0.0), [])

    def test_restart_under_the_same_identity_starts_anew(self):
        state = self.directory.get("a")
        directory.record_connection_failure(state, 0.0)
        self.assertTrue(state.is_backing_off(0.1))
        again = forwarding_world.build_upstream("a", started_ms=5)
        self.assertFalse(
            self.directory.register(again, 0.1).is_backing_off(0.1)
        )


class ColdStartLimiterTest(unittest.TestCase):
    """Guards against more requests than cold upstreams tolerate."""

    @hypothesis.given(
        strategies.integers(1, 20),
        strategies.floats(5, 60),
        strategies.lists(strategies.floats(0, 3), max_size=200),
    )
    def test_all_nodes_together_stay_within_the_rate(self, nodes, rate, times):
        limits = self._build_fleet(nodes)
        sent = self._press(limits, rate, sorted(times))
        self._check_rate(sent, rate * FACTOR + FLOOR)

    def test_large_fleets_stay_within_the_rate(self):
        for nodes in (9, 60, 195, 1000):
            with self.subTest(nodes=nodes):
                limits = self._build_fleet(nodes)
                sent = self._press(limits, 15.0, [0.1 * n for n in range(40)])
                self._check_rate(sent, 15.0 * FACTOR + FLOOR)
                # At least half of the tolerated rate is used under full load.
                self.assertGreater(len(sent), 4.0 * 15.0 * FACTOR / 2)

    def test_added_nodes_that_others_do_not_know_fit_in(self):
        limits = self._build_fleet(195)
        names = [f"n{number}" for number in range(195)]
        for number in range(39):
            limits.append(self._build_limiter(f"added{number}", names))
        sent = self._press(limits, 15.0, [0.1 * n for n in range(40)])
        self._check_rate(sent, 15.0 * FACTOR + FLOOR)

    def test_nodes_share_the_upstreams_of_a_data_centre(self):
        limits = self._build_fleet(195)
        owners = [
            sum(limit.can_send(f"u{n}", 15.0, 0.0) for n in range(39))
            for limit in limits
        ]
        # Few nodes own no upstream while all are cold.
        self.assertLess(owners.count(0), 0.05 * len(owners))

    def _build_fleet(self, nodes):
        names = [f"n{number}" for number in range(nodes)]
        return [self._build_limiter(name, names) for name in names]

    def _build_limiter(self, name, names):
        ranks = node_ranks.NodeRanks(name)
        ranks.add_nodes(names)
        return cold_start_limiter.ColdStartLimiter(ranks, FACTOR, FLOOR)

    def _press(self, limits, rate, times):
        """Lets all nodes send as much as allowed; returns the send times."""
        sent = []
        for at in times:
            for limit in limits:
                if limit.can_send("a", rate, at):
                    limit.record_sent("a", at)
                    sent.append(at)
        return sent

    def _check_rate(self, sent, bound):
        for start in sorted(set(sent)):
            seen = sum(start <= at < start + 1.0 for at in sent)
            self.assertLessEqual(seen, bound)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retry storms."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 30), strategies.booleans()),
            max_size=200,
        )
    )
    def test_all_nodes_together_stay_within_the_budget(self, arrivals):
        nodes, ratio, window_s, floor = 3, 0.9, 10.0, 30.0
        budgets = []
        for _ in range(nodes):
            budget = retry_budget.RetryBudget(ratio, window_s, floor)
            budget.set_node_count(nodes)
            budgets.append(budget)
        requests, retries = [], []
        source = random.Random(1)
        for at, is_request in sorted(arrivals):
            budget = source.choice(budgets)
            if is_request:
                budget.record_request("s", at)
                requests.append(at)
            elif budget.can_retry("s", at):
                budget.record_retry("s", at)
                retries.append(at)
        for end in retries:
            asked = sum(end - window_s < at <= end for at in requests)
            seen = sum(end - window_s < at <= end for at in retries)
            self.assertLessEqual(seen, asked * ratio + floor)

    def test_storm_of_repeats_is_bounded(self):
        budget = retry_budget.RetryBudget(0.5, 10.0, 20.0)
        budget.set_node_count(2)
        sent = 0
        for number in range(400):
            now = number * 0.02
            if number % 4 == 0:
                budget.record_request("s", now)
            if budget.can_retry("s", now):
                budget.record_retry("s", now)
                sent += 1
        self.assertLessEqual(sent, 100 * 0.5 + 20.0 / 2)
        self.assertGreater(sent, 30)


class WatchersTest(unittest.TestCase):
    """Guards against watches by all nodes and by none."""

    def setUp(self):
        self.nodes = {
            f"n{number}": watchers.Node(f"a:{number}", f"dc-{number % 3}")
            for number in range(60)
        }
        self.all = {
            name: watchers.Watchers(name, node.data_centre, random.Random(1))
            for name, node in self.nodes.items()
        }

    def _count(self, now):
        return sum(
            each.should_watch(self.nodes, now) for each in self.all.values()
        )

    def test_few_nodes_of_each_data_centre_watch(self):
        for each in self.all.values():
            each.record_fresh(10.0)
        self.assertEqual(self._count(10.5), 6)

    def test_nodes_with_the_fastest_links_watch(self):
        fast = {
            f"f{number}": watchers.Node(f"b:{number}", "dc-0", 200.0)
            for number in range(2)
        }
        nodes = self.nodes | fast
        chosen = self.all["n0"].list_watchers(nodes, 0.0)
        self.assertEqual(set(chosen), set(fast))

    def test_node_without_recent_news_watches_by_itself(self):
        for each in self.all.values():
            each.record_fresh(10.0)
        self.assertEqual(self._count(12.0), 60)

    def test_next_node_takes_over_from_one_that_does_not_answer(self):
        follower = next(
            each
            for each in self.all.values()
            if each.choose_watcher(self.nodes, 0.0) is not None
        )
        first = follower.list_watchers(self.nodes, 0.0)
        for name in first:
            follower.record_unreachable(name, 0.0)
        second = follower.list_watchers(self.nodes, 0.0)
        self.assertFalse(set(first) & set(second))
        later = 2 * watchers.UNREACHABLE_S
        self.assertEqual(follower.list_watchers(self.nodes, later), first)

    def test_small_data_centres_have_no_followers(self):
        nodes = dict(list(self.nodes.items())[:3])
        for name in nodes:
            each = self.all[name]
            each.record_fresh(0.0)
            self.assertTrue(each.should_watch(nodes, 0.1))
            self.assertIsNone(each.choose_watcher(nodes, 0.1))


class RouterEventsTest(unittest.TestCase):
    """Tests how the router applies events."""

    def test_older_version_is_ignored(self):
        router = forwarding_world.build_router()
        newer = forwarding_world.build_configuration(version=9)
        older = forwarding_world.build_configuration(version=4)
        router.apply_event(updates.ConfigurationSet(newer), 1.0)
        router.apply_event(updates.ConfigurationSet(older), 2.0)
        self.assertEqual(router.route_table.configuration.version, 9)

    def test_idle_connections_of_all_nodes_leave_room_for_requests(self):
        router = forwarding_world.build_router()
        service = forwarding.Service("llm", 110)
        for count in range(1, 70):
            node = watchers.Node(f"a:{count}", "dc-1")
            router.apply_event(updates.NodeSet(f"n{count}", node), 0.0)
            kept = router.compute_max_idle_connections(service)
            self.assertGreaterEqual(kept, 1)
            self.assertLessEqual(kept * count, max(55, count))

    def test_evacuation_holds_until_it_is_removed(self):
        router = forwarding_world.build_router(
            forwarding_world.build_upstream("a"),
            forwarding_world.build_upstream("b", data_centre="dc-2"),
        )
        router.apply_event(updates.EvacuationSet("dc-1", True), 1.0)
        names = [
            state.upstream.identity
            for state in router.directory.list_usable("llm", 1.0)
        ]
        self.assertEqual(names, ["b"])
        router.apply_event(updates.EvacuationSet("dc-1", False), 2.0)
        self.assertEqual(len(router.directory.list_usable("llm", 2.0)), 2)


class GossipPeersTest(unittest.TestCase):
    """Guards against exchanges that grow with the fleet."""

    def _count_crossings(self, fleet_size, age_s):
        """Returns how many nodes poll one of another data centre."""
        nodes = {
            f"n{number}": watchers.Node(f"a:{number}", f"dc-{number % 5}")
            for number in range(fleet_size)
        }
        source = random.Random(3)
        crossings = 0
        for name, node in nodes.items():
            each = watchers.Watchers(name, node.data_centre, source)
            peer = each.choose_gossip_peer(nodes, age_s, 0.0)
            self.assertNotEqual(peer, name)
            if peer is not None:
                crossings += nodes[peer].data_centre != node.data_centre
        return crossings

    def test_exchanges_do_not_grow_with_the_fleet(self):
        self.assertLessEqual(self._count_crossings(1000, 0.0), 10)
        self.assertGreaterEqual(self._count_crossings(60, 0.0), 5)

    def test_nodes_that_hear_nothing_ask_any_other(self):
        self.assertGreater(self._count_crossings(200, 5.0), 100)

    def test_watchers_reach_those_of_all_data_centres(self):
        nodes = {
            f"n{number}": watchers.Node(f"a:{number}", f"dc-{number % 5}")
            for number in range(200)
        }
        first = watchers.Watchers("n0", "dc-0", random.Random(1))
        name = first.list_watchers(nodes, 0.0)[0]
        each = watchers.Watchers(name, "dc-0", random.Random(1))
        peers = {each.choose_gossip_peer(nodes, 0.0, 0.0) for _ in range(200)}
        self.assertEqual(len(peers), 9)
        places = {nodes[peer].data_centre for peer in peers}
        self.assertEqual(len(places), 5)
