"""Tests of the prefix index."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.routing import prefix_index

BLOCKS = ("a", "b", "c")


def change(number, added=(), removed=(), generation=1):
    """Returns a cache event of the upstream `u`."""
    return prefix_index.CacheChanged("u", number, generation, added, removed)


class PrefixesTest(unittest.TestCase):
    """Guards against affinity to blocks that are no longer cached."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(BLOCKS), strategies.booleans()
            ),
            max_size=12,
        ),
        strategies.data(),
    )
    def test_confirmed_only_when_cached(self, changes, data):
        """With late or missing events no evicted block counts in full."""
        cache = set()
        sent = []
        for number, (block, adds) in enumerate(changes, start=1):
            if adds:
                cache.add(block)
                sent.append(change(number, added=(block,)))
            else:
                cache.discard(block)
                sent.append(change(number, removed=(block,)))
        order = data.draw(strategies.permutations(sent))
        # Without the newest event the current state can't be known.
        received = data.draw(strategies.integers(0, len(sent)))
        order = order[:received] + sent[-1:]
        known = prefix_index.PrefixIndex()
        for event in order:
            known.handle(event, 0.0)
        for block in BLOCKS:
            tokens = known.count_cached_tokens("u", (block,), 0.0)
            if block not in cache:
                self.assertLess(tokens, prefix_index.BLOCK_TOKENS)
        later = prefix_index.UNCONFIRMED_TTL_S + 1
        for block in set(BLOCKS) - cache:
            self.assertEqual(known.count_cached_tokens("u", (block,), later), 0)

    def test_longest_prefix_wins(self):
        """The holder of a shorter prefix would compute the rest again."""
        known = prefix_index.PrefixIndex()
        known.handle(change(1, added=("a",)), 0.0)
        known.handle(prefix_index.PromptSent("w", ("a", "b")), 0.0)
        self.assertEqual(known.find_holder(BLOCKS, 0.0), "w")
        self.assertEqual(known.find_holder(("a",), 0.0), "u")

    def test_restart_empties_the_cache(self):
        """A restarted engine holds no prefix."""
        known = prefix_index.PrefixIndex()
        known.handle(change(1, added=BLOCKS), 0.0)
        known.handle(change(1, generation=2), 0.0)
        self.assertIsNone(known.find_holder(BLOCKS, 0.0))

    def test_memory_is_bounded(self):
        """Missed evictions must not fill the memory of the node."""
        known = prefix_index.PrefixIndex()
        for number in range(1, 2 * prefix_index.MAX_BLOCKS):
            known.handle(change(number, added=(str(number),)), 0.0)
        held = sum(
            known.count_cached_tokens("u", (str(number),), 0.0) > 0
            for number in range(2 * prefix_index.MAX_BLOCKS)
        )
        self.assertEqual(held, prefix_index.MAX_BLOCKS)

    def test_blocks_depend_on_all_before_and_on_version(self):
        """Equal blocks after different prefixes share no cache entry."""
        one = prefix_index.hash_blocks("v", b"aaaabbbbcc", 4)
        self.assertEqual(len(one), 2)
        self.assertNotEqual(one, prefix_index.hash_blocks("w", b"aaaabbbb", 4))
        other = prefix_index.hash_blocks("v", b"xaaabbbb", 4)
        self.assertNotEqual(one[1], other[1])
