"""Client of the platform's metadata store."""

import base64
import binascii
import functools
import json
from typing import Any

import loguru

from sycamorehollow.model import failures
from sycamorehollow.shells import storeclient
from sycamorehollow.shells import stores

_ERA_HEADER = "Store-Era"
# Longer numbers in the header are no eras.
MAX_ERA_DIGITS = 15
# Longer values are cut in the log.
MAX_LOGGED_CHARACTERS = 40


class PlatformStore(storeclient.HttpStore, stores.TransactionStore):
    """Calls the platform's store."""

    def read(
        self, key: str
    ) -> stores.Found | stores.Absent | stores.CallFailure:
        """Returns the value of a key."""
        response = self._call("GET", "/-/kv-key", {"key": key})
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            return stores.Absent(key)
        if response.status != 200:
            return _build_failure(response)
        return _parse_item(response.document)

    def write(
        self,
        key: str,
        value: str,
        expected_revision: int | None,
        lease: str = "",
    ) -> stores.Written | stores.Conflict | stores.CallFailure:
        """Writes a value by compare-and-swap."""
        write = stores.KeyWrite(key, value, lease)
        return self._commit(key, _expect(key, expected_revision), (write,), ())

    def delete(
        self, key: str, expected_revision: int | None = None
    ) -> stores.Deleted | stores.Conflict | stores.CallFailure:
        """Deletes a key, at any revision if none is expected."""
        result = self._commit(key, _expect(key, expected_revision), (), (key,))
        if isinstance(result, stores.Written):
            return stores.Deleted(key)
        return result

    def commit(
        self, transaction: stores.Transaction
    ) -> stores.Written | stores.Conflict | stores.CallFailure:
        """Makes the changes if all keys are at their expected revisions."""
        return self._commit(
            transaction.expected[0][0],
            transaction.expected,
            transaction.writes,
            transaction.removals,
        )

    def list_range(
        self, prefix: str, allow_stale: bool = False
    ) -> stores.Listing | stores.CallFailure:
        """Returns all values under a prefix, page by page.

        Each page has a revision of its own. With `allow_stale` a later page
        may be the older one.
        """
        items: list[stores.Found] = []
        pages: list[stores.Page] = []
        era: int | None = None
        query: dict[str, Any] = {"pathPrefix": prefix}
        if allow_stale:
            query["allowStale"] = 1
        while True:
            response = self._call("GET", "/-/kv-range", query)
            if isinstance(response, failures.Failure):
                return response
            if response.status != 200:
                return _build_failure(response)
            try:
                page = [
                    _parse_item(item) for item in response.document["items"]
                ]
                at = int(response.document["at"])
                has_more = bool(response.document.get("hasMore")) and bool(page)
            except (KeyError, TypeError, ValueError):
                return stores.InDoubt("the response of a range is malformed")
            if pages and _read_era(response) != era:
                return stores.InDoubt("the store was restored between pages")
            era = _read_era(response)
            for item in page:
                if isinstance(item, failures.Failure):
                    return item
                items.append(item)
            pages.append(stores.Page(items[-1].key if items else "", at))
            if not has_more:
                # A watch from the lowest revision finds all changes that any
                # page lacks.
                lowest = min(page.revision for page in pages)
                return stores.Listing(tuple(items), lowest, era, tuple(pages))
            if items[-1].key <= str(query.get("after", "")):
                return stores.InDoubt("the pages of a range do not go on")
            query["after"] = items[-1].key

    def watch(
        self, prefix: str, after: int, timeout_s: float
    ) -> stores.Changes | stores.HistoryGone | stores.CallFailure:
        """Waits for changes under a prefix after a revision."""
        query = {
            "pathPrefix": prefix,
            "after": after,
            "waitMs": int(timeout_s * 1000),
        }
        limit_s = timeout_s + storeclient.WATCH_MARGIN_S
        response = self._call("GET", "/-/kv-watch", query, limit_s=limit_s)
        if isinstance(response, failures.Failure):
            return response
        if response.status == 410:
            return stores.HistoryGone(f"no changes after revision {after}")
        if response.status != 200:
            return _build_failure(response)
        try:
            changes = [_parse_change(e) for e in response.document["events"]]
            return stores.Changes(
                tuple(changes),
                int(response.document["at"]),
                _read_era(response),
            )
        except (KeyError, TypeError, ValueError):
            return stores.InDoubt("the response of a watch is malformed")

    def grant_lease(self, ttl_s: float) -> stores.Lease | stores.CallFailure:
        """Creates a lease that ends after `ttl_s` seconds unless renewed."""
        response = self._call(
            "POST", "/-/kv-lease", body={"ttlMs": int(ttl_s * 1000)}
        )
        if isinstance(response, failures.Failure):
            return response
        if response.status != 200 or "lease" not in response.document:
            return _build_failure(response)
        granted_s = float(response.document.get("ttlMs", ttl_s * 1000)) / 1000
        return stores.Lease(
            str(response.document["lease"]), granted_s, _read_era(response) or 0
        )

    def renew_lease(
        self, lease: str
    ) -> stores.Lease | stores.LeaseGone | stores.CallFailure:
        """Extends a lease by its full lifetime."""
        response = self._call("POST", f"/-/kv-keep/{lease}")
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            return stores.LeaseGone(f"the lease {lease} has ended")
        if response.status != 200:
            return _build_failure(response)
        granted_s = float(response.document["ttlMs"]) / 1000
        return stores.Lease(lease, granted_s, _read_era(response) or 0)

    def release_lease(
        self, lease: str
    ) -> stores.Released | stores.LeaseGone | stores.CallFailure:
        """Releases a lease and deletes the values attached to it."""
        response = self._call("DELETE", f"/-/kv-lease-end/{lease}")
        if isinstance(response, failures.Failure):
            return response
        if response.status == 404:
            return stores.LeaseGone(f"the lease {lease} has ended")
        if response.status != 200:
            return _build_failure(response)
        return stores.Released(lease)

    def _commit(
        self,
        key: str,
        expected: tuple[tuple[str, int], ...],
        writes: tuple[stores.KeyWrite, ...],
        removals: tuple[str, ...],
    ) -> stores.Written | stores.Conflict | stores.CallFailure:
        """Makes changes; a conflict states the value of `key`."""
        body = {
            "expectedRevision": [
                {"key": name, "revision": revision}
                for name, revision in expected
            ],
            "writes": [_encode_write(write) for write in writes],
            "remove": list(removals),
        }
        response = self._call("POST", "/-/kv-txn", body=body)
        if isinstance(response, failures.Failure):
            return response
        if response.status == 412:
            return _parse_conflict(key, response)
        if response.status == 404:
            return stores.Conflict(f"the lease of {key} has ended")
        if response.status != 200:
            return _build_failure(response)
        try:
            revision = int(response.document["revision"])
            return stores.Written(revision, _read_era(response) or 0)
        except (KeyError, TypeError, ValueError):
            return stores.InDoubt("the response of a write has no revision")


