"""Merges the events of several processes in time order."""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from baobabdoor.timeline import _event


@attrs.frozen
class EventFilter:
    """Selects events by attribute; an empty attribute matches all events.

    Attributes:
        kind: Prefix of the kind.
        process: Identifier of the process.
        peer: Identifier of the peer.
        cause: Identifier of the cause.
    """

    kind: str = ""
    process: str = ""
    peer: str = ""
    cause: str = ""

    def accepts(self, event: _event.Event) -> bool:
        """Returns whether `event` matches all attributes."""
        return (
            event.kind.startswith(self.kind)
            and self.process in ("", event.process)
            and self.peer in ("", event.peer)
            and self.cause in ("", event.cause)
        )


def merge_events(
    streams: Iterable[Iterable[_event.Event]],
    event_filter: EventFilter | None = None,
) -> Iterator[_event.Event]:
    """Merges sorted streams of events into one sorted stream.

    Args:
        streams: Events of each process, oldest first.
        event_filter: Which events to keep. Default: all.

    Yields:
        Events in order of hybrid time, then process.
    """
    active_filter = event_filter or EventFilter()
    merged = heapq.merge(
        *streams, key=lambda event: (event.time, event.process)
    )
    return (event for event in merged if active_filter.accepts(event))
