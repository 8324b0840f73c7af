"""Codec for the platform's HTTP headers."""

from collections.abc import Mapping
from email import utils
import functools
import json
import math
import re

import loguru

from sycamorehollow.decisions.forwarding import end_checks
from sycamorehollow.model import failures
from sycamorehollow.model import forwarding
from sycamorehollow.shells.gateway import header_codec

# Headers set by the router only. If a caller could set them, it could control
# engines or pass as another workspace.
_ROUTER_HEADERS = frozenset(
    (
        b"authorization",
        b"request-deadline",
        b"target-replica",
        b"tenant-id",
        b"request-priority",
        b"expected-version",
        b"kv-hold",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"pin-duration",
    )
)
# Longer counts in a header are rejected.
MAX_DIGITS = 15
# Value with which a caller leaves the choice of the model to the router.
_OPEN_MODEL = b"*"
# Longer header values are cut in the log.
MAX_LOGGED_BYTES = 40
_REPORT_PATH = "/-/report"
_LIMIT_HEADER = b"server-limit"
_DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Decodes and encodes the platform's headers."""

    def decode_request(
        self, method: str, target: str, headers: header_codec.Headers
    ) -> forwarding.Request | failures.InvalidRequest:
        """Decodes the head of a caller's request."""
        fields = _index_by_name(headers)
        request_id = fields.get(b"request-id", b"").decode("latin-1")
        host = fields.get(b"host", b"").decode("latin-1").lower()
        if not host:
            return failures.InvalidRequest("the Host header is missing")
        deadline_ms = _parse_number(fields.get(b"request-deadline"))
        tokens = fields.get(b"token-counts", b"").split(b",")
        parts = _parse_prompt_parts(fields.get(b"prompt-prefix", b""))
        return forwarding.Request(
            request_id=request_id,
            method=method,
            host=host.partition(":")[0],
            path=target.partition("?")[0],
            deadline_s=None if deadline_ms is None else deadline_ms / 1000,
            api_key=_parse_api_key(fields.get(b"authorization", b"")),
            any_model=fields.get(b"model") == _OPEN_MODEL,
            prompt_tokens=int(_parse_number(tokens[0]) or 0),
            output_tokens=int(_parse_number(tokens[-1]) or 0),
            prompt_parts=parts,
            session=fields.get(b"session", b"").decode("latin-1"),
            last_event_id=fields.get(b"last-event-id", b"").decode("latin-1"),
        )

    def encode_attempt(
        self,
        headers: header_codec.Headers,
        body_bytes: int | None,
        attempt: header_codec.AttemptHeaders,
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers for an upstream."""
        dropped = (
            header_codec.HOP_BY_HOP
            | _ROUTER_HEADERS
            | _list_connection_options(headers)
        )
        if attempt.model:
            dropped |= {b"model"}
        if attempt.last_event_id:
            dropped |= {b"last-event-id"}
        result = [pair for pair in headers if pair[0].lower() not in dropped]
        result.append(
            (b"Request-Deadline", b"%d" % (attempt.remaining_s * 1000))
        )
        result.append((b"Target-Replica", attempt.upstream.encode("latin-1")))
        if attempt.workspace:
            result.append((b"Tenant-Id", attempt.workspace.encode("latin-1")))
        if attempt.model:
            result.append((b"Model", attempt.model.encode("latin-1")))
        if attempt.last_event_id:
            value = attempt.last_event_id.encode("latin-1")
            result.append((b"Last-Event-Id", value))
        if attempt.priority is not None:
            result.append((b"Request-Priority", b"%d" % attempt.priority))
        if body_bytes is not None:
            result.append((b"Content-Length", b"%d" % body_bytes))
        return result

    def encode_relayed(
        self,
        headers: header_codec.Headers,
        body_bytes: int | None,
        remaining_s: float,
        last_event_id: str,
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a request that goes through another node."""
        dropped = (
            header_codec.HOP_BY_HOP
            | {b"request-deadline"}
            | _list_connection_options(headers)
        )
        if last_event_id:
            dropped |= {b"last-event-id"}
        result = [pair for pair in headers if pair[0].lower() not in dropped]
        result.append((b"Request-Deadline", b"%d" % (remaining_s * 1000)))
        if last_event_id:
            value = last_event_id.encode("latin-1")
            result.append((b"Last-Event-Id", value))
        if body_bytes is not None:
            result.append((b"Content-Length", b"%d" % body_bytes))
        return result

    def decode_response(
        self, status: int, headers: header_codec.Headers
    ) -> forwarding.DecodedHead:
        """Decodes the head of an upstream's response."""
        fields = _index_by_name(headers)
        confidence = _parse_number(fields.get(b"hint-confidence"))
        keep_alive = _KEEP_ALIVE_TIMEOUT.search(fields.get(b"keep-alive", b""))
        cold_ms = _parse_number(fields.get(b"cold-remaining"))
        limits = [v for name, v in headers if name.lower() == _LIMIT_HEADER]
        limit = _parse_limit(limits) if limits else None
        return forwarding.DecodedHead(
            status=status,
            request_id=fields.get(b"request-id", b"").decode("latin-1"),
            sealed=b"response-seal" in fields,
            not_run=b"not-executed" in fields or status == 421,
            misdirected=status == 421,
            encoded=b"content-encoding" in fields,
            confidence=None if confidence is None else int(confidence),
            load=_parse_load(fields.get(b"replica-load")),
            keep_alive_s=float(keep_alive[1]) if keep_alive else None,
            cold_s=None if cold_ms is None else cold_ms / 1000,
            limit_per_s=limit,
            limit_invalid=bool(limits) and limit is None,
            leaving=fields.get(b"server-leaving", b"").strip() == b"1",
            retry_after_s=_parse_retry_after(fields),
        )

    def encode_query(
        self, upstream: forwarding.Upstream, health_path: str
    ) -> bytes:
        """Returns a request for an upstream's own state."""
        target = health_path or _REPORT_PATH
        lines = (
            f"GET {target} HTTP/1.1",
            f"Host: {upstream.host}:{upstream.port}",
            f"Target-Replica: {upstream.identity}",
            "\r\n",
        )
        return "\r\n".join(lines).encode("latin-1")

    def identify(
        self,
        upstream: forwarding.Upstream,
        status: int,
        headers: header_codec.Headers,
        body: bytes,
    ) -> end_checks.Finding:
        """Tells whether the response to a query is the upstream's."""
        identity = upstream.identity.encode("latin-1")
        stated = _index_by_name(headers).get(b"replica-id", identity)
        if status == 421 or stated.strip() != identity:
            return end_checks.Finding.OTHER
        born = _parse_born(body)
        if 0 in (born, upstream.started_ms):
            return end_checks.Finding.UNSTATED
        if born != upstream.started_ms:
            return end_checks.Finding.OTHER
        return end_checks.Finding.SAME

    def encode_failure(
        self, request_id: str, failure: failures.Failure
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a response created by the gateway."""
        headers = []
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if failure.retry_after_s is not None:
            value = f"{failure.retry_after_s:.3f}".encode()
            headers.append((b"Retry-After", value))
        return headers


def _index_by_name(headers: header_codec.Headers) -> dict[bytes, bytes]:
    return {name.lower(): value for name, value in headers}


def _list_connection_options(headers: header_codec.Headers) -> frozenset[bytes]:
    """Returns the names that the `Connection` headers list."""
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() != b"connection":
            continue
        names.update(option.strip().lower() for option in value.split(b","))
    return frozenset(names)


def _parse_number(value: bytes | None) -> float | None:
    try:
        number = float(value or b"")
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _parse_limit(values: list[bytes]) -> float | None:
    """Parses the request limit of an upstream; `None` if it is invalid."""
    if len(values) == 1 and _DECIMAL.fullmatch(values[0].strip()):
        return float(values[0])
    _warn_once("request limit", b" and ".join(values)[:MAX_LOGGED_BYTES])
    return None


def _parse_born(body: bytes) -> int:
    """Returns the start that a report states; 0 if it states none."""
    try:
        born = json.loads(body)["born"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return 0
    return born if isinstance(born, int) else 0


def _parse_retry_after(fields: Mapping[bytes, bytes]) -> float | None:
    """Returns the seconds that `Retry-After` states; `None` if it is invalid.

    A date counts from the date of the response, so that the clocks of the
    upstream and of this node need not agree.
    """
    value = fields.get(b"retry-after")
    if value is None:
        return None
    value = value.strip()
    if _DECIMAL.fullmatch(value):
        return float(value)
    try:
        until = utils.parsedate_to_datetime(value.decode("latin-1"))
        date = utils.parsedate_to_datetime(
            fields.get(b"date", b"").decode("latin-1")
        )
        return max(0.0, (until - date).total_seconds())
    except (TypeError, ValueError, OverflowError):
        # A date without a zone cannot be subtracted from one with a zone.
        _warn_once("Retry-After", value[:MAX_LOGGED_BYTES])
        return None


# Cached, so that an upstream that repeats an invalid value is logged once.
@functools.lru_cache(maxsize=64)
def _warn_once(name: str, value: bytes) -> None:
    loguru.logger.warning("invalid {} {!r} is ignored", name, value)


def _parse_count(text: str) -> int | None:
    """Parses a decimal number of ASCII digits."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _parse_api_key(value: bytes) -> str:
    scheme, _, key = value.decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def _parse_prompt_parts(value: bytes) -> tuple[forwarding.PromptPart, ...]:
    parts = []
    for entry in value.decode("latin-1").split(","):
        identity, separator, tokens = entry.strip().partition(":")
        count = _parse_count(tokens)
        if separator and count is not None:
            parts.append(forwarding.PromptPart(identity, count))
    return tuple(parts)


def _parse_load(value: bytes | None) -> forwarding.Load | None:
    """Parses a load report; figures after the fourth are ignored."""
    values = (value or b"").decode("latin-1").split(",")
    if len(values) < 3:
        return None
    running, waiting, slots = (_parse_count(v.strip()) for v in values[:3])
    if running is None or waiting is None or slots is None:
        return None
    if len(values) == 3:
        return forwarding.Load(running, waiting, slots)
    # A fourth figure that is invalid does not invalidate the other three.
    percent = _parse_count(values[3].strip())
    time_factor = percent / 100 if percent else None
    return forwarding.Load(running, waiting, slots, time_factor)
