"""Store calls of duties: leases, the owner's key, and records."""

from collections.abc import Callable
import dataclasses

from sycamorehollow.decisions.duties import duty
from sycamorehollow.decisions.duties import ownership
from sycamorehollow.model import failures
from sycamorehollow.shells import stores
from sycamorehollow.shells.gateway import duty_client
from sycamorehollow.shells.gateway import duty_codec

# Time limit of a store call. A renewal that hangs leaves time for another one.
CALL_LIMIT_S = 0.6


@dataclasses.dataclass(frozen=True)
class Owner:
    """The owner's key as this node has written it."""

    key: str
    revision: int
    era: int


class StoreCalls:
    """Makes the store calls of a duty on the thread of a worker.

    Args:
        store: Client of the store.
        codec: Encodes records.
        worker: Runs the calls.
    """

    def __init__(
        self,
        store: stores.TransactionStore,
        codec: duty_codec.DutyCodec,
        worker: duty_client.Worker,
    ):
        self._store = store
        self._codec = codec
        self._worker = worker

    def run_step(
        self,
        name: str,
        step: ownership.Step,
        candidate: ownership.Ownership,
        log: Callable[[str], None],
        wake: Callable[[], None],
    ) -> None:
        """Runs a step of a candidate and records its result.

        Args:
            name: Name of the duty.
            step: The step.
            candidate: Receives the result in the event loop.
            log: Logs a failure.
            wake: Called in the event loop after the result was recorded, as
                another step may follow at once.
        """
        key = self._codec.build_owner_key(name)

        def call() -> Callable[[], None]:
            result = self._execute(key, step)

            def handle() -> None:
                _record(step, result, candidate, log)
                wake()

            return handle

        if not self._worker.submit(call):
            log("too many store calls wait")
            now = duty_client.read_boot_time()
            candidate.record_failure(step.number, False, now)

    def write_record(
        self,
        name: str,
        record: duty.Record,
        owner: Owner,
        handle: Callable[[duty.Call | None, str], None],
    ) -> bool:
        """Writes a record on the condition that it is absent.

        Args:
            name: Name of the duty.
            record: The record.
            owner: The owner's key, which must not have changed.
            handle: Receives what the store holds, and an outcome for the log.

        Returns:
            Whether the write was queued.
        """
        key = self._codec.build_record_key(name, record.name)
        transaction = self._build_transaction(name, key, record, owner)

        def call() -> Callable[[], None]:
            try:
                result = self._store.commit(transaction)
                held, outcome = self._read_held(record, result)
            except Exception as error:
                held, outcome = None, f"error {error!r}"
            return lambda: handle(held, outcome)

        return self._worker.submit(call)

    def _build_transaction(
        self, name: str, key: str, record: duty.Record, owner: Owner
    ) -> stores.Transaction:
        """Returns the write of a record, which needs the owner's key."""
        value = self._codec.encode_record(record.call, owner.era)
        expired = (
            self._codec.build_record_key(name, each) for each in record.expired
        )
        return stores.Transaction(
            ((key, 0), (owner.key, owner.revision)),
            (stores.KeyWrite(key, value),),
            tuple(expired),
        )

    def _read_held(
        self,
        record: duty.Record,
        result: stores.Written | stores.Conflict | stores.CallFailure,
    ) -> tuple[duty.Call | None, str]:
        """Returns the content that the store holds after a write."""
        if isinstance(result, stores.Written):
            return record.call, "written"
        if not isinstance(result, stores.Conflict) or result.value is None:
            return None, f"{result.code}: {result.reason}"
        decoded = self._codec.decode_record(result.value)
        if decoded is None:
            return None, f"unreadable value {result.value[:80]!r}"
        return decoded[0], "settled before"

    def _execute(
        self, key: str, step: ownership.Step
    ) -> (
        stores.Lease
        | stores.LeaseGone
        | stores.Released
        | stores.Written
        | stores.Conflict
        | stores.CallFailure
    ):
        match step:
            case ownership.GrantLease():
                return self._store.grant_lease(step.ttl_s)
            case ownership.WriteKey():
                write = stores.KeyWrite(key, step.value, step.lease)
                return self._store.commit(
                    stores.Transaction(((key, 0),), (write,))
                )
            case ownership.RenewLease():
                return self._store.renew_lease(step.lease)
            case ownership.EndLease():
                return self._store.release_lease(step.lease)
        raise TypeError(f"unknown step {step!r}")


def _record(
    step: ownership.Step,
    result: stores.Lease | stores.Written | stores.Released | failures.Failure,
    candidate: ownership.Ownership,
    log: Callable[[str], None],
) -> None:
    """Tells a candidate the result of its step."""
    now = duty_client.read_boot_time()
    match result:
        case stores.Lease():
            candidate.record_lease(
                step.number, result.lease, result.ttl_s, result.era, now
            )
        case stores.Written():
            candidate.record_written(
                step.number, result.era, result.revision, now
            )
        case stores.Released():
            candidate.record_failure(step.number, True, now)
        case failures.Failure():
            log(f"{type(step).__name__} {result.code}: {result.reason}")
            is_final = isinstance(result, stores.Conflict | stores.LeaseGone)
            candidate.record_failure(step.number, is_final, now)
