"""Identity of an entry process."""

import base64
import dataclasses
import hashlib

LABEL_BYTES = 6


@dataclasses.dataclass(frozen=True)
class Process:
    """Identity of an entry process, which changes with a restart.

    Attributes:
        address: IP address and port of the peer server.
        data_centre: Data centre that it runs in.
        incarnation: Start time in nanoseconds; it increases with a restart.
    """

    address: str
    data_centre: str
    incarnation: int

    @property
    def label(self) -> str:
        """Short identity of this process.

        Replicated counts name every process; address and incarnation would
        take most of their bytes.
        """
        name = f"{self.address}/{self.incarnation}".encode()
        digest = hashlib.blake2b(name, digest_size=LABEL_BYTES).digest()
        return base64.b64encode(digest).decode()
