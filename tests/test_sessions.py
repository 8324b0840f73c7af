"""Tests of sessions."""

import unittest

import hypothesis
from hypothesis import strategies

from sycamorehollow.decisions.operations import keyrings
from sycamorehollow.decisions.requests import sessions
from sycamorehollow.model import failures
from tests import deployments

OLD = keyrings.KeyRing("1", {"1": b"old"})
NEW = keyrings.KeyRing("2", {"1": b"old", "2": b"new"})
WITHOUT_OLD = keyrings.KeyRing("2", {"2": b"new"})
NAMES = strategies.text("abc.é ", min_size=1, max_size=8)
SESSIONS = strategies.builds(
    sessions.Session, NAMES, NAMES, NAMES, strategies.integers(0, 2**40)
)


def verify(token, session, ring=OLD):
    return sessions.verify_token(token, session.workspace, session.model, ring)


class TokenTest(unittest.TestCase):
    """Guards against forged tokens and tokens of other workspaces."""

    @hypothesis.given(SESSIONS)
    def test_every_node_with_the_key_verifies(self, session):
        token = sessions.issue_token(session, OLD)
        for ring in (OLD, NEW):
            self.assertEqual(verify(token, session, ring), session)
        found = verify(token, session, WITHOUT_OLD)
        self.assertIsInstance(found, sessions.InvalidSession)

    @hypothesis.given(SESSIONS, NAMES, NAMES)
    def test_other_workspace_or_model(self, session, workspace, model):
        own = (session.workspace, session.model)
        hypothesis.assume((workspace, model) != own)
        token = sessions.issue_token(session, OLD)
        found = sessions.verify_token(token, workspace, model, OLD)
        self.assertIsInstance(found, sessions.InvalidSession)
        self.assertIs(found.execution, failures.Execution.NOT_STARTED)

    @hypothesis.given(SESSIONS, strategies.data())
    def test_tampered_token(self, session, data):
        token = sessions.issue_token(session, OLD)
        index = data.draw(strategies.integers(0, len(token) - 1))
        letter = data.draw(strategies.characters())
        hypothesis.assume(letter != token[index])
        forged = token[:index] + letter + token[index + 1 :]
        found = verify(forged, session)
        self.assertIsInstance(found, sessions.InvalidSession)

    @hypothesis.given(strategies.text())
    def test_any_text_is_refused_without_an_exception(self, text):
        found = sessions.verify_token(text, "w", "m", OLD)
        self.assertIsInstance(found, sessions.InvalidSession)


class PinTest(unittest.TestCase):
    """Guards against moving a session to another version."""

    @hypothesis.given(strategies.booleans(), strategies.booleans())
    def test_pinned_version_or_refusal(self, withdrawn, stopped):
        known = {"v1", "v2"}
        serving = known - {"v1"} if withdrawn else known
        in_force = deployments.make_deployment(known, serving, known)
        found = sessions.find_pinned_version(
            sessions.Session("w", "m", "v1", 0),
            in_force,
            {"v1"} if stopped else frozenset(),
        )
        if not withdrawn and not stopped:
            self.assertEqual(found, "v1")
            return
        self.assertIsInstance(found, failures.VersionWithdrawn)
        self.assertIs(found.execution, failures.Execution.NOT_STARTED)
