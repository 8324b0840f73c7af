"""A store or an upstream of the soak as a process of its own."""

import argparse
import json
import os
import pathlib
import threading
import time

from tests import malformed_upstreams
from tests import platform_standins
from tests.soak import promises
from tests.soak import schedule

EVENT_PAUSE_S = 0.12
MODE_PATH = "/test/mode/"
NEED_PATH = "/test/need/"
CLOSING_PATH = "/test/closing/"
BORN_PATH = "/test/born/"
# Pause in plain responses that end with their connection.
PLAIN_PAUSE_S = 0.05
# Some answers are doubtful, so that larger models are asked for, too.
CONFIDENCE_STEPS = 5
# Exit status of an engine that a prompt part has crashed.
CRASH_STATUS = 3


class RecordingUpstream(malformed_upstreams.MalformedUpstream):
    """Writes down each request that it begins to run."""

    first_events = promises.STREAM_EVENTS
    first_pause_s = EVENT_PAUSE_S
    first_deadly_parts = (schedule.DEADLY_PART,)

    def __init__(self, identity, port, path, born):
        self._file = path.open("a", encoding="utf-8")
        self._lock = threading.Lock()
        super().__init__(identity, port)
        self._born = born

    def handle(self, handler, body):
        """Answers a request, or takes the way in which it is to answer."""
        if handler.path.startswith(MODE_PATH):
            self._set_mode(handler.path.removeprefix(MODE_PATH))
        elif handler.path.startswith(NEED_PATH):
            self._set_need(*handler.path.removeprefix(NEED_PATH).split("/"))
        elif handler.path.startswith(CLOSING_PATH):
            self.closing = handler.path == f"{CLOSING_PATH}1"
            self.plain_pause_s = PLAIN_PAUSE_S if self.closing else 0.0
        elif handler.path.startswith(BORN_PATH):
            self._born = int(handler.path.removeprefix(BORN_PATH))
        else:
            super().handle(handler, body)
            return
        platform_standins.send(handler, 200, {}, b"")

    def _set_mode(self, mode):
        """Sets how the upstream responds from now on."""
        self.mode = mode
        self.status_line, self.field_line = (
            malformed_upstreams.HEADS_BY_MODE.get(mode, (b"", b""))
        )

    def _set_need(self, kind, value=""):
        """Sets what the upstream states; an unknown kind clears it."""
        self.limit = value if kind == schedule.LIMIT_MODE else ""
        self.leaving = kind == "leaving"
        self.retry_after = value if kind == "pause" else ""
        self.mode = "refuse" if kind == "pause" else "serve"

    def crash(self):
        """Ends the process; the one who started it starts it again."""
        os._exit(CRASH_STATUS)

    def record_run(self, handler, headers, body):
        """Writes one line, at once, as the process may be killed."""
        record = {
            "request": headers.get("Request-Id", ""),
            "at": time.monotonic(),
            "upstream": self.identity,
            "path": handler.path,
            "workspace": headers.get("Tenant-Id", ""),
            "has_key": "Authorization" in headers,
            "resumed_after": headers.get("Last-Event-Id", ""),
            "deadly": self.is_deadly(headers),
        }
        with self._lock:
            self._file.write(json.dumps(record) + "\n")
            self._file.flush()

    def get_confidence(self, headers):
        """Returns a confidence that differs from request to request."""
        if headers.get("Model") != "small":
            return 95
        step = int(headers["Request-Id"][-2:], 16) % CONFIDENCE_STEPS
        return 20 + 75 * step // (CONFIDENCE_STEPS - 1)

    def build_event(self, number, headers):
        """Returns an event that names its request."""
        request = headers["Request-Id"].encode()
        return b"id: %d\ndata: %s\n\n" % (number, request)


def main():
    """Serves until the process is killed or its lifetime is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--upstream", help="identity; without it, a store")
    parser.add_argument("--records", type=pathlib.Path)
    parser.add_argument("--born", type=int, default=0, help="time of its start")
    parser.add_argument("--lifetime", type=float, help="seconds")
    arguments = parser.parse_args()
    if arguments.upstream:
        RecordingUpstream(
            arguments.upstream,
            arguments.port,
            arguments.records,
            arguments.born,
        )
    else:
        platform_standins.Store(arguments.port)
    threading.Event().wait(arguments.lifetime)


if __name__ == "__main__":
    main()
