"""Tests of the deletion of expired call records."""

import time
import unittest

from sycamorehollow.decisions.calls import call_records
from sycamorehollow.shells import stores
from sycamorehollow.shells import sweeps


class ListedStore(stores.Store):
    """Store that lists fixed records and remembers deletions."""

    def __init__(self, items):
        self._items = items
        self.deleted = []

    def list_range(self, prefix):
        found = [i for i in self._items if i.key.startswith(prefix)]
        return stores.Listing(tuple(found), 9)

    def delete(self, key, expected_revision=None):
        self.deleted.append((key, expected_revision))
        return stores.Deleted(key)

    def read(self, key):
        raise NotImplementedError

    def write(self, key, value, expected_revision, lease=""):
        raise NotImplementedError

    def watch(self, prefix, after, timeout_s):
        raise NotImplementedError

    def grant_lease(self, ttl_s):
        raise NotImplementedError

    def renew_lease(self, lease):
        raise NotImplementedError

    def release_lease(self, lease):
        raise NotImplementedError


def build_record(key, created_s, revision):
    record = call_records.CallRecord(
        call_records.CallState.CLAIMED,
        "10.0.0.1:1",
        1,
        "nonce",
        "filing",
        "lodge",
        "digest",
        int(created_s),
    )
    return stores.Found(key, call_records.encode_record(record), revision)


class RecordSweepTest(unittest.TestCase):
    """Guards against records that are never deleted or deleted too early."""

    def test_deletes_only_expired_records_at_their_revision(self):
        now = time.time()
        store = ListedStore(
            [
                build_record("effects/maps/old", now - 200_000, 3),
                build_record("effects/maps/new", now - 60, 4),
            ]
        )
        sweeps.RecordSweep(store).sweep()
        self.assertEqual(store.deleted, [("effects/maps/old", 3)])
