"""Parses the lines of the platform's settings file.

Has few imports, as it is used before the other modules are loaded.
"""

import pathlib

ENVIRONMENT_VARIABLE = "SYCAMOREHOLLOW_NODE_FILE"
_FRONT_KEY = "listen.front"


def parse_lines(text: str) -> dict[str, str]:
    """Parses lines of the form `a.b=value`."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.strip().partition("=")
        if separator:
            values[key.strip()] = value.strip()
    return values


def read_front_address(path: pathlib.Path) -> tuple[str, int] | None:
    """Returns the host and port for callers, if the file has them."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError):
        # The error is reported when all settings are read.
        return None
    host, _, port = parse_lines(text).get(_FRONT_KEY, "").rpartition(":")
    return (host, int(port)) if host and port.isdecimal() else None
