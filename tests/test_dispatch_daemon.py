"""Tests of a daemon that reads rows of the operator's table."""

import asyncio
import gc
import json
import types
import weakref

import pytest

from baobabdoor import observability
from baobabdoor import platform
from baobabdoor.dispatch import _daemon
from baobabdoor.platform import _settings

SETTINGS = {
    "node-name": "entry-1",
    "zone": "z",
    "ip": "127.0.0.1",
    "internal-port-range": [7060, 7075],
    "platform": {"address": "127.0.0.1:1"},
}
CONFIGURATION = {"version": 3, "routes": [], "services": [{"name": "p"}]}
WAVE = {"wave": 4, "machines": ["m1"], "duration-s": 9, "maximum": 1}


class TestOperatorRows:

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"7",
            b"[" * 100_000,
            b'{"version": 9, "routes": [7], "services": []}',
            b'{"version": 9, "routes": [null], "services": []}',
            b'{"version": 9, "routes": [], "services": [7]}',
            b'{"version": 1e400, "routes": [], "services": []}',
            b'{"version": 9, "routes": [{"name": "a", "host": "h", '
            b'"path-prefix": "/", "service": "p", "advice": 7, '
            b'"priority": "1"}], "services": []}',
        ],
        ids=lambda value: f"{value!r:.60}",
    )
    @pytest.mark.parametrize("key", ["a", "config", "wave/1"])
    def test_unreadable_row_hides_no_other(self, key, value):
        """Its error made the follower read the table again, for ever.

        The rows after it were never applied.
        """
        daemon = _daemon.Daemon(_settings.decode_settings("test", SETTINGS))
        contents = [("config", CONFIGURATION), ("wave/4", WAVE)]
        rows = [
            platform.StoredRow("op", "", name, json.dumps(content).encode(), 2)
            for name, content in contents
        ]
        rows.insert(0, platform.StoredRow("op", "", key, value, 1))
        daemon._observe_configuration(rows, None, True)
        assert daemon.version == 3
        assert daemon.waves.keys() == {4}
        counts = observability.render_text(daemon.metrics).decode()
        ignored = 'rows_ignored_total{table="op"} 1'
        assert (ignored in counts) == (key != "a")


class Controller:
    """Ends its term at once, as that of a leader that stops."""

    def __init__(self, daemon):
        self.daemon = daemon

    async def release(self, timeout_s):
        self.daemon.observe_term_end(self)


class TestStop:

    def test_state_of_the_term_is_not_freed_before_the_end(self):
        """Freeing 19,400 jobs blocked the event loop for 0.9 s."""
        settings = SETTINGS | {"bounds": {"grace-s": 1}}
        daemon = _daemon.Daemon(_settings.decode_settings("test", settings))
        daemon.controller = Controller(daemon)
        state = weakref.ref(daemon.controller)
        try:
            asyncio.run(daemon._stop())
        finally:
            gc.unfreeze()
        assert daemon.controller is None
        assert state() is not None

    def test_process_ends_before_the_teardown_of_its_event_loop(
        self, monkeypatch
    ):
        """A process was killed while it cancelled the tasks of requests."""
        codes = []

        async def run():
            asyncio.ensure_future(asyncio.sleep(3600))

        async def scenario():
            daemon = types.SimpleNamespace(run=run)
            await _daemon._run_and_exit(daemon)

        def leave(code):
            codes.append((code, len(asyncio.all_tasks())))

        monkeypatch.setattr(_daemon.os, "_exit", leave)
        asyncio.run(scenario())
        assert codes == [(0, 2)]
