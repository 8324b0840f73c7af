"""A gateway without a path to replicas waits for a neighbour that is frozen.

`TROUBLE=0` leaves out the cut and the freeze; `TROUBLE=cut` leaves out the
freeze only.
"""

import concurrent.futures
import os
import signal
import tempfile
import time

from review.lab import callers
from review.lab import gateways
from review.lab import records
from review.lab import replicas
from review.lab import store
from review.lab import ways

TROUBLE = os.environ.get("TROUBLE", "1")
CONTACT_S = 3.0
CUT_S = 9.0
# The freeze lasts as long as the bench's own by default, within the cut.
FREEZE_AFTER_S = 3.0
FREEZE_S = 5.0
SETTLE_S = 4.0
CALLS_PER_S = 12
DEADLINE_MS = 1500
# The rule's bounds.
MIN_RATIO = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50


class Ways:
    """The ways of one machine to all replicas."""

    def __init__(self):
        self._ways = {}

    def find(self, address):
        """Returns the address at which the machine reaches a replica."""
        if address not in self._ways:
            self._ways[address] = ways.Way(address)
        return self._ways[address].address

    def cut(self):
        """Cuts the machine off from all replicas."""
        for way in self._ways.values():
            way.cut()

    def heal(self):
        """Ends the cut."""
        for way in self._ways.values():
            way.heal()

    def stop(self):
        """Stops all ways."""
        for way in self._ways.values():
            way.stop()


def play(record):
    """Plays the case; returns whether the rule held."""
    shop = store.Store()
    desks = [
        replicas.Replica(f"i-desk-{n}", "booking-desk", f"zone-{n % 2}")
        for n in range(4)
    ]
    shop.put(
        "op/config",
        store.build_configuration(
            store.build_route("booking-confirm", "unsafe", "booking-desk", 800),
            store.build_route("booking-status", "safe", "booking-desk", 800),
        ),
    )
    for desk in desks:
        # Without heartbeats, so that machines do not tell each other the
        # addresses of their own ways.
        desk.register(shop, beats=False)
    paths = [Ways() for _ in range(4)]
    views = [store.View(shop, path.find) for path in paths]
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        nodes.extend(
            gateways.Gateway(folder, n, f"zone-{n // 2}", views[n].address)
            for n in range(4)
        )
        try:
            for node in nodes:
                node.start()
            return _play(record, desks, nodes, paths)
        finally:
            for stopped in [*nodes, *paths, *views, *desks, shop]:
                stopped.stop()


def _play(record, desks, nodes, paths):
    cut_one, frozen, *others = nodes
    for node in nodes:
        node.wait_ready()
    time.sleep(SETTLE_S)
    began = time.monotonic()
    if TROUBLE != "0":
        paths[0].cut()
        record.write(f"{cut_one.name} is cut off from all replicas")
    pool = concurrent.futures.ThreadPoolExecutor(200)
    futures = []
    is_frozen = False
    for number in range(int(CUT_S * CALLS_PER_S)):
        at = began + number / CALLS_PER_S
        time.sleep(max(0.0, at - time.monotonic()))
        if TROUBLE == "1" and not is_frozen and at >= began + FREEZE_AFTER_S:
            frozen.send_signal(signal.SIGSTOP)
            is_frozen = True
            record.write(f"{frozen.name} is frozen")
        if is_frozen and at >= began + FREEZE_AFTER_S + FREEZE_S:
            frozen.send_signal(signal.SIGCONT)
        for node in (cut_one, *others):
            futures.append(pool.submit(_ask, node, number))
    frozen.send_signal(signal.SIGCONT)
    attempts = [future.result() for future in futures]
    paths[0].heal()
    record.write_attempts(attempts)
    record.write_runs(desks)
    return _judge(record, cut_one, others, attempts, began)


def _ask(node, number):
    if number % 2:
        return callers.ask(node, "booking-confirm", "POST", b"b", DEADLINE_MS)
    return callers.ask(node, "booking-status", deadline_ms=DEADLINE_MS)


def _judge(record, cut_one, others, attempts, began):
    """Compares the first tries at the cut machine with those at others."""
    judged = [a for a in attempts if a.sent_at >= began + CONTACT_S]
    there = [a for a in judged if a.gateway == cut_one.name]
    names = {node.name for node in others}
    elsewhere = [a for a in judged if a.gateway in names]
    served = sum(a.status == 200 for a in there)
    share = served / len(there)
    other_share = sum(a.status == 200 for a in elsewhere) / len(elsewhere)
    failed = len(there) - served
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(judged)
    text = f"served {served} of {len(there)} at {cut_one.name},"
    text += f" {other_share:.1%} of {len(elsewhere)} elsewhere;"
    text += f" failed there: {failed}, allowed {allowed:.1f}"
    record.write(text)
    print(text)
    return not (share < MIN_RATIO * other_share and failed > allowed)


if __name__ == "__main__":
    records.run(__file__, play)
