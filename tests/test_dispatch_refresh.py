"""Tests of reading the configuration on demand."""

import asyncio

from baobabdoor.dispatch import _refresh


class Source:
    """A configuration that each read brings to the next of some versions."""

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

    def test_requests_that_wait_share_one_read(self):
        source = Source(2)
        source.refresh(40, 2)
        assert (source.version, source.reads) == (2, 1)

    def test_a_read_that_began_too_early_is_followed_by_one_more(self):
        source = Source(1, 2)
        source.refresh(40, 2)
        assert (source.version, source.reads) == (2, 2)

    def test_a_store_that_is_away_is_asked_once(self):
        source = Source()
        source.refresh(40, 2)
        assert (source.version, source.reads) == (1, 1)

    def test_nothing_is_read_if_the_version_is_in_force(self):
        source = Source(5)
        source.refresh(3, 1)
        assert source.reads == 0
