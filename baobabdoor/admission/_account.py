"""Per-caller queues and service accounting within one pool."""

import attrs

from baobabdoor import settings
from baobabdoor.admission import _interface
from baobabdoor.admission import _lanes
from baobabdoor.admission import _refusal_throttle

# Service time assumed until the first request of a level finishes.
INITIAL_COST_S = 0.1
# Weight of the latest sample in the moving average of service times.
COST_SMOOTHING = 0.1
# Service, in slot-seconds, that a level may receive as a burst after it was
# idle. Without it, one long request exhausts the guarantee of the level for
# longer than short deadlines allow.
BURST_SLOT_S = 2.0
# Service, in slot-seconds, by which a caller's most urgent requests may run
# ahead of its fair share; the least urgent ones may not. Otherwise a long
# request of low urgency delays urgent requests of the same caller past their
# deadlines. The lead is bounded, so long-run shares are unchanged.
MAX_LEAD_SLOT_S = 4.0
# Growth of the minimum service time with each observation, so that one
# exceptionally short request does not determine it forever.
MIN_SERVICE_GROWTH = 1.02
# Factor applied to the minimum service time when an item is rejected because
# of it. Without it, a long first request would cause every request with a
# short deadline to be rejected.
REJECTION_DECAY = 0.9


@attrs.define(eq=False)
class Level:
    """Queued items of one urgency level of an account.

    Attributes:
        items: Queued items.
        queued_bytes: Declared body bytes of the queued items.
        tag: Service of the account, in slot-seconds, at which the level's
            guarantee next entitles it to a slot.
        cost_s: Moving average of the service time.
        min_service_s: Slowly growing minimum of the service time; 0 until the
            first observation.
    """

    items: _lanes.Lanes = attrs.field(factory=_lanes.Lanes)
    queued_bytes: int = 0
    tag: float = float("-inf")
    cost_s: float = INITIAL_COST_S
    min_service_s: float = 0.0

    def observe(self, service_s: float) -> None:
        """Updates the estimates with an observed service time."""
        self.cost_s += COST_SMOOTHING * (service_s - self.cost_s)
        if not self.min_service_s:
            self.min_service_s = service_s
        grown_s = self.min_service_s * MIN_SERVICE_GROWTH
        self.min_service_s = min(grown_s, service_s)

    def decay_min_service(self) -> None:
        """Lowers the minimum service time after it caused a rejection."""
        self.min_service_s *= REJECTION_DECAY


@attrs.frozen(eq=False)
class Dispatch:
    """An item in progress and the service charged for it.

    Attributes:
        account: Account that was charged.
        urgency: Level that the item came from.
        start_s: Time of the dispatch.
        cost_s: Expected service time, charged at dispatch.
        by_guarantee: Whether the dispatch was due to the level's guarantee.
    """

    account: "Account"
    urgency: int
    start_s: float
    cost_s: float
    by_guarantee: bool


@attrs.define(eq=False)
class Account:
    """Queues and received service of one caller or one group of callers.

    Attributes:
        share: Weight and urgency guarantee.
        levels: Queues by urgency.
        queued: Number of queued items.
        queued_bytes: Declared body bytes of the queued items.
        tag: Virtual start time of the next item, in slot-seconds per weight.
        service: Service received, in slot-seconds.
        running: Number of items in progress.
        running_start_sum_s: Sum of the dispatch times of those items.
        running_cost_sum_s: Sum of the service times charged for them.
        throttles: Throttles of refusals by lane.
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
    throttles: dict[int, _refusal_throttle.RefusalThrottle] = attrs.field(
        factory=dict
    )

    def effective_tag(self, now_s: float) -> float:
        """Returns the tag including running items' use beyond their charge.

        Otherwise a caller whose requests run far longer than expected would
        not be charged for the excess before they finish.
        """
        elapsed_s = self.running * now_s - self.running_start_sum_s
        overdue_s = max(0.0, elapsed_s - self.running_cost_sum_s)
        return self.tag + overdue_s / self.share.weight

    def start_tag(self, now_s: float) -> float:
        """Returns the tag by which accounts are ordered for dispatch."""
        urgency, _ = self.choose_level()
        fraction = 1.0 - urgency / (_interface.URGENCY_LEVELS - 1)
        lead = fraction * MAX_LEAD_SLOT_S / self.share.weight
        return self.effective_tag(now_s) - lead

    def put(self, item: _interface.WorkItem, urgency: int, lane: int) -> None:
        """Queues an item at the end of a lane of its level."""
        level = self.levels[urgency]
        if not level.items:
            guarantee = self.share.urgency_guarantee or 1.0
            burst = BURST_SLOT_S / guarantee
            level.tag = max(level.tag, self.service - burst)
        level.items.put(lane, item)
        level.queued_bytes += item.body_bytes
        self.queued += 1
        self.queued_bytes += item.body_bytes

    def take_next(self, urgency: int) -> _interface.WorkItem:
        """Removes the next item of a level that has one."""
        item = self.levels[urgency].items.take_next()
        self._count_removed(item, urgency)
        return item

    def remove(
        self, request_id: int, urgency: int, lane: int
    ) -> _interface.WorkItem | None:
        """Removes an item; returns None if it is not queued here."""
        item = self.levels[urgency].items.remove(lane, request_id)
        if item is not None:
            self._count_removed(item, urgency)
        return item

    def _count_removed(self, item: _interface.WorkItem, urgency: int) -> None:
        self.levels[urgency].queued_bytes -= item.body_bytes
        self.queued -= 1
        self.queued_bytes -= item.body_bytes

    def choose_level(self) -> tuple[int, bool]:
        """Returns the urgency to serve and whether its guarantee requires it.

        A level is entitled to a slot by its guarantee once the account's
        service reaches the level's tag. Without such a level, the most urgent
        one is served.
        """
        most_urgent = -1
        entitled = -1
        for urgency, level in enumerate(self.levels):
            if not level.items:
                continue
            if most_urgent < 0:
                most_urgent = urgency
            if level.tag <= self.service and (
                entitled < 0 or level.tag < self.levels[entitled].tag
            ):
                entitled = urgency
        if entitled >= 0 and self.share.urgency_guarantee > 0:
            return entitled, True
        return most_urgent, False

    def start(self, urgency: int, by_guarantee: bool, now_s: float) -> Dispatch:
        """Charges the expected service time of a dispatched item."""
        cost_s = self.levels[urgency].cost_s
        dispatch = Dispatch(self, urgency, now_s, cost_s, by_guarantee)
        self.running += 1
        self.running_start_sum_s += now_s
        self.running_cost_sum_s += cost_s
        self._charge(dispatch, cost_s)
        return dispatch

    def finish(self, dispatch: Dispatch, now_s: float) -> None:
        """Replaces the charge by the observed service time."""
        service_s = max(0.0, now_s - dispatch.start_s)
        self.running -= 1
        self.running_start_sum_s -= dispatch.start_s
        self.running_cost_sum_s -= dispatch.cost_s
        # An item that is released at the time of its dispatch has not run.
        if service_s > 0:
            self.levels[dispatch.urgency].observe(service_s)
        self._charge(dispatch, service_s - dispatch.cost_s)

    def _charge(self, dispatch: Dispatch, cost_s: float) -> None:
        self.tag += cost_s / self.share.weight
        self.service += cost_s
        if dispatch.by_guarantee:
            level = self.levels[dispatch.urgency]
            level.tag += cost_s / self.share.urgency_guarantee
