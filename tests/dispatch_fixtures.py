"""A daemon with an in-memory store, for the tests of a leader's term."""

import asyncio
import types

import scheduling_fixtures

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import transport
from baobabdoor.dispatch import _controller
from baobabdoor.dispatch import _election
from baobabdoor.standin import _row_store


class SilentClient:
    """Platform client that never answers."""

    entries_ignored_ = 0

    async def list_machines(self):
        await asyncio.sleep(3600)

    async def hold(self, order, permit=None):
        await asyncio.sleep(3600)


class Bench:
    """A daemon with an in-memory store and unresponsive platform clients."""

    def __init__(self):
        self.store = _row_store.MemoryRowStore()
        self.ended = []
        self.daemon = types.SimpleNamespace(
            store=self.store,
            worker_client=SilentClient(),
            machine_client=SilentClient(),
            configuration=scheduling_fixtures.configuration(),
            waves={},
            metrics=observability.Metrics(),
            bounds=transport.divide(512, 4096),
            settings=types.SimpleNamespace(
                stop_timeout_s=0.4,
                max_lease_s=6.0,
                status_s=120.0,
                move_s=3.0,
                maintenance_s=4.0,
                heartbeat_s=1.5,
                contact_s=2.5,
                row_bytes=65_536,
                quota_window_s=5.0,
                quota_slack=20,
                move_rate=64.0,
            ),
            election=types.SimpleNamespace(outage_ended_ms=0.0),
            observe_term_end=self.ended.append,
        )

    def controller(self, number=0):
        """Makes this daemon the leader of a term."""
        self.store.version += 1
        token = self.store.version
        leader = _election.Leader("a", "a-1", "a:1", number, False, token)
        key = (_election.TABLE, _election.PART, _election.LEADER_KEY)
        self.store.rows[key] = platform.StoredRow(*key, leader.encode(), token)
        return _controller.Controller(
            self.daemon, leader, platform.boot_time_s()
        )
