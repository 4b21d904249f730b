"""Queue of one urgency level, split into lanes by caller."""

import collections

import attrs

from baobabdoor.admission import _interface


@attrs.define(eq=False)
class Lanes:
    """Lanes that are served round-robin; each lane is first-in, first-out.

    Attributes:
        lanes: Items by lane and request identifier; empty lanes are removed.
        count: Number of items.
    """

    lanes: collections.OrderedDict[
        int, collections.OrderedDict[int, _interface.WorkItem]
    ] = attrs.field(factory=collections.OrderedDict)
    count: int = 0

    def __len__(self) -> int:
        return self.count

    def size(self, index: int) -> int:
        """Returns the number of items in a lane."""
        return len(self.lanes.get(index, ()))

    def put(self, index: int, item: _interface.WorkItem) -> None:
        """Queues an item at the end of a lane."""
        lane = self.lanes.get(index)
        if lane is None:
            lane = self.lanes[index] = collections.OrderedDict()
        lane[item.request_id] = item
        self.count += 1

    def take_next(self) -> _interface.WorkItem:
        """Removes the oldest item of the next lane."""
        index = next(iter(self.lanes))
        lane = self.lanes[index]
        _, item = lane.popitem(last=False)
        self.count -= 1
        if lane:
            self.lanes.move_to_end(index)
        else:
            del self.lanes[index]
        return item

    def remove(self, index: int, request_id: int) -> _interface.WorkItem | None:
        """Removes an item; returns None if it is not in the lane."""
        lane = self.lanes.get(index)
        item = lane.pop(request_id, None) if lane else None
        if item is not None:
            self.count -= 1
            if not lane:
                del self.lanes[index]
        return item
