"""Reads and writes documents in the store by compare-and-swap.

A write whose response was lost may have taken effect. It is therefore read back
and recognised by its nonce before it is repeated.
"""

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
    """Returns a random nonce that identifies one write."""
    return secrets.token_hex(NONCE_BYTES)


class Changer:
    """Reads and conditionally writes the documents of a store.

    Args:
        store: The store.
        pause: Sleeps for some seconds between attempts.
    """

    def __init__(
        self, store: stores.Store, pause: Callable[[float], None] = time.sleep
    ):
        self._store = store
        self._pause = pause

    def read(self, key: str) -> tuple[int, dict[str, Any]] | failures.Failure:
        """Returns the revision and document of a key; 0 and {} if absent."""
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
        """Changes one value, or returns why this failed.

        Args:
            key: Key of the value.
            edit: Modifies the document.
            validate: Returns why the new value is invalid, or `None`.
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
        """Executes a conditional write and determines its outcome."""
        attempts = 0
        in_doubt = False
        while True:
            response = self._store.write(
                proposal.key, proposal.text, proposal.expected_revision
            )
            if isinstance(response, stores.Written):
                return config_writes.WriteConfirmed(
                    proposal.key, response.revision
                )
            if isinstance(response, stores.Conflict):
                return config_writes.resolve_conflict(
                    proposal, response.revision, response.value
                )
            # This attempt had no effect, but an earlier one may have had.
            if not isinstance(response, stores.InDoubt) and not in_doubt:
                return response
            in_doubt = True
            attempts += 1
            while True:
                decision = config_writes.resolve_lost_response(
                    proposal, attempts
                )
                if isinstance(decision, failures.Failure):
                    return decision
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
        """Returns the deployment defined by the branches in the store."""
        listing = self._store.list_range(config_writes.PREFIX)
        if isinstance(listing, failures.Failure):
            return listing
        return tree.convert(_read_branches(listing))[0]

    def validate_branch(
        self, proposal: config_writes.ConditionalWrite
    ) -> failures.Failure | None:
        """Returns the first fault in a new branch or caused by it in others."""
        team = proposal.key.removeprefix(config_writes.PREFIX)
        listing = self._store.list_range(config_writes.PREFIX)
        if isinstance(listing, failures.Failure):
            return listing
        branches = _read_branches(listing)
        _, before = tree.convert(branches)
        # The store assigns the write a higher revision than all earlier ones.
        revision = listing.revision + 1
        candidate = json.loads(proposal.text)
        _, after = tree.convert({**branches, team: (revision, candidate)})
        if team in after:
            return after[team][0]
        for name, faults in sorted(after.items()):
            if name not in before:
                return faults[0]
        return None


def _read_branches(
    listing: stores.Listing,
) -> dict[str, tuple[int, dict[str, Any]]]:
    branches: dict[str, tuple[int, dict[str, Any]]] = {}
    for item in listing.items:
        name = item.key.removeprefix(config_writes.PREFIX)
        document = config_writes.read_document(item.key, item.value)
        if isinstance(document, dict):
            branches[name] = (item.revision, document)
    return branches
