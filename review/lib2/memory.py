"""The platform's limit on memory, and the callers of the memory cases."""

import asyncio
import json
import signal
import time

import harness

WATCH_INTERVAL_S = 0.05
RESTART_DELAY_S = 0.5
# The rule: processes end three times on two machines at least.
MACHINES, ENDS = 2, 3
# Answers that show that the deployment works.
MIN_SERVED = 100


class Watch:
    """Kills processes that exceed their memory, as the platform does.

    Args:
        deployment: The deployment.
    """

    def __init__(self, deployment):
        self._deployment = deployment
        self._restarts = set()
        self.ends = {gateway.name: 0 for gateway in deployment.gateways}
        self.peak_mb = dict.fromkeys(self.ends, 0.0)

    async def run(self):
        """Looks at all processes regularly."""
        while True:
            for gateway in self._deployment.gateways:
                self._check(gateway)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _check(self, gateway):
        used = gateway.read_memory_mb()
        self.peak_mb[gateway.name] = max(self.peak_mb[gateway.name], used)
        if used <= gateway.memory_mb:
            return
        self._deployment.record.write(
            f"{gateway.name} holds {used:.1f} MB of {gateway.memory_mb:.0f} MB"
            " and is killed"
        )
        self.ends[gateway.name] += 1
        gateway.send_signal(signal.SIGKILL)
        gateway.wait()
        restart = asyncio.create_task(self._restart(gateway))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)

    async def _restart(self, gateway):
        await asyncio.sleep(RESTART_DELAY_S)
        gateway.start()

    def is_broken(self):
        """Tells whether the rule is broken."""
        often = [name for name, count in self.ends.items() if count >= ENDS]
        return len(often) >= MACHINES


class Callers:
    """Callers that send one request after the other to their gateway.

    Args:
        deployment: The deployment.
        send: Coroutine function; sends a request to a gateway and returns its
            answer.
    """

    def __init__(self, deployment, send):
        self._deployment = deployment
        self._send = send
        self._sent = 0
        self._statuses = {}

    async def call(self, gateway):
        """Sends requests for ever."""
        while True:
            self._sent += 1
            status = (await self._send(gateway)).status
            self._statuses[status] = self._statuses.get(status, 0) + 1
            if not status:
                # The channel was closed.
                await asyncio.sleep(0.1)

    async def report(self):
        """Writes once a second what was sent, answered and run."""
        while True:
            self.write()
            await asyncio.sleep(1.0)

    def write(self):
        """Writes what was sent, answered and run."""
        runs = sum(replica.run_count for replica in self._deployment.replicas)
        memory = [
            f"{gateway.read_memory_mb():.1f}"
            for gateway in self._deployment.gateways
        ]
        self._deployment.record.write(
            f"sent {self._sent}, answered by status (0: closed channel)"
            f" {self._statuses}, run {runs}, MB held {' '.join(memory)}"
        )

    def has_served(self):
        """Tells whether the deployment has served requests."""
        return self._statuses.get(200, 0) >= MIN_SERVED


def build_route(timeout_ms):
    """Returns a streaming route like those of the site."""
    return harness.build_route(
        "r-draft",
        "/draft/",
        "streaming",
        "llm",
        streamResumption=True,
        sessionAffinity=True,
        maxAttempts=3,
        timeoutMs=timeout_ms,
        targetLatencyMs=2000,
        targetGapMs=1200,
    )


async def run_case(deployment, route, send, callers_per_gateway, length_s):
    """Plays a memory case and returns its result.

    Args:
        deployment: The deployment, whose replicas have been started.
        route: The route.
        send: As for `Callers`.
        callers_per_gateway: Number of callers.
        length_s: Seconds; it ends earlier once the rule is broken.
    """
    record = deployment.record
    configuration = harness.build_configuration([route], {"llm": {}})
    deployment.store.put("op/config", json.dumps(configuration))
    deployment.start_gateways(["halfway-tree", "downtown"])
    await asyncio.to_thread(deployment.wait_ready)
    for gateway in deployment.gateways:
        record.write(
            f"{gateway.name} is ready with {gateway.read_memory_mb():.1f} MB"
        )
    watch = Watch(deployment)
    callers = Callers(deployment, send)
    tasks = [
        asyncio.create_task(work)
        for work in (
            watch.run(),
            callers.report(),
            *(
                callers.call(gateway)
                for gateway in deployment.gateways
                for _ in range(callers_per_gateway)
            ),
        )
    ]
    until = time.monotonic() + length_s
    while time.monotonic() < until and not watch.is_broken():
        await asyncio.sleep(0.1)
    for task in tasks:
        task.cancel()
    callers.write()
    for name, count in watch.ends.items():
        record.write(
            f"{name} ended {count} times, peak {watch.peak_mb[name]:.1f} MB"
        )
    if watch.is_broken():
        return harness.BROKEN
    return harness.HELD if callers.has_served() else harness.NOT_RUN
