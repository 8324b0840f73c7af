"""Tests, with generated cases that are the same in every run."""

import hypothesis

hypothesis.settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("repeatable")
