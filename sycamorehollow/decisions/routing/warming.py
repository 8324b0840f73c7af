"""State of one upstream that is cold or that returns to service."""

import dataclasses

# The growth after a return doubles the load in each service time; a process
# with this multiple of `bearable` has made three doublings.
RETURN_FACTOR = 8
# Ends the return at processes that have too little work to reach the multiple.
RETURN_LIMIT_S = 120.0


@dataclasses.dataclass
class Warming:
    """State of one upstream.

    Attributes:
        episode: Counts cold turns that were noticed within one generation.
        cold_since: Local time at which the cold turn was noticed.
        returning: Whether load still grows after a return to service, even
            if reports say warm.
        reported_at: Measurement time of the last report.
        completed: Own completions of attempts that started in this cold start.
        running: Own attempts; each with the (generation, episode) of the cold
            start that it started in, or `None` if it started warm.
        lent: Units and the local time until which they are not used here.
        borrowed: Units and the local time until which they may be used.
    """

    bearable: int
    data_centre: str
    generation: int = 0
    episode: int = 0
    cold: bool = True
    cold_since: float = float("-inf")
    returning: bool = False
    reported_at: float = float("-inf")
    completed: int = 0
    running: dict[str, tuple[int, int] | None] = dataclasses.field(
        default_factory=dict
    )
    lent: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    borrowed: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    @property
    def limited(self) -> bool:
        """Whether starts are limited whatever the age of the report."""
        return self.cold or self.returning

    @property
    def turn(self) -> list[int]:
        """Order of what is known of cold turns; the end of a return is last."""
        return [self.generation, self.episode, int(not self.returning)]


def end_return(state: Warming, now: float) -> None:
    """Ends the growth after a return when it has gone far enough."""
    grown = state.completed >= RETURN_FACTOR * max(1, state.bearable)
    if grown or now - state.cold_since >= RETURN_LIMIT_S:
        state.returning = False


def is_presumed_cold(state: Warming, now: float, trust_s: float) -> bool:
    """Tells whether the upstream is cold or its last report is too old."""
    return state.limited or now - state.reported_at >= trust_s
