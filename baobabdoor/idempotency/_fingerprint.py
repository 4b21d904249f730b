"""Tells whether two requests with one key are the same request."""

import hashlib


def fingerprint(
    method: str, target: str, pool: str, caller: str, body: bytes
) -> str:
    """Returns a digest of everything that decides what a request does."""
    digest = hashlib.sha256()
    for part in (method, target, pool, caller):
        encoded = part.encode()
        # The length keeps ("a", "bc") apart from ("ab", "c").
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
