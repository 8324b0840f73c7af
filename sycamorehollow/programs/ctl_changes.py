"""Carries out an operator's change against the store."""

from collections.abc import Callable
import json
import secrets
import time
from typing import Any

from sycamorehollow.decisions.operations import config_writes
from sycamorehollow.model import deployment
from sycamorehollow.model import failures
from sycamorehollow.settings import tree
from sycamorehollow.shells import stores

Validate = Callable[[config_writes.ConditionalWrite], failures.Failure | None]
NONCE_BYTES = 12
RETRY_PAUSE_S = 0.2


def draw_nonce() -> str:
    """Returns a random name for one write."""
    return secrets.token_hex(NONCE_BYTES)


class Changer:
    """Reads values and changes one of them by compare-and-swap."""

    def __init__(
        self, store: stores.Store, pause: Callable[[float], None] = time.sleep
    ):
        self._store = store
        self._pause = pause

    def read(self, key: str) -> tuple[int, dict[str, Any]] | failures.Failure:
        """Returns revision and document of a key; 0 and {} if absent."""
        found = self._store.read(key)
        if isinstance(found, failures.Failure):
            return found
        text = found.value if isinstance(found, stores.Found) else None
        document = config_writes.read_document(key, text)
        if isinstance(document, failures.Failure):
            return document
        revision = found.revision if isinstance(found, stores.Found) else 0
        return revision, document

    def change(
        self,
        key: str,
        edit: config_writes.Edit,
        validate: Validate | None = None,
    ) -> config_writes.WriteConfirmed | failures.Failure:
        """Changes one value, or changes nothing and tells why.

        Args:
            key: Key of the value.
            edit: The change.
            validate: Returns why the proposed value is refused.
        """
        found = self._store.read(key)
        if isinstance(found, failures.Failure):
            return found
        text, revision = None, 0
        if isinstance(found, stores.Found):
            text, revision = found.value, found.revision
        nonce = draw_nonce()
        proposal = config_writes.prepare_write(key, revision, text, edit, nonce)
        if isinstance(proposal, failures.Failure):
            return proposal
        refusal = validate(proposal) if validate else None
        return refusal or self.write(proposal)

    def write(
        self, proposal: config_writes.ConditionalWrite
    ) -> config_writes.WriteConfirmed | failures.Failure:
        """Writes a proposal and finds out what became of it."""
        attempts = 0
        in_doubt = False
        while True:
            answer = self._store.write(
                proposal.key, proposal.text, proposal.expected_revision
            )
            if isinstance(answer, stores.Written):
                return config_writes.WriteConfirmed(
                    proposal.key, answer.revision
                )
            if isinstance(answer, stores.Conflict):
                return config_writes.resolve_conflict(
                    proposal, answer.revision, answer.value
                )
            # Without effect now, but an earlier attempt may have had one.
            if not isinstance(answer, stores.InDoubt) and not in_doubt:
                return answer
            in_doubt = True
            attempts += 1
            while True:
                judged = config_writes.resolve_lost_response(proposal, attempts)
                if isinstance(judged, failures.Failure):
                    return judged
                self._pause(RETRY_PAUSE_S * attempts)
                found = self._store.read(proposal.key)
                if not isinstance(found, failures.Failure):
                    break
                attempts += 1
            text, revision = None, 0
            if isinstance(found, stores.Found):
                text, revision = found.value, found.revision
            outcome = config_writes.resolve_read_back(proposal, revision, text)
            if not isinstance(outcome, config_writes.RetryWrite):
                return outcome

    def read_deployment(self) -> deployment.Deployment | failures.Failure:
        """Returns the configuration that entry processes make of the store."""
        listing = self._store.list_range(config_writes.PREFIX)
        if isinstance(listing, failures.Failure):
            return listing
        return tree.convert(_read_branches(listing))[0]

    def validate_branch(
        self, proposal: config_writes.ConditionalWrite
    ) -> failures.Failure | None:
        """Returns the first fault that a new branch has or causes."""
        team = proposal.key.removeprefix(config_writes.PREFIX)
        listing = self._store.list_range(config_writes.PREFIX)
        if isinstance(listing, failures.Failure):
            return listing
        held = _read_branches(listing)
        _, before = tree.convert(held)
        # The store gives the write a higher revision than all others.
        revision = listing.revision + 1
        candidate = json.loads(proposal.text)
        _, after = tree.convert({**held, team: (revision, candidate)})
        if team in after:
            return after[team][0]
        for name, faults in sorted(after.items()):
            if name not in before:
                return faults[0]
        return None


def _read_branches(
    listing: stores.Listing,
) -> dict[str, tuple[int, dict[str, Any]]]:
    held: dict[str, tuple[int, dict[str, Any]]] = {}
    for item in listing.items:
        name = item.key.removeprefix(config_writes.PREFIX)
        document = config_writes.read_document(item.key, item.value)
        if isinstance(document, dict):
            held[name] = (item.revision, document)
    return held
