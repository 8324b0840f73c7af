"""Key rings for signed tokens, shared by all entry processes."""

import base64
from collections.abc import Mapping
import dataclasses
import hashlib
import hmac


@dataclasses.dataclass(frozen=True)
class KeyRing:
    """Secrets by key id; the current one signs and all of them verify.

    Attributes:
        current: Id of the key that signs.
        secrets: Secrets by key id.
    """

    current: str
    secrets: Mapping[str, bytes] = dataclasses.field(repr=False)

    def sign(self, text: str) -> str:
        """Returns the signature of a text under the current key."""
        return compute_signature(self.secrets[self.current], text)

    def verify(self, text: str, key_id: str, signature: str) -> bool:
        """Returns whether a key of the ring made the signature."""
        secret = self.secrets.get(key_id)
        if secret is None:
            return False
        expected = compute_signature(secret, text)
        return hmac.compare_digest(
            expected.encode("ascii"), signature.encode("utf-8")
        )


def compute_signature(secret: bytes, text: str) -> str:
    """Returns the HMAC-SHA256 of a text as unpadded URL-safe base64."""
    digest = hmac.new(secret, text.encode("utf-8"), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest).decode("ascii").rstrip("=")


def encode_token(prefix: str, fields: tuple[str, ...], ring: KeyRing) -> str:
    """Returns a signed token `prefix.fields.signature`."""
    joined = "\n".join((*fields, ring.current))
    packed = base64.urlsafe_b64encode(joined.encode("utf-8"))
    body = f"{prefix}.{packed.decode('ascii').rstrip('=')}"
    return f"{body}.{ring.sign(body)}"


def decode_token(
    prefix: str, token: str, count: int, ring: KeyRing
) -> tuple[str, ...] | None:
    """Returns the fields of a token, or `None` if it is not genuine.

    Args:
        prefix: Expected token type.
        token: Token received from a caller.
        count: Number of fields of the token type.
        ring: Keys to verify with.
    """
    parts = token.split(".")
    if len(parts) != 3 or parts[0] != prefix:
        return None
    try:
        packed = parts[1] + "=" * (-len(parts[1]) % 4)
        text = base64.urlsafe_b64decode(packed).decode("utf-8")
    except ValueError:
        return None
    fields = tuple(text.split("\n"))
    if len(fields) != count + 1:
        return None
    if not ring.verify(f"{prefix}.{parts[1]}", fields[-1], parts[2]):
        return None
    return fields[:-1]