def _expect(key: str, revision: int | None) -> tuple[tuple[str, int], ...]:
    return () if revision is None else ((key, revision),)


def _encode_write(write: stores.KeyWrite) -> dict[str, Any]:
    entry: dict[str, Any] = {"key": write.key, "value": _encode(write.value)}
    if write.lease:
        entry["lease"] = int(write.lease)
    return entry


def _read_era(response: storeclient.Response) -> int | None:
    """Returns the era that a response states; `None` if it states none."""
    text = response.headers.get(_ERA_HEADER)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        _warn_once(text[:MAX_LOGGED_CHARACTERS])
        return None
    return int(text)


# Cached, so that a store that repeats an invalid era is logged once.
@functools.lru_cache(maxsize=64)
def _warn_once(text: str) -> None:
    loguru.logger.warning("invalid {} {!r} is ignored", _ERA_HEADER, text)


def _build_failure(
    response: storeclient.Response,
) -> stores.RateLimited | stores.InDoubt:
    """Returns the failure that an unsuccessful response stands for."""
    reason = f"the store answered {response.status}"
    if response.status == 503 or 400 <= response.status < 500:
        return stores.RateLimited(reason, retry_after_s=response.retry_after_s)
    return stores.InDoubt(reason, retry_after_s=response.retry_after_s)


def _encode(value: str) -> str:
    data = value.encode("utf-8", errors="surrogateescape")
    return base64.b64encode(data).decode("ascii")


def _decode(value: str) -> str:
    """Decodes a value; bytes that are not UTF-8 become surrogate escapes."""
    try:
        data = base64.b64decode(value, validate=True)
    except binascii.Error:
        # The decoder of the value rejects and logs it.
        return value
    return data.decode("utf-8", errors="surrogateescape")


def _parse_item(item: Any) -> stores.Found | stores.InDoubt:
    try:
        return stores.Found(
            str(item["key"]), _decode(item["value"]), int(item["revision"])
        )
    except (KeyError, TypeError, ValueError):
        return stores.InDoubt(f"malformed item {json.dumps(item)[:200]}")


def _parse_change(event: Any) -> stores.Change:
    revision = int(event["revision"])
    if event.get("deleted"):
        return stores.Change(str(event["key"]), None, revision)
    return stores.Change(str(event["key"]), _decode(event["value"]), revision)


def _parse_conflict(
    key: str, response: storeclient.Response
) -> stores.Conflict | stores.InDoubt:
    try:
        for item in response.document["items"]:
            if item.get("key") != key:
                continue
            revision = int(item.get("revision", 0))
            value = item.get("value")
            return stores.Conflict(
                f"{key} is at revision {revision}",
                revision=revision,
                value=_decode(value) if isinstance(value, str) else None,
            )
    except (KeyError, TypeError, ValueError):
        return stores.InDoubt("the response of a conflict is malformed")
    return stores.Conflict(f"{key} has no value")
