"""A model engine in simulated time that may be cold without telling."""

import dataclasses

from benches import fakes

# A cold engine works at this part of its rate.
COLD_RATE = 0.5
# Completions after which a cold engine is warm, as a multiple of `bearable`.
WARM_AFTER = 3


@dataclasses.dataclass
class Job:
    """A request that runs, with its remaining work in output tokens."""

    tokens: int
    prompt_work: float
    output_work: float


@dataclasses.dataclass(frozen=True)
class Progress:
    """The first token or the end of a request.

    Attributes:
        done: Whether the response is complete.
        at: Simulated time in seconds.
    """

    job: str
    done: bool
    at: float


class TimedEngine:
    """An engine whose requests share its rate.

    Attributes:
        excess: Most requests above what it bore while cold.
        offers: Times at which requests arrived.
    """

    def __init__(
        self,
        name: str,
        capacity_tokens: int,
        rate: float,
        request_rate: float,
        bearable: int,
    ):
        self.name = name
        self.capacity_tokens = capacity_tokens
        self.bearable = bearable
        self.held_tokens = 0
        self.excess = 0
        self.offers: list[float] = []
        self._rate = rate
        self._request_rate = request_rate
        self._jobs: dict[str, Job] = {}
        self._completed = 0
        self._cold = False

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._jobs)

    @property
    def cold(self) -> bool:
        """Whether it is cold; its reports do not tell."""
        return self._cold

    def turn_cold(self) -> None:
        """Loses its caches without notice."""
        self._cold = True
        self._completed = 0

    def offer(self, job: str, prompt: int, output: int, now: float) -> bool:
        """Starts a request, or refuses it when the memory is full."""
        self.offers.append(now)
        if self.held_tokens + prompt + output > self.capacity_tokens:
            return False
        self.held_tokens += prompt + output
        self._jobs[job] = Job(
            prompt + output, fakes.PROMPT_WORK * prompt, output
        )
        if self._cold:
            grown = max(0, self._completed - self.bearable)
            over = len(self._jobs) - self.bearable - grown
            self.excess = max(self.excess, over)
        return True

    def cancel(self, job: str) -> None:
        """Ends a request."""
        found = self._jobs.pop(job, None)
        if found is not None:
            self.held_tokens -= found.tokens

    def advance(self, now: float, step_s: float) -> list[Progress]:
        """Works for a step that starts now."""
        if not self._jobs:
            return []
        rate = self._rate * (COLD_RATE if self._cold else 1.0)
        each = min(self._request_rate, rate / len(self._jobs))
        seen = []
        for name, job in list(self._jobs.items()):
            work = each * step_s
            if job.prompt_work > 0:
                job.prompt_work -= work
                if job.prompt_work > 0:
                    continue
                work = -job.prompt_work
                seen.append(Progress(name, False, now + step_s - work / each))
            job.output_work -= work
            if job.output_work <= 0:
                late_s = -job.output_work / each
                seen.append(Progress(name, True, now + step_s - late_s))
                self._finish(name)
        return seen

    def _finish(self, name: str) -> None:
        self.held_tokens -= self._jobs.pop(name).tokens
        self._completed += 1
        if self._completed >= WARM_AFTER * self.bearable:
            self._cold = False
