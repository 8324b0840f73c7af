"""Findings of the check of a gateway configuration."""

import dataclasses
import enum
import json
from typing import Any
from typing import TypeAlias

MAX_VALUE_LENGTH = 60
# Entries with API keys, and their fields that may be shown.
SECRET_SECTION = "tenants"
SECRET_FIELD = "apiKeys"
PUBLIC_FIELDS = ("name", "priority")
DOCUMENT = "document"
HIDDEN = "(hidden)"

Place: TypeAlias = tuple[str | int, ...]


class Level(enum.Enum):
    """Severity of a finding.

    An error makes the configuration or a part of it unusable; a warning points
    at something without effect, or with an effect that is hardly intended.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True)
class Finding:
    """Something that a configuration should not have.

    Attributes:
        place: Fields and positions that lead to the value, as in
            `routes.0.kind`.
        value: The value found, shortened; empty for secrets.
        expected: What is expected, and the effect of the value.
    """

    level: Level
    place: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.level.value}: {self.place} = {self.value}: " + (
            self.expected
        )


def error(place: Place, value: Any, expected: str) -> Finding:
    """Returns an error."""
    return Finding(
        Level.ERROR, format_place(place), format_value(place, value), expected
    )


def warn(place: Place, value: Any, expected: str) -> Finding:
    """Returns a warning."""
    return Finding(
        Level.WARNING, format_place(place), format_value(place, value), expected
    )


def format_place(place: Place) -> str:
    """Returns a place as text."""
    return ".".join(str(part) for part in place) or DOCUMENT


def format_value(place: Place, value: Any) -> str:
    """Returns a value as JSON, shortened, or a mark in place of secrets."""
    # The value is the whole text if that is no JSON document.
    if not place or value == HIDDEN:
        return HIDDEN
    if SECRET_SECTION in place and place[-1] not in PUBLIC_FIELDS:
        return HIDDEN
    text = json.dumps(value, default=str)
    if SECRET_FIELD in text:
        return HIDDEN
    if len(text) > MAX_VALUE_LENGTH:
        text = text[: MAX_VALUE_LENGTH - 3] + "..."
    return text
