"""Tests of the account of held memory and of the request parser."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.forwarding import memory_budget
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import request_parser

KB = 1024
LIMIT = 1024 * KB
BODY = memory_budget.Kind.BODY


def any_is_unused(_):
    """Tells that each idle connection may be closed."""
    return True


class MemoryBudgetTest(unittest.TestCase):
    """Guards against a budget that is exceeded, or starves requests."""

    def setUp(self):
        self.budget = memory_budget.MemoryBudget(LIMIT, 100, 5.0)

    def open(self, size=0, now=0.0):
        """Opens a connection that reads a body of a size."""
        holding = self.budget.open(0, now)
        holding.idle_since = None
        if size:
            self.assertTrue(self.budget.admit(holding, BODY, size))
            self.budget.begin_body(holding, size, now)
        return holding

    def check(self, end):
        """Checks ten times a second from 0 to a time; returns all orders."""
        return [
            order
            for step in range(1, int(end * 10) + 1)
            for order in self.budget.check(step / 10, any_is_unused)
        ]

    def test_small_request_fits_beside_large_ones(self):
        self.open(600 * KB)
        large, small = self.open(), self.open()
        self.assertFalse(self.budget.admit(large, BODY, 200 * KB))
        self.budget.wait(large, 200 * KB, 0.0)
        self.assertTrue(self.budget.admit(small, BODY, 60 * KB))

    def test_smaller_request_goes_first_until_the_larger_one_is_old(self):
        held = self.open(600 * KB)
        large, small = self.open(), self.open()
        self.budget.wait(large, 500 * KB, 0.0)
        self.budget.wait(small, 400 * KB, 0.05)
        self.budget.close(held)
        orders = self.budget.check(0.06, any_is_unused)
        self.assertEqual([o.holding for o in orders], [small])
        self.budget.wait(later := self.open(), 400 * KB, 1.0)
        orders = self.check(1.0)
        self.assertEqual(orders, [])
        self.budget.close(small)
        orders = self.budget.check(1.01, any_is_unused)
        self.assertEqual(orders[0].holding, large)
        self.assertIn(later, self.budget._waiting)

    def test_request_without_room_is_refused_in_time(self):
        self.open(600 * KB)
        waiting = self.open()
        self.budget.wait(waiting, 500 * KB, 0.0)
        reasons = [
            order.reason
            for now in range(50)
            for order in self.budget.check(now * 0.1, any_is_unused)
            if order.holding is waiting
        ]
        self.assertEqual(reasons, [])
        orders = self.budget.check(5.1, any_is_unused)
        order = memory_budget.Order(waiting, memory_budget.Reason.WAITED)
        self.assertIn(order, orders)
        self.assertFalse(self.budget.waiting)

    def test_least_progress_is_closed_first(self):
        slow, fast = self.open(300 * KB), self.open(300 * KB)
        self.budget.wait(self.open(), 500 * KB, 0.0)
        victims = []
        for step in range(30):
            self.budget.record_progress(slow, 10)
            self.budget.record_progress(fast, 20 * KB)
            orders = self.budget.check(step * 0.1, any_is_unused)
            victims += [order.holding for order in orders]
        self.assertEqual(set(victims), {slow})

    def test_refusal_closes_small_bodies_that_never_end(self):
        stuck = [self.open(60 * KB) for _ in range(17)]
        self.assertFalse(self.budget.admit(self.open(), BODY, 10 * KB))
        self.assertEqual(self.check(2.0), [])
        self.budget.note_refusal(10 * KB)
        orders = self.budget.check(2.1, any_is_unused)
        reason = memory_budget.Reason.NO_PROGRESS
        self.assertEqual({order.reason for order in orders}, {reason})
        self.assertIn(orders[0].holding, stuck)
        self.assertEqual(self.budget.check(2.2, any_is_unused), [])

    def test_pause_of_the_process_closes_nothing(self):
        self.open(600 * KB)
        self.budget.wait(self.open(), 500 * KB, 0.0)
        self.assertEqual(self.budget.check(0.1, any_is_unused), [])
        self.assertEqual(self.budget.check(60.0, any_is_unused), [])

    def test_idle_connection_is_closed_when_the_budget_is_exceeded(self):
        first = self.budget.open(0, 1.0)
        self.budget.open(0, 2.0)
        self.budget.add(self.open(), memory_budget.Kind.RESPONSE, 2 * LIMIT)
        orders = self.check(3.0)
        self.assertEqual(orders[0].holding, first)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("ask", "ask", "end", "check")),
                strategies.integers(0, 9),
                strategies.integers(1, 900 * KB),
            ),
            max_size=60,
        )
    )
    def test_admitted_bodies_never_exceed_the_limit(self, steps):
        budget = memory_budget.MemoryBudget(LIMIT, 100, 5.0)
        holdings = {}
        for now, (step, name, size) in enumerate(steps):
            if step == "end" and name in holdings:
                budget.close(holdings.pop(name))
            if step == "ask" and name not in holdings:
                holding = holdings[name] = budget.open(0, now)
                if not budget.admit(holding, BODY, size):
                    budget.wait(holding, size, now)
            if step == "check":
                budget.check(now, any_is_unused)
            self.assertLessEqual(budget.total, LIMIT)
            held = sum(sum(h.held) for h in holdings.values())
            self.assertEqual(budget.total, held)
        for holding in holdings.values():
            budget.close(holding)
        self.assertEqual((budget.total, sum(budget.held)), (0, 0))


class Receiver(request_parser.RequestReceiver):
    """Counts what a parser holds and passes on."""

    def __init__(self, max_bytes):
        self.requests = []
        self.status = 0
        self.held = 0
        self._max_bytes = max_bytes

    can_parse = True

    def start_head(self):
        """Does nothing."""

    def grow_head(self, request, cost):
        """Counts a head."""
        self.held += cost
        return self.held <= self._max_bytes

    def begin_body(self, request, cost, expects_continue):
        """Counts a body and stops at the limit."""
        self.grow_body(request, cost)

    def grow_body(self, request, cost):
        """Counts more of a body and stops at the limit."""
        if self.held + cost > self._max_bytes:
            self.can_parse = False
            return
        self.held += cost
        request.body_cost += cost

    def record_body(self, size):
        """Does nothing."""

    def complete(self, request):
        """Releases a request, as if it was handled at once."""
        self.can_parse = True
        self.held -= request.head_cost + request.body_cost
        self.requests.append(request)

    def reject(self, status, request):
        """Stores the status."""
        self.status = status


BLOCKS = strategies.one_of(
    strategies.binary(max_size=300),
    strategies.sampled_from(
        (
            b"GET /x HTTP/1.1\r\n",
            b"POST /x HTTP/1.1\r\n",
            b"Content-Length: 90000\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"Transfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n",
            b"ffff\r\n" + b"x" * 65535 + b"\r\n",
            b"5;" + b"x" * 9000,
            b"0\r\n",
            b"\r\n",
            b"\r\n" * 600,
            b"ab:\r\n" * 900,
            b"Upgrade: x\r\nConnection: upgrade\r\n",
            b"GET /x HTTP/1.1\r\n\r\n" * 500,
            b"x" * 70000,
        )
    ),
)


class RequestParserTest(unittest.TestCase):
    """Guards against bytes of a caller that make a parser hold too much."""

    LIMITS = forwarding.CallerLimits(body_bytes=100_000)
    MAX_HELD = 200_000

    def make(self):
        """Returns a parser with its receiver."""
        receiver = Receiver(self.MAX_HELD)
        return receiver, request_parser.RequestParser(
            receiver, lambda: self.LIMITS, 100, 1024
        )

    @hypothesis.given(
        strategies.lists(BLOCKS, max_size=30),
        strategies.lists(strategies.integers(1, 65536), min_size=1, max_size=9),
    )
    def test_held_memory_is_bounded(self, blocks, cuts):
        receiver, parser = self.make()
        data = b"".join(blocks)
        position = count = 0
        while position < len(data) and receiver.can_parse:
            size = cuts[count % len(cuts)]
            parser.feed(data[position : position + size])
            position, count = position + size, count + 1
            self.assertLessEqual(len(parser.unparsed), 65536)
            request = parser.request
            if request is None:
                continue
            lines = sum(len(n) + len(v) for n, v in request.headers)
            slice_bytes = request_parser.HEAD_SLICE_BYTES
            limit = self.LIMITS.header_bytes + 2 * slice_bytes
            self.assertLessEqual(lines + len(request.target), limit)
            self.assertLessEqual(len(request.headers), 100)
            # What arrives with the bytes that reach the limit is kept.
            limit = request.body_cost + request_parser.CHUNKED_SLICE_BYTES
            self.assertLessEqual(len(request.body), limit)

    @hypothesis.given(
        strategies.lists(strategies.integers(1, 3000), min_size=1, max_size=9)
    )
    def test_requests_do_not_depend_on_the_pieces(self, cuts):
        requests = b"".join(
            (
                b"\r\nPOST /a HTTP/1.1\r\nContent-Length: 7000\r\n\r\n",
                b"a" * 7000,
                b"POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"1770\r\n" + b"b" * 6000 + b"\r\n3\r\nbbb\r\n0\r\n\r\n",
                b"GET /c HTTP/1.1\r\nHost: c\r\n\r\n" * 300,
            )
        )
        receiver, parser = self.make()
        position = count = 0
        while position < len(requests):
            size = cuts[count % len(cuts)]
            parser.feed(requests[position : position + size])
            position, count = position + size, count + 1
        self.assertEqual(receiver.status, 0)
        found = [(r.target, len(r.body)) for r in receiver.requests]
        self.assertEqual(found[:2], [(b"/a", 7000), (b"/b", 6003)])
        self.assertEqual(found[2:], [(b"/c", 0)] * 300)
        self.assertEqual(receiver.held, 0)

    def test_statuses_of_heads_over_the_limits(self):
        for head, status in (
            (b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 102, 431),
            (b"GET / HTTP/1.1\r\nX: " + b"x" * 40000, 431),
            (b"\r\n" * 600, 400),
            (b"POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", 413),
        ):
            with self.subTest(head[:40]):
                receiver, parser = self.make()
                parser.feed(head)
                self.assertEqual(receiver.status, status)
