"""The record of a case, and its exit status."""

import pathlib
import sys
import time
import traceback

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Record:
    """Writes `record.txt` beside the case's program.

    Args:
        program: Path of the program.
    """

    def __init__(self, program):
        path = pathlib.Path(program).parent / "record.txt"
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text, at=None):
        """Writes a line with the seconds since the start."""
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self._began:9.3f} s  {text}\n")
        self._file.flush()

    def write_attempts(self, attempts):
        """Writes what consumers sent and what they were answered."""
        for a in sorted(attempts, key=lambda attempt: attempt.sent_at):
            end = f"{a.ended_at - a.sent_at:.3f} s later"
            text = f"{a.route} {a.request_id} sent to {a.gateway}: "
            text += f"{a.status or 'no answer'} {a.note} {end}"
            self.write(text, a.sent_at)

    def write_runs(self, replicas):
        """Writes what replicas ran."""
        for replica in replicas:
            for request_id, (start, end) in list(replica.runs.items()):
                took = "cut off" if end is None else f"{end - start:.3f} s"
                self.write(
                    f"{replica.identity} ran {request_id}: {took}", start
                )


def run(program, play):
    """Plays a case and exits with its status.

    Args:
        program: Path of the program.
        play: Plays the case with a record; returns whether the rule held.
    """
    record = Record(program)
    try:
        held = play(record)
    except Exception:
        record.write("could not run: " + traceback.format_exc())
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)
