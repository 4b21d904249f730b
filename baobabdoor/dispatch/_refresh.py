"""Brings the configuration up to a version that a peer has seen."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

# The first read may have begun before the version was written.
MAX_READS = 2


class Refresher:
    """Reads at once, and only once for all that wait.

    Args:
        version: Returns the version in force.
        read: Reads the configuration; returns whether that was possible.
    """

    def __init__(
        self, version: Callable[[], int], read: Callable[[], Awaitable[bool]]
    ):
        self.version = version
        self.read = read
        self.pending_read: asyncio.Future | None = None

    async def refresh(self, required_version: int) -> None:
        """Waits until a version is in force or cannot be read."""
        for _ in range(MAX_READS):
            if self.version() >= required_version:
                return
            if self.pending_read is None or self.pending_read.done():
                self.pending_read = asyncio.ensure_future(self.read())
            if not await asyncio.shield(self.pending_read):
                return
