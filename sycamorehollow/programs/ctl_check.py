"""Command of `sycamorectl` that checks a gateway configuration."""

import argparse
import dataclasses
import pathlib
import sys
from typing import Any

from sycamorehollow.platform import configuration_changes
from sycamorehollow.platform import configuration_findings
from sycamorehollow.platform import configuration_rules
from sycamorehollow.platform import documents

# Exit statuses.
SOUND = 0
WARNINGS = 1
ERRORS = 2


@dataclasses.dataclass(frozen=True)
class Report:
    """Result of a check."""

    findings: list[configuration_findings.Finding]
    differences: list[configuration_changes.Difference]

    @property
    def errors(self) -> int:
        """Number of errors."""
        error = configuration_findings.Level.ERROR
        return sum(found.level is error for found in self.findings)

    @property
    def warnings(self) -> int:
        """Number of warnings."""
        return len(self.findings) - self.errors

    @property
    def status(self) -> int:
        """Exit status of the command."""
        if self.errors:
            return ERRORS
        return WARNINGS if self.warnings else SOUND

    def build_document(self) -> dict[str, Any]:
        """Returns the report as a JSON document."""
        return {
            "errors": self.errors,
            "warnings": self.warnings,
            "findings": [
                {**dataclasses.asdict(found), "level": found.level.value}
                for found in self.findings
            ],
            "differences": [
                dataclasses.asdict(found) for found in self.differences
            ],
        }

    def list_lines(self) -> list[str]:
        """Returns the report as lines of text."""
        return [
            *(str(found) for found in self.findings),
            *(str(found) for found in self.differences),
            f"{self.errors} errors, {self.warnings} warnings,"
            f" {len(self.differences)} differences",
        ]


def check_configuration(args: argparse.Namespace) -> Report:
    """Checks a gateway configuration before it is sent."""
    text = _read(args.file)
    if isinstance(text, configuration_findings.Finding):
        return Report([text], [])
    found = configuration_rules.check(text)
    if args.against is None:
        return Report(found, [])
    current = _read(args.against)
    if isinstance(current, configuration_findings.Finding):
        return Report([*found, current], [])
    before = documents.validate_configuration(current)
    after = documents.validate_configuration(text)
    if isinstance(before, list):
        return Report([*found, _reject(args.against)], [])
    if isinstance(after, list):
        return Report(found, [])
    return Report(
        [*found, *configuration_changes.check_version(before, after)],
        configuration_changes.compare(before, after),
    )


def _reject(name: str) -> configuration_findings.Finding:
    return configuration_findings.error(
        ("--against",), name, "is no valid configuration; check it by itself"
    )


def _read(name: str) -> str | configuration_findings.Finding:
    """Reads a file, or standard input for `-`."""
    try:
        if name == "-":
            return sys.stdin.read()
        return pathlib.Path(name).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return configuration_findings.error(
            ("file",), name, f"cannot be read: {error}"
        )
