"""Stand-in of the platform's address for duty calls."""

import dataclasses
import json
import time

from tests import platform_standins


@dataclasses.dataclass
class Call:
    """A received call; `at` is boot time and `true_time` since 1970."""

    at: float
    true_time: float
    path: str
    holder: str
    token: int
    document: dict


class DutyPlatform(platform_standins.Server):
    """Records duty calls.

    Attributes:
        status: Status of the responses; 0 to leave calls unanswered.
        calls: All received calls.
    """

    def __init__(self):
        self.status = 200
        self.calls = []
        super().__init__()

    def handle(self, handler, body):
        """Responds to one call."""
        self.calls.append(
            Call(
                time.clock_gettime(time.CLOCK_BOOTTIME),
                time.time(),
                handler.path,
                handler.headers["Duty-Holder"],
                int(handler.headers["Fencing-Token"]),
                json.loads(body),
            )
        )
        if not self.status:
            time.sleep(3.0)
            return
        platform_standins.send(handler, self.status, {}, b"{}")

    def read_reports(self):
        """Returns the counts of each reported window.

        Raises:
            ValueError: Two reports of a window differ.
        """
        reports = {}
        for call in list(self.calls):
            window, counts = call.document["windowId"], call.document["counts"]
            if reports.setdefault(window, counts) != counts:
                raise ValueError(f"window {window} reported differently")
        return reports

    def find_violation(self, lease_s):
        """Returns which rule of owners was broken; `None` for none."""
        holders, highest = {}, 0
        for index, call in enumerate(self.calls):
            if holders.setdefault(call.token, call.holder) != call.holder:
                return f"token {call.token} of two holders"
            if call.token < highest:
                return f"token {call.token} after {highest}"
            highest = call.token
            others = False
            for earlier in reversed(self.calls[:index]):
                if call.at - earlier.at >= lease_s:
                    break
                others = others or earlier.holder != call.holder
                if others and earlier.holder == call.holder:
                    return f"{call.holder} came back within the lease"
        return None
