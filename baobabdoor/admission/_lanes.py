"""The queued items of one urgency level, in lanes by groups of names."""

import collections

import attrs

from baobabdoor.admission import _interface


@attrs.define(eq=False)
class Lanes:
    """Items in lanes that are served in turn; inside a lane, oldest first.

    Attributes:
        lanes: Items by lane and identifier; empty lanes are removed.
        count: Number of items.
    """

    lanes: collections.OrderedDict[
        int, collections.OrderedDict[int, _interface.WorkItem]
    ] = attrs.field(factory=collections.OrderedDict)
    count: int = 0

    def __len__(self) -> int:
        return self.count

    def size(self, number: int) -> int:
        """Returns the number of items in a lane."""
        return len(self.lanes.get(number, ()))

    def put(self, number: int, item: _interface.WorkItem) -> None:
        """Queues an item at the end of a lane."""
        lane = self.lanes.get(number)
        if lane is None:
            lane = self.lanes[number] = collections.OrderedDict()
        lane[item.request_id] = item
        self.count += 1

    def take_next(self) -> _interface.WorkItem:
        """Removes the oldest item of the lane whose turn it is."""
        number = next(iter(self.lanes))
        lane = self.lanes[number]
        _, item = lane.popitem(last=False)
        self.count -= 1
        if lane:
            self.lanes.move_to_end(number)
        else:
            del self.lanes[number]
        return item

    def remove(
        self, number: int, request_id: int
    ) -> _interface.WorkItem | None:
        """Removes an item; returns None if it is not in the lane."""
        lane = self.lanes.get(number)
        item = lane.pop(request_id, None) if lane else None
        if item is not None:
            self.count -= 1
            if not lane:
                del self.lanes[number]
        return item
