"""Cold-start state of one upstream, and its ramp-up after a drain."""

import dataclasses

# During ramp-up the load doubles in each service time; a process that has
# completed this multiple of `bearable` has gone through three doublings.
RAMP_UP_FACTOR = 8
# Ends the ramp-up at processes that have too little work to reach the factor.
RAMP_UP_LIMIT_S = 120.0


@dataclasses.dataclass
class ColdState:
    """Cold-start state of one upstream, as one process knows it.

    Attributes:
        bearable: Requests that the upstream bears at once while cold.
        generation: Number of the upstream's run; a restart has a higher one.
        episode: Number of the cold start within the generation.
        cold_since: Local time at which the cold start was detected.
        ramping_up: Whether the load is still limited after a return to
            service, even if reports say that the upstream is warm.
        reported_at: Measurement time of the last report.
        completed: Completed attempts of this process that started in this
            cold start.
        running: Attempts of this process; each with the (generation, episode)
            of the cold start that it started in, or `None` if it started warm.
        lent: Permits lent to peers, and the local time until which this
            process does not use them.
        borrowed: Permits borrowed from peers, and the local time until which
            this process may use them.
    """

    bearable: int
    data_centre: str
    generation: int = 0
    episode: int = 0
    cold: bool = True
    cold_since: float = float("-inf")
    ramping_up: bool = False
    reported_at: float = float("-inf")
    completed: int = 0
    running: dict[str, tuple[int, int] | None] = dataclasses.field(
        default_factory=dict
    )
    lent: list[tuple[int, float]] = dataclasses.field(default_factory=list)
    borrowed: list[tuple[int, float]] = dataclasses.field(default_factory=list)

    @property
    def is_limited(self) -> bool:
        """Whether starts are limited regardless of the age of the report."""
        return self.cold or self.ramping_up

    @property
    def epoch(self) -> list[int]:
        """Orders states of the upstream; the highest one replaces the others.

        Within one episode the state after the end of the ramp-up is higher.
        """
        return [self.generation, self.episode, int(not self.ramping_up)]


def end_ramp_up(state: ColdState, now: float) -> None:
    """Ends the ramp-up after enough completions or the time limit."""
    grown = state.completed >= RAMP_UP_FACTOR * max(1, state.bearable)
    if grown or now - state.cold_since >= RAMP_UP_LIMIT_S:
        state.ramping_up = False


def is_presumed_cold(
    state: ColdState, now: float, warm_report_ttl_s: float
) -> bool:
    """Returns whether the upstream is cold or its last report is too old."""
    return state.is_limited or now - state.reported_at >= warm_report_ttl_s
