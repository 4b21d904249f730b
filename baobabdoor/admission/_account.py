"""The queues of one caller in one pool, one per urgency level."""

import attrs

from baobabdoor import settings
from baobabdoor.admission import _hold
from baobabdoor.admission import _interface
from baobabdoor.admission import _lanes

# Service time assumed until the first request of a level has finished.
FIRST_COST_S = 0.1
# Weight of the newest service time in the moving average.
COST_SMOOTHING = 0.1
# Service that a level may save up while it is idle, in slot-seconds. Without
# it, one long request uses up the guarantee for longer than short deadlines.
SAVED_SLOT_S = 2.0
# Growth of the least service time with each request, so that one
# exceptionally short request does not count for ever.
SHORTEST_GROWTH = 1.02
# Factor on the least service time when an item is rejected because of it.
# Without it, one long first request would shut out every short deadline.
DOUBT = 0.9


@attrs.define(eq=False)
class Level:
    """Queued items of one urgency level of an account.

    Attributes:
        items: Queued items.
        queued_bytes: Declared body bytes of the queued items.
        tag: Service of the account at which the level's guarantee next
            entitles it to a slot, in slot-seconds.
        cost_s: Moving average of the service time.
        shortest_s: Slowly growing minimum of the service time; 0 until known.
    """

    items: _lanes.Lanes = attrs.field(factory=_lanes.Lanes)
    queued_bytes: int = 0
    tag: float = float("-inf")
    cost_s: float = FIRST_COST_S
    shortest_s: float = 0.0

    def learn(self, service_s: float) -> None:
        """Takes one observed service time into the averages."""
        self.cost_s += COST_SMOOTHING * (service_s - self.cost_s)
        if not self.shortest_s:
            self.shortest_s = service_s
        grown_s = self.shortest_s * SHORTEST_GROWTH
        self.shortest_s = min(grown_s, service_s)

    def doubt(self) -> None:
        """Lowers the least service time after a rejection that it caused."""
        self.shortest_s *= DOUBT


@attrs.frozen(eq=False)
class Dispatch:
    """An item in progress and what was charged for it.

    Attributes:
        account: Account that was charged.
        urgency: Level that the item came from.
        start_s: Time of the dispatch.
        cost_s: Service time charged in advance.
        by_guarantee: Whether the level's guarantee was used.
    """

    account: "Account"
    urgency: int
    start_s: float
    cost_s: float
    by_guarantee: bool


@attrs.define(eq=False)
class Account:
    """Queues and service received of one caller, or of one group of callers.

    Attributes:
        share: Weight and urgency guarantee.
        levels: The queues by urgency.
        queued: Number of queued items.
        queued_bytes: Declared body bytes of the queued items.
        tag: Virtual start time of the next item, in slot-seconds per weight.
        service: Service received, in slot-seconds.
        running: Number of items in progress.
        running_start_sum_s: Sum of their dispatch times.
        running_cost_sum_s: Sum of the service times charged for them.
        holds: Refusals of each lane.
    """

    share: settings.CallerShare
    levels: list[Level] = attrs.field(
        factory=lambda: [Level() for _ in range(_interface.URGENCY_LEVELS)]
    )
    queued: int = 0
    queued_bytes: int = 0
    tag: float = 0.0
    service: float = 0.0
    running: int = 0
    running_start_sum_s: float = 0.0
    running_cost_sum_s: float = 0.0
    holds: dict[int, _hold.RefusalHold] = attrs.field(factory=dict)

    def effective_tag(self, now_s: float) -> float:
        """Returns the tag with what running items used beyond their charge.

        Without it, a caller whose requests run far longer than expected would
        not be charged for them before they finish.
        """
        elapsed_s = self.running * now_s - self.running_start_sum_s
        overdue_s = max(0.0, elapsed_s - self.running_cost_sum_s)
        return self.tag + overdue_s / self.share.weight

    def put(self, item: _interface.WorkItem, urgency: int, lane: int) -> None:
        """Queues an item at the end of a lane of its level."""
        level = self.levels[urgency]
        if not level.items:
            guarantee = self.share.urgency_guarantee or 1.0
            saved = SAVED_SLOT_S / guarantee
            level.tag = max(level.tag, self.service - saved)
        level.items.put(lane, item)
        level.queued_bytes += item.body_bytes
        self.queued += 1
        self.queued_bytes += item.body_bytes

    def take_next(self, urgency: int) -> _interface.WorkItem:
        """Removes the next item of a level that has one."""
        item = self.levels[urgency].items.take_next()
        self._forget(item, urgency)
        return item

    def remove(
        self, request_id: int, urgency: int, lane: int
    ) -> _interface.WorkItem | None:
        """Removes an item; returns None if it is not queued here."""
        item = self.levels[urgency].items.remove(lane, request_id)
        if item is not None:
            self._forget(item, urgency)
        return item

    def _forget(self, item: _interface.WorkItem, urgency: int) -> None:
        self.levels[urgency].queued_bytes -= item.body_bytes
        self.queued -= 1
        self.queued_bytes -= item.body_bytes

    def choose_level(self) -> tuple[int, bool]:
        """Returns the urgency to serve and whether its guarantee requires it.

        A level whose tag the account's service has reached is entitled to a
        slot by its guarantee; otherwise the most urgent level is served.
        """
        first = -1
        entitled = -1
        for urgency, level in enumerate(self.levels):
            if not level.items:
                continue
            if first < 0:
                first = urgency
            if level.tag <= self.service and (
                entitled < 0 or level.tag < self.levels[entitled].tag
            ):
                entitled = urgency
        if entitled >= 0 and self.share.urgency_guarantee > 0:
            return entitled, True
        return first, False

    def start(self, urgency: int, by_guarantee: bool, now_s: float) -> Dispatch:
        """Charges the expected service time of an item that is dispatched."""
        cost_s = self.levels[urgency].cost_s
        dispatch = Dispatch(self, urgency, now_s, cost_s, by_guarantee)
        self.running += 1
        self.running_start_sum_s += now_s
        self.running_cost_sum_s += cost_s
        self._charge(dispatch, cost_s)
        return dispatch

    def finish(self, dispatch: Dispatch, now_s: float) -> None:
        """Corrects the charge by the observed service time."""
        service_s = max(0.0, now_s - dispatch.start_s)
        self.running -= 1
        self.running_start_sum_s -= dispatch.start_s
        self.running_cost_sum_s -= dispatch.cost_s
        # Released in the step of its dispatch, it has not run.
        if service_s > 0:
            self.levels[dispatch.urgency].learn(service_s)
        self._charge(dispatch, service_s - dispatch.cost_s)

    def _charge(self, dispatch: Dispatch, cost_s: float) -> None:
        self.tag += cost_s / self.share.weight
        self.service += cost_s
        if dispatch.by_guarantee:
            level = self.levels[dispatch.urgency]
            level.tag += cost_s / self.share.urgency_guarantee
