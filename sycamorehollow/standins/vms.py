"""Stand-in for the list of live and leaving VMs, which lags behind."""

import threading
import time

from sycamorehollow.standins import arguments
from sycamorehollow.standins import server
from sycamorehollow.standins import settings as standin_settings

STATES = ("live", "leaving")


class VmList(server.StandIn):
    """VM list; `PUT /v1/vms` sets the actual state."""

    def __init__(self, settings: standin_settings.VmSettings):
        super().__init__(settings.server)
        self._lag_s = settings.vms.lag_s
        self._lock = threading.Lock()
        # The first list is visible at once.
        first = [_parse_vm(i) for i in settings.vms.vms.split(",") if i.strip()]
        self._versions: list[tuple[float, list]] = [(float("-inf"), first)]

    def handle(self, request: server.Request) -> server.Answer:
        """Answers one request."""
        if request.path != "/v1/vms":
            return server.refuse(404, "not_found", "No such path.")
        now = time.monotonic()
        if request.method == "PUT":
            vms = request.parse_json().get("vms")
            if not isinstance(vms, list):
                raise server.BadRequestError("vms is no list.")
            with self._lock:
                self._versions.append((now, vms))
            return server.Reply(200, {})
        with self._lock:
            due = [v for at, v in self._versions if at <= now - self._lag_s]
        return server.Reply(200, {"vms": due[-1]})


def _parse_vm(text: str) -> dict[str, str]:
    address, _, rest = text.strip().partition("/")
    data_centre, _, state = rest.partition("/")
    return {
        "address": address,
        "data_centre": data_centre,
        "state": state or STATES[0],
    }


def main(argv: list[str] | None = None) -> int:
    """Runs the VM list."""
    return arguments.run_program(
        "sycamore-fake-vms", standin_settings.VmSettings, VmList, argv
    )


if __name__ == "__main__":
    raise SystemExit(main())
