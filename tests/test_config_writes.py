"""Tests of conditional writes of configuration documents."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.operations import config_writes


class Writer:
    """Makes one change, with one store call per step."""

    def __init__(self, name, key):
        self.name = name
        self.key = key
        self.write = None
        self.result = None
        self.reading_back = False
        self.attempts = 0

    def _edit(self, document):
        document.setdefault("writers", []).append(self.name)

    def step(self, store, fate):
        """Makes one call, which may be lost before or after its effect."""
        if self.result is not None:
            return
        text, revision = store.get(self.key, (None, 0))
        if self.write is None:
            self.write = config_writes.prepare_write(
                self.key, revision, text, self._edit, self.name
            )
            return
        if self.reading_back:
            result = config_writes.resolve_read_back(self.write, revision, text)
            if fate == "done":
                self._take(result)
            else:
                self._lose()
            return
        if fate == "lost before":
            self._lose()
        elif revision != self.write.expected_revision:
            if fate == "lost after":
                self._lose()
                return
            self._take(
                config_writes.resolve_conflict(self.write, revision, text)
            )
        else:
            store["revision"] += 1
            store[self.key] = (self.write.text, store["revision"])
            if fate == "lost after":
                self._lose()
            else:
                self._take(
                    config_writes.WriteConfirmed(self.key, store["revision"])
                )

    def _lose(self):
        self.attempts += 1
        result = config_writes.resolve_lost_response(self.write, self.attempts)
        self._take(result)

    def _take(self, result):
        if isinstance(result, config_writes.ReadBack):
            self.reading_back = True
        elif isinstance(result, config_writes.RetryWrite):
            self.reading_back = False
        else:
            self.result = result


def list_writers(store, key):
    """Returns the writers whose changes are in a stored document."""
    text, _ = store.get(key, (None, 0))
    return json.loads(text).get("writers", []) if text else []


class ConditionalWriteTest(unittest.TestCase):
    """Guards against lost, doubled and misreported changes."""

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 5),
                strategies.sampled_from(["done", "lost before", "lost after"]),
            ),
            max_size=60,
        )
    )
    def test_results_are_true(self, steps):
        store = {"revision": 3, "config/other": ('{"a":1}', 2)}
        store["config/a"] = ('{"nonce":"x"}', 3)
        writers = [Writer(f"w{i}", "config/a") for i in range(6)]
        for index, fate in steps:
            writers[index].step(store, fate)
        for writer in writers:
            while writer.result is None:
                writer.step(store, "done")
        written = list_writers(store, "config/a")
        self.assertEqual(len(written), len(set(written)))
        for writer in writers:
            if isinstance(writer.result, config_writes.WriteConfirmed):
                self.assertIn(writer.name, written)
            if isinstance(writer.result, config_writes.ChangeConflict):
                self.assertNotIn(writer.name, written)
        self.assertEqual(store["config/other"], ('{"a":1}', 2))

    def test_one_of_several_racing_writers_wins(self):
        store = {"revision": 0}
        writers = [Writer(f"w{i}", "config/a") for i in range(5)]
        for fate in ("done", "lost after", "done", "done"):
            for writer in writers:
                writer.step(store, fate)
        results = [type(writer.result) for writer in writers]
        self.assertEqual(results.count(config_writes.WriteConfirmed), 1)
        self.assertEqual(results.count(config_writes.ChangeConflict), 4)
        self.assertEqual(len(list_writers(store, "config/a")), 1)

    def test_no_answer_at_all_is_in_doubt(self):
        store = {"revision": 0}
        writer = Writer("w", "config/a")
        for _ in range(20):
            writer.step(store, "lost after")
        self.assertIsInstance(writer.result, config_writes.ChangeInDoubt)
        self.assertEqual(writer.result.execution.value, "unknown")

    def test_write_that_did_not_arrive_is_sent_again(self):
        store = {"revision": 0}
        writer = Writer("w", "config/a")
        for fate in ("done", "lost before", "done", "done"):
            writer.step(store, fate)
        self.assertIsInstance(writer.result, config_writes.WriteConfirmed)

    def test_edit_that_changes_nothing_or_is_refused_writes_nothing(self):
        text = '{"nonce":"x","a":1}'
        for edit, kind in (
            (lambda document: None, config_writes.Unchanged),
            (
                lambda document: config_writes.ValueUnreadable("no"),
                config_writes.ValueUnreadable,
            ),
        ):
            result = config_writes.prepare_write("config/a", 1, text, edit, "n")
            self.assertIsInstance(result, kind)
        self.assertIsInstance(
            config_writes.prepare_write(
                "config/a", 1, "[", lambda document: None, "n"
            ),
            config_writes.ValueUnreadable,
        )
