"""Identity of an entry process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Process:
    """Identity of one run of an entry process.

    Attributes:
        address: IP address and port of the peer server.
        data_centre: Data centre that it runs in.
        incarnation: Start time in nanoseconds; a restart has a higher one.
    """

    address: str
    data_centre: str
    incarnation: int
