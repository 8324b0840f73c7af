"""Reader of stored bills, which removes duplicates and sums by workspace."""

import dataclasses

from sycamorehollow.decisions.bills import billing_messages as messages


@dataclasses.dataclass(frozen=True)
class Total:
    """Sum of the bills of a workspace, in nano-units of currency."""

    bills: int
    amount: int
    internal_cost: int


class BillReader:
    """Collects stored batches, in any order and with repetitions."""

    def __init__(self):
        self._bills: dict[tuple[str, str], messages.Bill] = {}

    def add(self, value: str) -> None:
        """Adds the stored value of one batch.

        Two bills of one identity differ if a caller resent a request with its
        key and both runs delivered tokens. The higher amount counts, so that
        the result doesn't depend on the order of the batches.
        """
        for bill in messages.decode_bills(value):
            identity = (bill.workspace, bill.identity)
            known = self._bills.get(identity)
            if known is None or _rank(bill) > _rank(known):
                self._bills[identity] = bill

    def list_bills(self) -> list[messages.Bill]:
        """Returns one bill per request identity, ordered by identity."""
        return [self._bills[identity] for identity in sorted(self._bills)]

    def sum_workspaces(self) -> dict[str, Total]:
        """Returns the total of each workspace."""
        totals: dict[str, Total] = {}
        for bill in self._bills.values():
            total = totals.get(bill.workspace, Total(0, 0, 0))
            totals[bill.workspace] = Total(
                total.bills + 1,
                total.amount + bill.amount,
                total.internal_cost + bill.internal_cost,
            )
        return totals


def _rank(bill: messages.Bill) -> tuple[int, str]:
    return bill.amount, messages.Item(bill).encode()
