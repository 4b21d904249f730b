"""Fingerprint of a request, to detect the reuse of a key by another one."""

import hashlib


def fingerprint(
    method: str, target: str, pool: str, caller: str, body: bytes
) -> str:
    """Returns a digest of all that determines the effect of a request."""
    digest = hashlib.sha256()
    for part in (method, target, pool, caller):
        encoded = part.encode()
        # The length distinguishes ("a", "bc") from ("ab", "c").
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
