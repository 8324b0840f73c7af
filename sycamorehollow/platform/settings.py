"""Reads the settings file that the platform provides to a process."""

from collections.abc import Mapping
import pathlib
from typing import Annotated
from typing import Any

import pydantic

from sycamorehollow.platform import settings_lines
from sycamorehollow.settings import gateway
from sycamorehollow.settings import process

_Address = Annotated[str, pydantic.AfterValidator(process.check_address)]
_Milliseconds = Annotated[float, pydantic.Field(ge=0)]


class _Listen(pydantic.BaseModel):
    front: _Address
    ready: _Address


class _Bounds(pydantic.BaseModel):
    drainMs: _Milliseconds  # noqa: N815
    graceS: float = pydantic.Field(gt=0)  # noqa: N815
    retryBudgetRatio: float = pydantic.Field(ge=0)  # noqa: N815
    budgetWindowS: float = pydantic.Field(gt=0)  # noqa: N815
    # Not a minimum: retries allowed in addition to the ratio, over all nodes.
    budgetMinRetries: float = pydantic.Field(ge=0)  # noqa: N815
    exposeShare: float = pydantic.Field(1.0, gt=0, le=1)  # noqa: N815
    exposeSlack: float = pydantic.Field(0.0, ge=0)  # noqa: N815
    coldOverage: float = pydantic.Field(1.0, gt=0)  # noqa: N815
    coldSlack: float = pydantic.Field(0.0, ge=0)  # noqa: N815
    # Time within which processing a shared part of a prompt again is billed.
    reuseWindowS: float = pydantic.Field(0.0, ge=0)  # noqa: N815
    leaseMs: float = pydantic.Field(3000.0, gt=0)  # noqa: N815
    reportWindowS: float = pydantic.Field(5.0, gt=0)  # noqa: N815
    usageLateS: float = pydantic.Field(10.0, gt=0)  # noqa: N815


class _Limits(pydantic.BaseModel):
    linkMbps: float = pydantic.Field(default=0.0, ge=0)  # noqa: N815
    memoryMb: float = pydantic.Field(default=0.0, ge=0)  # noqa: N815
    maxFds: int = pydantic.Field(default=0, ge=0)  # noqa: N815
    # Room for the largest body that the platform allows.
    requestMemoryMb: float = pydantic.Field(default=0.0, ge=8)  # noqa: N815
    callerConnections: int = pydantic.Field(default=0, ge=16)  # noqa: N815
    # A head of 16,384 bytes holds at most 4,096 lines.
    headerLines: int = pydantic.Field(default=4096, ge=64)  # noqa: N815
    emptyLineBytes: int = pydantic.Field(default=16384, ge=2)  # noqa: N815
    bodyWaitMs: _Milliseconds = 5000  # noqa: N815


class _Platform(pydantic.BaseModel):
    address: _Address


class _Cloud(pydantic.BaseModel):
    address: _Address | None = None
    duties: tuple[str, ...] = ()
    dutyPerS: float = pydantic.Field(default=50.0, gt=0)  # noqa: N815

    @pydantic.field_validator("duties", mode="before")
    @classmethod
    def _split_names(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        return [name.strip() for name in value.split(",") if name.strip()]


class _File(pydantic.BaseModel):
    nodeName: str = pydantic.Field(min_length=1)  # noqa: N815
    ip: str
    zone: str = pydantic.Field(min_length=1)
    listen: _Listen
    internalPortRange: tuple[int, int]  # noqa: N815
    bounds: _Bounds
    limits: _Limits = pydantic.Field(default_factory=_Limits)
    platform: _Platform
    cloud: _Cloud = pydantic.Field(default_factory=_Cloud)
    heartbeatMs: _Milliseconds = 0.0  # noqa: N815

    @pydantic.field_validator("internalPortRange", mode="before")
    @classmethod
    def _split_ports(cls, value: Any) -> Any:
        return value.split(",") if isinstance(value, str) else value


def read_settings(
    path: pathlib.Path,
) -> gateway.Settings | list[process.Fault]:
    """Reads a settings file; unknown keys are ignored."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return [process.Fault("", "", str(path), f"cannot be read: {error}")]
    return parse_settings(text)


def parse_settings(text: str) -> gateway.Settings | list[process.Fault]:
    """Parses lines of the form `a.b=value`."""
    values = settings_lines.parse_lines(text)
    try:
        return _build_settings(_File.model_validate(_build_tree(values)))
    except pydantic.ValidationError as error:
        return [_build_fault(values, entry) for entry in error.errors()]


def _build_tree(values: Mapping[str, str]) -> dict[str, Any]:
    tree: dict[str, Any] = {}
    for key, value in values.items():
        *branches, leaf = key.split(".")
        node = tree
        for branch in branches:
            child = node.setdefault(branch, {})
            if not isinstance(child, dict):
                child = node[branch] = {}
            node = child
        node.setdefault(leaf, value)
    return tree


def _build_fault(values: Mapping[str, str], entry: Any) -> process.Fault:
    key = ".".join(str(part) for part in entry["loc"])
    message = str(entry["msg"]).removeprefix("Value error, ")
    if entry["type"] == "missing":
        message = "expected a value, it is missing"
    section, _, name = key.rpartition(".")
    return process.Fault(section, name, values.get(key, ""), message)


def _build_settings(file: _File) -> gateway.Settings:
    bounds = file.bounds
    return gateway.Settings(
        node=file.nodeName,
        ip=file.ip,
        data_centre=file.zone,
        front=file.listen.front,
        ready=file.listen.ready,
        store=file.platform.address,
        first_port=file.internalPortRange[0],
        metrics_port=file.internalPortRange[0] + 1,
        drain_s=bounds.drainMs / 1000,
        grace_s=bounds.graceS,
        retry_ratio=bounds.retryBudgetRatio,
        retry_window_s=bounds.budgetWindowS,
        retry_floor=bounds.budgetMinRetries,
        exposure_share=bounds.exposeShare,
        cold_factor=bounds.coldOverage,
        cold_floor=bounds.coldSlack,
        reuse_s=bounds.reuseWindowS,
        link_mbps=file.limits.linkMbps,
        heartbeat_s=file.heartbeatMs / 1000,
        exposure_floor=bounds.exposeSlack,
        duty_address=file.cloud.address or "",
        duties=file.cloud.duties,
        duty_calls_per_s=file.cloud.dutyPerS,
        owner_lease_s=bounds.leaseMs / 1000,
        report_window_s=bounds.reportWindowS,
        report_delay_s=bounds.usageLateS,
        memory=_build_memory_limits(file.limits),
    )


def _build_memory_limits(limits: _Limits) -> gateway.MemoryLimits:
    return gateway.MemoryLimits(
        memory_mb=limits.memoryMb,
        max_descriptors=limits.maxFds,
        budget_mb=limits.requestMemoryMb,
        max_connections=limits.callerConnections,
        header_lines=limits.headerLines,
        preamble_bytes=limits.emptyLineBytes,
        body_wait_s=limits.bodyWaitMs / 1000,
    )
