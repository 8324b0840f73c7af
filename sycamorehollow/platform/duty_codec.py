"""Codec for the platform's duty calls and for the keys of duties."""

import json
from typing import Any

import pydantic

from sycamorehollow.decisions.duties import duty
from sycamorehollow.shells.gateway import duty_codec

_PREFIX = "duties/"


class _Record(pydantic.BaseModel):
    window: int
    counts: dict[str, int]
    era: int


class PlatformDutyCodec(duty_codec.DutyCodec):
    """Encodes duty calls by the platform's names."""

    def encode_call(
        self, call: duty.Call, node: str, token: int
    ) -> duty_codec.Message:
        """Returns the request for a call of a node with a fencing token."""
        path, document = _describe(call)
        headers = {
            "Duty-Holder": node,
            "Fencing-Token": str(token),
            "Content-Type": "application/json",
        }
        body = json.dumps(document, separators=(",", ":")).encode()
        return duty_codec.Message(path, headers, body)

    def build_owner_key(self, name: str) -> str:
        """Returns the key of the store for the owner of a duty."""
        return _PREFIX + name

    def build_record_key(self, name: str, record: str) -> str:
        """Returns the key of the store for a record of a duty."""
        return f"{_PREFIX}{name}/{record}"

    def encode_record(self, call: duty.Call, era: int) -> str:
        """Returns the value of a record that was written in an era."""
        if not isinstance(call, duty.UsageReport):
            raise TypeError(f"no record of a {type(call).__name__}")
        document = {
            "window": call.window,
            "counts": dict(call.counts),
            "era": era,
        }
        return json.dumps(document, separators=(",", ":"))

    def decode_record(self, value: str) -> tuple[duty.Call, int] | None:
        """Returns the content and the era of a record; `None` if malformed."""
        try:
            record = _Record.model_validate_json(value)
        except pydantic.ValidationError:
            return None
        return duty.UsageReport(record.window, record.counts), record.era


def _describe(call: duty.Call) -> tuple[str, dict[str, Any]]:
    """Returns the path and the document of a call."""
    if isinstance(call, duty.UsageReport):
        return "/usage", {
            "windowId": call.window,
            "counts": dict(call.counts),
        }
    if isinstance(call, duty.ScaleOrder):
        return "/scale", {
            "service": call.service,
            "zone": call.data_centre,
            "desiredCount": call.count,
        }
    raise TypeError(f"no request for a {type(call).__name__}")
