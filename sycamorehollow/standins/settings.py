"""Settings of the stand-ins: INI files, overrides and their validation."""

import configparser
import pathlib
from typing import Literal
from typing import TypeVar

import pydantic

AnySettings = TypeVar("AnySettings", bound="Settings")


class Section(pydantic.BaseModel):
    """Base of a section; unknown keys are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class ServerSection(Section):
    """Address and size of the HTTP server.

    Port 0 picks a free port.
    """

    address: str = "127.0.0.1"
    port: int = pydantic.Field(default=0, ge=0, le=65535)
    threads: int = pydantic.Field(default=32, ge=1, le=512)


class Settings(Section):
    """Base of the settings of a stand-in."""

    server: ServerSection = ServerSection()


class EngineSection(Section):
    """What an engine serves and how fast.

    Rates are in tokens a second; one token is one event of a stream.
    """

    name: str = "engine"
    versions: str = "atlas-small-1"
    role: str = "mixed"
    tokens_per_s: float = pydantic.Field(default=50.0, gt=0)
    prefill_tokens_per_s: float = pydantic.Field(default=50_000.0, gt=0)
    first_token_s: float = pydantic.Field(default=0.02, ge=0)
    output_tokens: int = pydantic.Field(default=32, ge=1)
    max_running: int = pydantic.Field(default=400, ge=1)
    retain_s: float = pydantic.Field(default=30.0, ge=0)
    seed: int = 1


class MemorySection(Section):
    """Memory in tokens; the engine crashes when it holds more.

    `refuse_share` is the share of the memory from which new work is refused;
    0 turns the refusal off, so that only the crash is left.
    """

    capacity_tokens: int = pydantic.Field(default=200_000, ge=1)
    refuse_share: float = pydantic.Field(default=0.95, ge=0, le=1)
    restart_s: float = pydantic.Field(default=1.0, ge=0)


class ColdSection(Section):
    """Cold start: how much is borne and what happens above it."""

    starts_cold: bool = False
    bearable: int = pydantic.Field(default=2, ge=1)
    warm_after: int = pydantic.Field(default=8, ge=1)
    slowdown: float = pydantic.Field(default=3.0, ge=1)
    overload: Literal["refuse", "crash"] = "refuse"


class ReportSection(Section):
    """Lag of load reports; delay and gaps of cache events."""

    lag_s: float = pydantic.Field(default=0.5, ge=0)
    cache_delay_s: float = pydantic.Field(default=1.0, ge=0)
    cache_gap_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    cache_blocks: int = pydantic.Field(default=1_000, ge=1)


class OrderSection(Section):
    """How orders are taken."""

    checks_fence: bool = True
    load_s: float = pydantic.Field(default=0.5, ge=0)


class EngineSettings(Settings):
    """Settings of the engine."""

    engine: EngineSection = EngineSection()
    memory: MemorySection = MemorySection()
    cold: ColdSection = ColdSection()
    reports: ReportSection = ReportSection()
    orders: OrderSection = OrderSection()


class StoreSection(Section):
    """Limits of the store; rates are calls a second, 0 means unlimited."""

    reads_per_s: float = pydantic.Field(default=2_000.0, ge=0)
    writes_per_s: float = pydantic.Field(default=400.0, ge=0)
    max_value_bytes: int = pydantic.Field(default=1_048_576, ge=1)
    history: int = pydantic.Field(default=10_000, ge=1)
    max_watch_s: float = pydantic.Field(default=60.0, gt=0)


class StoreSettings(Settings):
    """Settings of the store."""

    server: ServerSection = ServerSection(threads=128)
    store: StoreSection = StoreSection()


class ServiceSection(Section):
    """Operations of a plain service, separated by commas.

    `reads` are the operations without an effect. `ledger` is the URL of the
    replica that keeps the effects of all replicas, or empty for its own.
    """

    name: str = "service"
    operations: str = "lodge"
    reads: str = "status"
    work_s: float = pydantic.Field(default=0.01, ge=0)
    ledger: str = ""


class ServiceSettings(Settings):
    """Settings of the plain service."""

    service: ServiceSection = ServiceSection()


class VmSection(Section):
    """VM list: items `address/data centre/state`, separated by commas."""

    vms: str = ""
    lag_s: float = pydantic.Field(default=2.0, ge=0)


class VmSettings(Settings):
    """Settings of the VM list."""

    vms: VmSection = VmSection()


class RatingSection(Section):
    """When ratings come, how many are lost and how noisy they are."""

    seed: int = 1
    delay_s: float = pydantic.Field(default=0.1, ge=0)
    jitter_s: float = pydantic.Field(default=0.1, ge=0)
    lost_share: float = pydantic.Field(default=0.1, ge=0, le=1)
    noise: float = pydantic.Field(default=0.1, ge=0)
    default_quality: float = pydantic.Field(default=0.8, ge=0, le=1)


class NumberSection(pydantic.RootModel[dict[str, float]]):
    """Numbers by `version` or `version/kind`."""


class RatingSettings(Settings):
    """Settings of the rating service.

    `quality` is the mean score; `drift` is its change with each rating.
    """

    ratings: RatingSection = RatingSection()
    quality: NumberSection = NumberSection({})
    drift: NumberSection = NumberSection({})


class WeightSection(Section):
    """Rate limit of the weight store in calls a second."""

    calls_per_s: float = pydantic.Field(default=5.0, ge=0)
    retry_after_s: int = pydantic.Field(default=1, ge=0)
    size_bytes: int = pydantic.Field(default=1_000_000, ge=0)


class WeightSettings(Settings):
    """Settings of the weight store."""

    weights: WeightSection = WeightSection()


class SettingsError(Exception):
    """Settings with errors, one line each."""

    def __init__(self, errors: list[str]):
        super().__init__("\n".join(errors))
        self.errors = errors


def read_settings(
    model: type[AnySettings], path: str, overrides: list[str]
) -> AnySettings:
    """Reads the INI file, applies `section.key=value` and validates.

    Args:
        model: Settings class of the stand-in.
        path: Path of the INI file, or empty.
        overrides: Items of the form `section.key=value`.

    Raises:
        SettingsError: With every error that was found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    # Names of versions keep their case.
    parser.optionxform = str  # type: ignore[method-assign,assignment]
    errors: list[str] = []
    if path:
        try:
            parser.read_string(pathlib.Path(path).read_text(encoding="utf-8"))
        except (OSError, configparser.Error) as error:
            raise SettingsError([f"{path}: {error}"]) from error
    errors.extend(_apply_overrides(parser, overrides))
    document = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        settings = model.model_validate(document)
    except pydantic.ValidationError as failure:
        errors.extend(_describe(error) for error in failure.errors())
        settings = model()
    if errors:
        raise SettingsError(errors)
    return settings


def _apply_overrides(
    parser: configparser.ConfigParser, overrides: list[str]
) -> list[str]:
    """Applies `section.key=value` items and returns the malformed ones."""
    errors = []
    for item in overrides:
        left, found, value = item.partition("=")
        section, dot, key = left.partition(".")
        if not found or not dot:
            errors.append(f"--set {item}: expected section.key=value")
            continue
        if not parser.has_section(section):
            parser.add_section(section)
        parser.set(section, key, value)
    return errors


def _describe(error) -> str:
    """Names section, key, value and expected value of one error."""
    where = [str(part) for part in error["loc"]]
    section = where[0] if where else "?"
    key = where[1] if len(where) > 1 else "?"
    return (
        f"section {section}, key {key}, value {error['input']!r}:"
        f" {error['msg']}"
    )
