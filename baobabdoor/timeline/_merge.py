"""Merges the events of several processes into one order."""

from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from baobabdoor.timeline import _event


@attrs.frozen
class EventFilter:
    """Selects events; an empty attribute selects all.

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
        """Returns whether `event` is selected."""
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
    """Merges streams, each in time order, into one order.

    Args:
        streams: The events of each process, oldest first.
        event_filter: Which events to keep. Default: all.

    Yields:
        Events by hybrid time, ties by process.
    """
    selected = event_filter or EventFilter()
    merged = heapq.merge(
        *streams, key=lambda event: (event.time, event.process)
    )
    return (event for event in merged if selected.accepts(event))
