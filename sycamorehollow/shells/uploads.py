"""Rules for responses that end with their connection during an upload.

A server may respond before it has read the whole request, end its stream, and
read on. If it closes the connection instead, with input that it has not read,
the connection is reset. A reader of the response sees the end of the stream in
both cases, but only in the first one is the response complete.
"""

import math

# Interval of looking at the connection.
POLL_S = 0.01
# Time without progress after which an upload counts as given up.
STALL_S = 0.8
# Time after the end of an early response in which a reset may still come.
RESET_WINDOW_S = 0.2
# The receive buffer of a server's host may hold the rest of a longer request
# while the server responds. A server reads a shorter one at once.
MAX_READ_AT_ONCE_BYTES = 64 * 1024


class UploadAbortedError(OSError):
    """The server has not read the request, so its response is incomplete."""


def may_be_early(request_bytes: int, unsent_bytes: int) -> bool:
    """Tells whether a server may respond before it has read the request.

    Args:
        request_bytes: Length of the request.
        unsent_bytes: How much of it the server's host lacked when the response
            began.
    """
    return unsent_bytes > 0 or request_bytes > MAX_READ_AT_ONCE_BYTES


class UploadWatch:
    """Decides when the end of a stream counts as that of its response.

    Args:
        is_early: Whether the response may have begun before the server had
            read the request, see `may_be_early`.
        now: Monotonic time in seconds at which the stream had ended.
    """

    def __init__(self, is_early: bool, now: float):
        self._settled_at = now + RESET_WINDOW_S if is_early else now
        self._stalled_at = math.inf
        self._unsent_bytes = math.inf

    def is_settled(
        self, unsent_bytes: int, has_failed: bool, now: float
    ) -> bool:
        """Returns whether the response is complete as far as can be told.

        Args:
            unsent_bytes: How much of the request the server's host lacks.
            has_failed: Whether the connection has failed, as by a reset.
            now: Monotonic time in seconds.

        Raises:
            UploadAbortedError: The response is incomplete.
        """
        if has_failed:
            raise UploadAbortedError(
                "the upstream reset the connection after the end of the"
                " response"
            )
        if unsent_bytes < self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._stalled_at = now + STALL_S
        if unsent_bytes and now >= self._stalled_at:
            raise UploadAbortedError(
                "the response ended before the upstream had read the request"
            )
        return not unsent_bytes and now >= self._settled_at
