"""Tests of entry processes whose store is restored from a copy."""

import time
import unittest

from tests import fault_world
from tests import processes

# Time within which an acknowledged change is in force.
APPLY_S = 15.0
COPY_AGE_S = 1.0


class EntryRestoreTest(unittest.TestCase):
    """Guards against changes that a restore hides."""

    def setUp(self):
        self.world = fault_world.World(("dc-1", "dc-2"), {"a": (), "b": ()}, {})
        self.addCleanup(self.world.close)

    def operate(self, *arguments):
        done = self.world.run_operator(*arguments)
        self.assertEqual(done.returncode, 0, done.stderr)

    def restore(self):
        """Restores the store to its state before the latest changes."""
        url = f"{self.world.urls['store']}/v1/restore?age_s={COPY_AGE_S}"
        self.assertEqual(fault_world.HTTP.request("POST", url).status, 200)

    def list_allowed(self):
        """Returns the models that each entry offers."""
        return [self.world.list_models(e) for e in self.world.entries]

    def test_change_after_a_restore_is_in_force(self):
        allow = ("--team", "maps", "version", "allow", "maps", "large-1")
        before = self.list_allowed()
        # Changes that are lost let the revisions go back.
        for _ in range(5):
            self.operate("version", "withdraw", "small-1")
            self.operate("version", "restore", "small-1")
        time.sleep(0.5)
        self.restore()
        self.operate(*allow)
        processes.wait_for(
            lambda: all(
                new != old
                for new, old in zip(self.list_allowed(), before, strict=True)
            ),
            APPLY_S,
        )


if __name__ == "__main__":
    unittest.main()
