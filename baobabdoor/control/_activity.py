"""Periodically triggered coroutines whose runs never overlap."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from baobabdoor import observability

Spawn = Callable[[Callable[[], Coroutine[Any, Any, None]]], None]


class Activity:
    """Runs a coroutine when triggered, unless the last run is in progress.

    Args:
        name: Name in logs and metrics.
        function: Coroutine function to run.
        spawn: Schedules a coroutine function on the event loop.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], Coroutine[Any, Any, None]],
        spawn: Spawn,
    ):
        self.name = name
        self.function = function
        self.spawn = spawn
        self.is_running_ = False
        self.failures_ = 0

    def trigger(self) -> None:
        """Starts a run if none is in progress."""
        if not self.is_running_:
            self.is_running_ = True
            self.spawn(self._run)

    async def _run(self) -> None:
        try:
            await self.function()
        except Exception:
            # An error must not prevent later runs, which start from scratch.
            self.failures_ += 1
            observability.get_logger("control").exception(
                "activity failed", activity=self.name
            )
        finally:
            self.is_running_ = False
