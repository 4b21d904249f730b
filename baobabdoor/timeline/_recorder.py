"""Bounded buffer of the latest events of a process."""

import collections
from collections.abc import Callable
from typing import Any

from baobabdoor import base
from baobabdoor.timeline import _event

# About 1.5 MB at 350 bytes per event, a small part of a daemon's 64 MB.
CAPACITY_EVENTS = 4096


class EventRecorder:
    """Timestamps events and keeps the latest ones of one process.

    Args:
        process: Identifier of the process.
        clock: Hybrid logical clock of the process.
        capacity: Maximum number of events kept. Default: 4,096.
        sink: Called with each event, to write it to the log. Default: none.
    """

    PARAMETER_CONSTRAINTS = {"capacity": base.Interval(1, integer=True)}

    def __init__(
        self,
        process: str,
        clock: base.HybridClock,
        capacity: int = CAPACITY_EVENTS,
        sink: Callable[[_event.Event], None] | None = None,
    ):
        self.process = process
        self.clock = clock
        self.capacity = capacity
        self.sink = sink
        self.events_: collections.deque[_event.Event] | None = None

    def record(
        self, kind: str, peer: str = "", cause: str = "", **fields: Any
    ) -> _event.Event:
        """Timestamps and stores an event and passes it to the sink."""
        event = _event.Event(
            self.clock.now(), self.process, kind, peer, cause, fields
        )
        self._buffer().append(event)
        if self.sink is not None:
            self.sink(event)
        return event

    def snapshot(self) -> list[_event.Event]:
        """Returns the stored events, oldest first."""
        return list(self._buffer())

    def _buffer(self) -> collections.deque[_event.Event]:
        if self.events_ is None:
            base.validate(self)
            self.events_ = collections.deque(maxlen=self.capacity)
        return self.events_
