"""Tests of refreshing the configuration on demand."""

import asyncio

from baobabdoor.dispatch import _refresh


class Source:
    """A configuration; each read returns the next of the given versions."""

    def __init__(self, *versions):
        self.versions = list(versions)
        self.version = 1
        self.reads = 0

    async def read(self):
        self.reads += 1
        version = self.versions.pop(0) if self.versions else 0
        await asyncio.sleep(0.01)
        self.version = max(self.version, version)
        return version > 0

    def refresh(self, callers, required_version):
        refresher = _refresh.Refresher(lambda: self.version, self.read)

        async def run():
            await asyncio.gather(
                *(refresher.refresh(required_version) for _ in range(callers))
            )

        asyncio.run(run())


class TestRefresher:

    def test_concurrent_requests_share_one_read(self):
        source = Source(2)
        source.refresh(40, 2)
        assert (source.version, source.reads) == (2, 1)

    def test_read_that_started_too_early_is_repeated_once(self):
        source = Source(1, 2)
        source.refresh(40, 2)
        assert (source.version, source.reads) == (2, 2)

    def test_unreachable_store_is_read_once(self):
        source = Source()
        source.refresh(40, 2)
        assert (source.version, source.reads) == (1, 1)

    def test_nothing_is_read_if_the_version_is_active(self):
        source = Source(5)
        source.refresh(3, 1)
        assert source.reads == 0
