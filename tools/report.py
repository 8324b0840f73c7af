"""Draws worth and broken rules over time, for each site of the journal.

    python -m tools.report --journal journal --output build/report

writes a table, `report.md`, and a plot a site, `SITE.svg`.
"""

import argparse
import collections
from collections.abc import Iterable
import dataclasses
import datetime
import pathlib
import statistics
import sys

import loguru
from matplotlib import axes
from matplotlib import figure
import pydantic

ROOT = pathlib.Path(__file__).resolve().parent.parent
COMMANDS = ("score", "hunt")
# Days that a score draws by itself; they differ from score to score.
DRAWN_PREFIX = "fresh-"
CALM_SLOT = "quiet"
SIZE_INCHES = (9.0, 6.0)


class _Day(pydantic.BaseModel):
    name: str
    # The field of this name is the day's worth.
    worth: float = pydantic.Field(alias="G")
    slot: str = ""
    rules: dict[str, int] = {}
    gate: bool = True


class _Entry(pydantic.BaseModel):
    at: tuple[str, str]
    cmd: str
    head: str | None = None
    site: str | None = None
    why: str | None = None
    edited_meanwhile: bool | None = False
    days: list[_Day] = []


@dataclasses.dataclass(frozen=True)
class Round:
    """One score or hunt of a site.

    Attributes:
        worth: Worth by day; the standard days of a score, or all of a hunt.
        troubled: Mean worth of the standard days with trouble; `None` for a
            hunt.
        broken: How often each rule was broken.
        edited: Whether sources changed while it ran.
    """

    at: datetime.datetime
    command: str
    site: str
    commit: str
    why: str
    worth: dict[str, float]
    troubled: float | None
    broken: dict[str, int]
    passed: bool
    edited: bool


def read_rounds(folder: pathlib.Path) -> list[Round]:
    """Returns the scores and hunts of a journal in their order."""
    rounds = []
    for path in sorted(folder.glob("*.json")):
        try:
            entry = _Entry.model_validate_json(path.read_text("utf-8"))
        except pydantic.ValidationError as error:
            loguru.logger.warning("{} is left out: {}", path.name, error)
            continue
        if entry.cmd not in COMMANDS or not entry.site or not entry.days:
            continue
        rounds.append(_build_round(entry, entry.site))
    return sorted(rounds, key=lambda one: one.at)


def _build_round(entry: _Entry, site: str) -> Round:
    standard = entry.days
    troubled = None
    if entry.cmd == "score":
        standard = [
            day for day in entry.days if not day.name.startswith(DRAWN_PREFIX)
        ]
        values = [day.worth for day in standard if day.slot != CALM_SLOT]
        troubled = statistics.fmean(values) if values else None
    broken: collections.Counter[str] = collections.Counter()
    for day in entry.days:
        broken.update(day.rules)
    return Round(
        datetime.datetime.fromisoformat(entry.at[0]),
        entry.cmd,
        site,
        (entry.head or "")[:7],
        entry.why or "",
        {day.name: day.worth for day in standard},
        troubled,
        dict(broken),
        all(day.gate for day in entry.days),
        bool(entry.edited_meanwhile),
    )


def format_table(rounds: Iterable[Round]) -> str:
    """Returns a Markdown table of one site."""
    lines = [
        "| time | commit | run | days | mean worth | with trouble | least |"
        " broken rules | gate |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for one in rounds:
        worth = list(one.worth.values())
        troubled = "" if one.troubled is None else f"{one.troubled:.3f}"
        broken = ", ".join(f"{k} {v}" for k, v in sorted(one.broken.items()))
        run = f"{one.command}, edited" if one.edited else one.command
        lines.append(
            f"| {one.at:%m-%d %H:%M} | {one.commit} | {run} | {len(worth)}"
            f" | {statistics.fmean(worth):.3f} | {troubled}"
            f" | {min(worth):.3f} | {broken or 'none'}"
            f" | {'passed' if one.passed else 'failed'} |"
        )
    return "\n".join(lines)


def draw(site: str, rounds: list[Round], path: pathlib.Path) -> None:
    """Writes the plot of one site."""
    canvas = figure.Figure(figsize=SIZE_INCHES, layout="constrained")
    upper, lower = canvas.subplots(2, sharex=True, height_ratios=(3, 1))
    canvas.suptitle(site)
    _draw_worth(upper, rounds)
    places = range(len(rounds))
    lower.bar(places, [sum(one.broken.values()) for one in rounds])
    lower.set_ylabel("broken rules")
    lower.set_xticks(
        places, [f"{one.commit}\n{one.command}" for one in rounds], fontsize=7
    )
    canvas.savefig(path)


def _draw_worth(panel: axes.Axes, rounds: list[Round]) -> None:
    for place, one in enumerate(rounds):
        values = list(one.worth.values())
        panel.plot([place] * len(values), values, ".", color="silver")
    for command in COMMANDS:
        means = [
            (place, statistics.fmean(one.worth.values()))
            for place, one in enumerate(rounds)
            if one.command == command
        ]
        if means:
            panel.plot(*zip(*means, strict=True), "o-", label=command)
    panel.set_ylabel("worth")
    panel.legend(title="mean of the days of a")


def main(argv: list[str] | None = None) -> int:
    """Writes the report."""
    parser = argparse.ArgumentParser(prog="report", description=__doc__)
    parser.add_argument(
        "--journal", type=pathlib.Path, default=ROOT / "journal"
    )
    parser.add_argument(
        "--output", type=pathlib.Path, default=ROOT / "build" / "report"
    )
    arguments = parser.parse_args(argv)
    by_site: dict[str, list[Round]] = {}
    for one in read_rounds(arguments.journal):
        by_site.setdefault(one.site, []).append(one)
    if not by_site:
        print("the journal has no score and no hunt", file=sys.stderr)
        return 1
    arguments.output.mkdir(parents=True, exist_ok=True)
    sections = []
    for site, rounds in sorted(by_site.items()):
        draw(site, rounds, arguments.output / f"{site}.svg")
        sections.append(
            f"## {site}\n\n![worth over time]({site}.svg)\n\n"
            + format_table(rounds)
        )
    text = "# Scores and hunts\n\n" + "\n\n".join(sections) + "\n"
    (arguments.output / "report.md").write_text(text, encoding="utf-8")
    print(text)
    return 0


if __name__ == "__main__":
    sys.exit(main())
