"""A gateway that starts beside a lagging copy of the store keeps a replica.

`TROUBLE=0` plays the same with a store whose copies are both current.
"""

import concurrent.futures
import os
import tempfile
import time

from review.lab import callers
from review.lab import gateways
from review.lab import records
from review.lab import replicas
from review.lab import store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Lag of one of the two copies, below that of the site file's own entry
# `platform_compact` (5.5 s).
LAG_S = 5.0
DRAIN_S = 2.0
CONTACT_S = 3.0
# Time for which the replica serves after its entry was removed.
LINGER_S = 12.0
PLAY_S = 16.0
CALLERS = 16
PAUSE_S = 0.05
WORK_S = 0.1
ENGINES = 50
SETTLE_S = 7.0


def play(record):
    """Plays the case; returns whether the rule held."""
    shop = store.Store()
    desks = [
        replicas.Replica(f"i-desk-{n}", "booking-desk", f"zone-{n}")
        for n in range(3)
    ]
    engines = [
        replicas.Replica(f"i-assist-{n:02}", "assist-llm", f"zone-{n % 3}")
        for n in range(ENGINES)
    ]
    for desk in desks:
        desk.work_s = WORK_S
    document = store.build_configuration(
        store.build_route("booking-confirm", "unsafe", "booking-desk", 800),
        store.build_route("booking-status", "safe", "booking-desk", 800),
        services=("booking-desk", "assist-llm"),
    )
    shop.put("op/config", document)
    for replica in [*desks, *engines]:
        replica.register(shop)
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            nodes.extend(
                gateways.Gateway(folder, n, f"zone-{n}", shop.address)
                for n in range(2)
            )
            return _play(record, shop, desks, nodes)
        finally:
            for node in nodes:
                node.stop()
            for replica in [*desks, *engines]:
                replica.stop()
            shop.stop()


def _play(record, shop, desks, nodes):
    steady, added = nodes
    steady.start()
    steady.wait_ready()
    time.sleep(SETTLE_S)
    shop.stale_lag_s = LAG_S if TROUBLE else 0.0
    leaver = desks[2]
    gone_at = leaver.leave(shop)
    record.write(f"the entry of {leaver.identity} is removed", gone_at)
    added.start()
    added.wait_ready()
    record.write(f"{added.name} was started", added.started_at)
    for at, after, lag_s, count in list(shop.ranges):
        text = f"the store answers a page after {after!r} with {count} items"
        record.write(f"{text}, {lag_s:.1f} s old", at)
    end = gone_at + PLAY_S

    def call(number):
        node = nodes[number % 2]
        found = []
        while time.monotonic() < end:
            found.append(callers.ask(node, "booking-confirm", "POST", b"b"))
            time.sleep(PAUSE_S)
        return found

    with concurrent.futures.ThreadPoolExecutor(CALLERS + 1) as pool:
        futures = [pool.submit(call, n) for n in range(CALLERS)]
        time.sleep(max(0.0, gone_at + LINGER_S - time.monotonic()))
        leaver.stop()
        record.write(f"{leaver.identity} exits")
        attempts = [a for future in futures for a in future.result()]
    record.write_attempts(attempts)
    record.write_runs(desks)
    return _judge(record, leaver, nodes, attempts, gone_at)


def _judge(record, leaver, nodes, attempts, gone_at):
    """Counts requests that reached the replica too late."""
    by_id = {a.request_id: a for a in attempts}
    started = {node.name: node.started_at for node in nodes}
    late = []
    for request_id, at in leaver.arrivals:
        attempt = by_id[request_id]
        in_touch = attempt.sent_at > started[attempt.gateway] + CONTACT_S
        if at > gone_at + DRAIN_S and in_touch:
            late.append((attempt, at))
    for attempt, at in late:
        text = f"{attempt.request_id} by {attempt.gateway} reaches it"
        record.write(f"{text} {at - gone_at:.3f} s after the ack", at)
    lost = [a for a, _ in late if a.status != 200]
    counts = {n.name: sum(a.gateway == n.name for a, _ in late) for n in nodes}
    record.write(f"late arrivals: {counts}; of these not served: {len(lost)}")
    print(f"late arrivals {counts}, of these not served {len(lost)}")
    return not late


if __name__ == "__main__":
    records.run(__file__, play)
