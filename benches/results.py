"""Result of one bounded measurement."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Result:
    """One measured figure and the bound that it must hold.

    Attributes:
        name: What was measured, with its unit.
        value: The measured figure.
        bound: The limit that comes from the stated target, or `None` for a
            figure that is only reported.
        at_most: Whether `bound` is an upper limit; otherwise it is a lower one.
    """

    name: str
    value: float
    bound: float | None = None
    at_most: bool = True

    @property
    def held(self) -> bool:
        """Whether the figure is within its bound."""
        if self.bound is None:
            return True
        if self.at_most:
            return self.value <= self.bound
        return self.value >= self.bound

    def __str__(self) -> str:
        if self.bound is None:
            return f"info {self.name}: {self.value:.6g}"
        verdict = "ok  " if self.held else "MISS"
        sign = "<=" if self.at_most else ">="
        figure = f"{self.value:.6g} {sign} {self.bound:.6g}"
        return f"{verdict} {self.name}: {figure}"
