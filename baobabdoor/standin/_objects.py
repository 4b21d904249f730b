"""Content-addressed object store."""

import hashlib

from baobabdoor import base


class ObjectStore:
    """Stores contents in memory by their SHA-256."""

    def __init__(self):
        self.contents_: dict[str, bytes] = {}

    def put(self, content: bytes) -> str:
        """Stores content and returns its SHA-256 in hexadecimal."""
        digest = hashlib.sha256(content).hexdigest()
        self.contents_[digest] = bytes(content)
        return digest

    def get(self, digest: str) -> bytes | base.Refusal:
        """Returns the content with the given SHA-256."""
        content = self.contents_.get(digest)
        if content is None:
            return base.Refusal(
                base.Reason.NOT_FOUND, "platform.get_object", detail=digest
            )
        return content
