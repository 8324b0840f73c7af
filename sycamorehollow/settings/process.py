"""INI settings of an entry process: models, parsing and error reports."""

from collections.abc import Mapping
import configparser
import dataclasses
import ipaddress
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeAlias
import urllib.parse

import pydantic

# An HMAC-SHA256 key that is shorter than the hash weakens the signature.
MIN_KEY_BYTES = 32
# A shorter operator token could be guessed.
MIN_TOKEN_LENGTH = 16
# Values of these sections are masked in faults.
SECRET_SECTIONS = ("sessions", "operators")


@dataclasses.dataclass(frozen=True)
class Fault:
    """A missing or invalid setting.

    Attributes:
        section: Section of the INI file; empty if the whole file is invalid.
        key: Key in the section; empty if the whole section is invalid.
        value: The value found; empty if missing, masked if secret.
        expectation: Description of the expected value.
    """

    section: str
    key: str
    value: str
    expectation: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.key}".strip()
        return f"{place} = {self.value!r}: {self.expectation}"


def check_address(value: str) -> str:
    """Returns the value unchanged if it is an IP address with a port.

    Raises:
        ValueError: If it is not.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError("expected an IP address and a port as in 10.0.0.1:80")
    return value


def _check_url(value: str) -> str:
    parts = urllib.parse.urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError("expected a URL as in http://10.0.0.1:80")
    return value.rstrip("/")


def _split_list(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    return [part.strip() for part in value.split(",") if part.strip()]


def _parse_keys(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    keys: dict[str, bytes] = {}
    for entry in _split_list(value):
        key_id, colon, digits = entry.partition(":")
        key_id = key_id.strip()
        try:
            secret = bytes.fromhex(digits)
        except ValueError:
            secret = b""
        if not colon or not key_id or len(secret) < MIN_KEY_BYTES:
            raise ValueError(
                "expected id:hex, id:hex with at least"
                f" {MIN_KEY_BYTES} bytes in each key"
            )
        if key_id in keys:
            raise ValueError(f"expected each id once, found {key_id} twice")
        keys[key_id] = secret
    return keys


Address: TypeAlias = Annotated[str, pydantic.AfterValidator(check_address)]
Url: TypeAlias = Annotated[str, pydantic.AfterValidator(_check_url)]
Name: TypeAlias = Annotated[str, pydantic.Field(min_length=1)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True
    )


class ProcessSection(_Section):
    """Identity and addresses of the process.

    Attributes:
        name: Name of the process in logs and status.
        address: IP address and port of the HTTP server for callers.
        peer_address: IP address and port for other entry processes.
        data_centre: Name of the data centre of this process.
        region: Name of the region of this process.
        slot: Index of this process among the slots of the data centre.
        slots: Number of slots of the data centre.
    """

    name: Name
    address: Address
    peer_address: Address
    data_centre: Name
    region: Name
    slot: int = pydantic.Field(ge=0)
    slots: int = pydantic.Field(ge=1)

    @pydantic.model_validator(mode="after")
    def _check_slot(self) -> "ProcessSection":
        if self.slot >= self.slots:
            raise ValueError("expected slot to be lower than slots")
        return self


class UrlSection(_Section):
    """Base URL of a platform service."""

    url: Url


class PeersSection(_Section):
    """Other entry processes to contact at start-up."""

    seeds: Annotated[list[Address], pydantic.BeforeValidator(_split_list)] = []


class SessionsSection(_Section):
    """Key ring for session tokens; the first key signs new ones."""

    keys: Annotated[
        dict[str, bytes],
        pydantic.BeforeValidator(_parse_keys),
        pydantic.Field(min_length=1),
    ]


class MetricsSection(_Section):
    """Address of the statsd server."""

    host: Name = "127.0.0.1"
    port: int = pydantic.Field(default=8125, ge=1, le=65535)


class LogsSection(_Section):
    """Settings of the log output."""

    level: Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class OperatorsSection(_Section):
    """Authentication of operators.

    Attributes:
        token: Bearer token; if empty, all operator requests are rejected.
    """

    token: str = pydantic.Field(
        default="", min_length=MIN_TOKEN_LENGTH, pattern=r"^[!-~]+$"
    )


class RolloutsSection(_Section):
    """Minimum requirements for advancing a roll-out to the next stage.

    Attributes:
        dwell_s: Seconds at the stage.
        outcomes: Ended responses of the new version.
        ratings: Rated responses of the new version.
    """

    dwell_s: float = pydantic.Field(default=300.0, ge=0, allow_inf_nan=False)
    outcomes: int = pydantic.Field(default=50, ge=0)
    ratings: int = pydantic.Field(default=20, ge=0)


class Settings(_Section):
    """All settings of an entry process."""

    process: ProcessSection
    store: UrlSection
    peers: PeersSection = PeersSection()
    vms: UrlSection
    ratings: UrlSection
    sessions: SessionsSection
    metrics: MetricsSection = MetricsSection()
    logs: LogsSection = LogsSection()
    operators: OperatorsSection = OperatorsSection()
    rollouts: RolloutsSection = RolloutsSection()


def read_settings(path: str) -> Settings | list[Fault]:
    """Reads and validates an INI file.

    Returns:
        The settings, or all faults of the file.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return [Fault("", "", path, f"expected a readable file: {error}")]
    return parse_settings(text)


def parse_settings(text: str) -> Settings | list[Fault]:
    """Validates the content of an INI file.

    Returns:
        The settings, or all faults of the content.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as error:
        reason = " ".join(str(error).split())
        return [Fault("", "", "", f"expected an INI file: {reason}")]
    sections = {name: dict(parser[name]) for name in parser.sections()}
    if parser.defaults():
        sections["DEFAULT"] = dict(parser.defaults())
    try:
        return Settings.model_validate(sections)
    except pydantic.ValidationError as error:
        return [
            _build_fault(sections, entry)
            for entry in _expand_missing_sections(sections, error)
        ]


def _expand_missing_sections(
    sections: Mapping[str, Mapping[str, str]], error: pydantic.ValidationError
) -> list[Any]:
    """Returns the errors; replaces a missing section by its required keys."""
    entries: list[Any] = []
    for entry in error.errors(include_input=False):
        name = str(entry["loc"][0])
        if len(entry["loc"]) > 1 or entry["type"] != "missing":
            entries.append(entry)
            continue
        section = Settings.model_fields[name].annotation
        try:
            assert section is not None
            section.model_validate({})
        except pydantic.ValidationError as inner:
            for missing in inner.errors(include_input=False):
                missing["loc"] = (name, *missing["loc"])
                entries.append(missing)
    return entries


def _build_fault(
    sections: Mapping[str, Mapping[str, str]], entry: Any
) -> Fault:
    location = [str(part) for part in entry["loc"]]
    section = location[0]
    key = location[1] if len(location) > 1 else ""
    value = sections.get(section, {}).get(key, "")
    if section in SECRET_SECTIONS and value:
        value = "(secret)"
    if section == "process" and not key:
        key, value = "slot", sections[section].get("slot", "")
    if entry["type"] == "missing":
        return Fault(section, key, "", "expected a value, it is missing")
    if entry["type"] == "extra_forbidden":
        what = "key" if key else "section"
        return Fault(section, key, value, f"unknown {what}, expected none")
    message = str(entry["msg"]).removeprefix("Value error, ")
    return Fault(section, key, value, message)
