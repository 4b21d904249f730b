"""Refreshes the configuration to a version that a peer has seen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# The first read may have started before the version was written.
MAX_READS = 2


class Refresher:
    """Reads the configuration on demand; concurrent requests share one read.

    Args:
        version: Returns the version that is active.
        read: Reads the configuration; returns whether that succeeded.
    """

    def __init__(
        self, version: Callable[[], int], read: Callable[[], Awaitable[bool]]
    ):
        self.version = version
        self.read = read
        self.pending_read: asyncio.Future | None = None

    async def refresh(self, required_version: int) -> None:
        """Reads until a version is active or a read fails."""
        for _ in range(MAX_READS):
            if self.version() >= required_version:
                return
            if self.pending_read is None or self.pending_read.done():
                self.pending_read = asyncio.ensure_future(self.read())
            if not await asyncio.shield(self.pending_read):
                return
