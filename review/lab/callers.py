"""Consumers of the gateways."""

import dataclasses
import http.client
import random
import time
import uuid

KEY = "n2ctnfzs989anu6w"
HOST = "ficu95.example"


@dataclasses.dataclass
class Attempt:
    """One consumer attempt.

    Attributes:
        status: Status of the answer; 0 without a complete one.
        note: What ended an attempt without an answer.
    """

    request_id: str
    gateway: str
    route: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    note: str = ""


def build_headers(request_id, deadline_ms):
    """Returns the headers of a request."""
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    }


def ask(gateway, route, method="GET", body=None, deadline_ms=1500, kept=None):
    """Sends one request and returns the attempt.

    Args:
        gateway: The gateway.
        route: Name of the route.
        method: Method of the request.
        body: Its body; `None` for none.
        deadline_ms: Time that the consumer waits.
        kept: Connection to use; `None` to open one.
    """
    request_id = uuid.uuid4().hex[:16]
    attempt = Attempt(request_id, gateway.name, route, time.monotonic())
    connection = kept or open_connection(gateway, deadline_ms)
    try:
        connection.request(
            method,
            f"/{route}/{random.getrandbits(20):x}",
            body=body,
            headers=build_headers(request_id, deadline_ms),
        )
        response = connection.getresponse()
        data = response.read()
        attempt.status = response.status
        if response.status == 200 and not data.startswith(request_id.encode()):
            attempt.note = "the answer belongs to another request"
    except (OSError, http.client.HTTPException) as error:
        attempt.note = repr(error)
    finally:
        attempt.ended_at = time.monotonic()
        if kept is None:
            connection.close()
    return attempt


def open_connection(gateway, deadline_ms):
    """Opens a connection that waits for half a second more than asked."""
    return http.client.HTTPConnection(
        *gateway.front, timeout=deadline_ms / 1000 + 0.5
    )
