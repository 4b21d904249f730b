"""Records typed events of a process and merges those of all processes."""

from baobabdoor.timeline._event import Event
from baobabdoor.timeline._merge import EventFilter
from baobabdoor.timeline._merge import merge_events
from baobabdoor.timeline._recorder import EventRecorder

__all__ = ["Event", "EventFilter", "EventRecorder", "merge_events"]
