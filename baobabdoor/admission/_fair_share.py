"""Weighted max-min sharing of slots over callers and urgency levels."""

from collections.abc import Mapping
import heapq
import zlib

import attrs

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.admission import _account
from baobabdoor.admission import _interface
from baobabdoor.admission import _refusal_throttle
from baobabdoor.admission import _slow_start

STEP = "admission.queue"
# Key of the account shared by all callers without settings, so that memory does
# not grow with invented names. Caller names are never empty.
DEFAULT_ACCOUNT = ""
# Lanes over which those callers are spread by a hash of their name. A caller
# that floods one lane delays the others by at most a round over the 16 lanes.
DEFAULT_LANES = 16
# Less than 3 queued requests per slot of a pool with 48 slots, which is within
# most deadlines. With 256 items, recovery from a flood at 5 times the capacity
# took 7.0 s instead of 5.3 s.
MAX_ITEMS = 128
MAX_BYTES = 33_554_432
# The heap of deadlines is rebuilt once it exceeds twice the number of queued
# items by this many, because items removed from the queues stay in the heap.
DEADLINE_HEAP_SLACK = 1024
# Pool names come from the settings. Exceeding this limit means that the names
# in requests are not being validated.
MAX_POOLS = 1024
LEAST_URGENT = _interface.URGENCY_LEVELS - 1

# Refusals are shared, so that a refusal needs no allocation or formatting.
EXPIRED = base.Refusal(
    base.Reason.DEADLINE_EXPIRED, STEP, detail="the deadline has passed"
)
TOO_LATE = base.Refusal(
    base.Reason.DEADLINE_EXPIRED,
    STEP,
    detail="the deadline would pass in the queue",
)
FULL = base.Refusal(
    base.Reason.SHARE_EXCEEDED, STEP, detail="the caller's queue is full"
)
TOO_MANY_BYTES = base.Refusal(
    base.Reason.SHARE_EXCEEDED,
    STEP,
    detail="the bodies of the caller's queued requests are too large",
)
UNKNOWN_POOL = base.Refusal(base.Reason.UNKNOWN_POOL, STEP)
DUPLICATE = base.Refusal(
    base.Reason.BAD_REQUEST, STEP, detail="the request is already queued"
)


@attrs.frozen
class _QueuePosition:
    """Position of an item in the queues.

    Attributes:
        pool: Queues of the pool.
        account: Account of the caller.
        urgency: Urgency level.
        lane: Lane within the level.
        deadline_s: Deadline of the item.
    """

    pool: "_PoolQueue"
    account: _account.Account
    urgency: int
    lane: int
    deadline_s: float


@attrs.frozen
class PoolSnapshot:
    """State of one pool's queues, for status pages.

    Attributes:
        queued: Queued items by caller; `default` is the sum over callers
            without settings.
        running: Items in progress.
        slow_start_limit: Limit on items in progress after an outage; None
            outside of slow start.
    """

    queued: dict[str, int]
    running: int
    slow_start_limit: int | None


class _PoolQueue:
    """Accounts of one pool.

    Attributes:
        accounts: Accounts by caller name.
        backlogged: Accounts with queued items.
        running: Items in progress.
        queued: Queued items.
        max_slots: Largest number of slots observed at once.
        virtual_time: Start tag of the last dispatched item.
        slow_start: Limit on items in progress after an outage.
    """

    def __init__(
        self,
        callers: Mapping[str, settings.CallerShare],
        default_share: settings.CallerShare,
    ):
        self.accounts: dict[str, _account.Account] = {
            name: _account.Account(share) for name, share in callers.items()
        }
        self.accounts[DEFAULT_ACCOUNT] = _account.Account(default_share)
        # A dict preserves insertion order, so that ties are broken
        # deterministically.
        self.backlogged: dict[_account.Account, None] = {}
        self.running = 0
        self.queued = 0
        self.max_slots = 0
        self.virtual_time = 0.0
        self.slow_start = _slow_start.SlowStart()

    def put(
        self,
        account: _account.Account,
        item: _interface.WorkItem,
        urgency: int,
        lane: int,
    ) -> None:
        """Queues an item; an idle account accrues no credit."""
        if not account.queued:
            account.tag = max(account.tag, self.virtual_time)
            self.backlogged[account] = None
        account.put(item, urgency, lane)
        self.queued += 1

    def take_next(
        self, account: _account.Account, urgency: int
    ) -> _interface.WorkItem:
        """Removes the next item of a level that has one."""
        item = account.take_next(urgency)
        self._count_removed(account)
        return item

    def remove(
        self, request_id: int, position: _QueuePosition
    ) -> _interface.WorkItem:
        """Removes a queued item."""
        account = position.account
        item = account.remove(request_id, position.urgency, position.lane)
        self._count_removed(account)
        return item

    def set_callers(self, callers: Mapping[str, settings.CallerShare]) -> None:
        """Replaces the shares; queued items keep their account."""
        for name in self.accounts.keys() - callers.keys() - {DEFAULT_ACCOUNT}:
            del self.accounts[name]
        for name, share in callers.items():
            account = self.accounts.setdefault(name, _account.Account(share))
            account.share = share

    def _count_removed(self, account: _account.Account) -> None:
        self.queued -= 1
        if not account.queued:
            self.backlogged.pop(account, None)

    def choose_account(self, now_s: float) -> _account.Account:
        """Returns the backlogged account with the smallest start tag."""
        return min(
            self.backlogged,
            key=lambda account: account.start_tag(now_s),
        )


class FairShareQueue(_interface.AdmissionPolicy):
    """Start-time fair queueing over callers, then urgency with guarantees.

    Each caller has an account in each pool. The backlogged account with the
    least service per weight, in slot-seconds, is served next, which gives
    weighted max-min fair shares. Within an account, each urgency level is
    guaranteed a fraction of the account's service; the rest goes to the most
    urgent level. An item is charged its expected service time at dispatch; the
    charge is corrected at its release.

    Callers without settings share one account. Within each of its levels they
    are spread over lanes that are served round-robin.

    Queues are bounded by dynamic thresholds: a level may hold at most as many
    items as the account has free capacity left, so that one flooded level takes
    half of the capacity and leaves the rest to the others. The same applies to
    a lane within a level.

    Args:
        callers: Shares of the known callers. All other callers share one
            account with the default share.
        default_share: Share of that account. Default: `CallerShare()`.
        default_lanes: Lanes over which the other callers are spread by a hash
            of their name. Default: 16.
        max_items: Maximum number of queued items of one account in one pool.
            Default: 128.
        max_bytes: Maximum number of declared body bytes queued by one account
            in one pool. Default: 32 MiB.
        salt: Mixed into the hash of unknown names, so that a caller cannot
            choose a name that collides with another one. Default: 0.

    Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996; Choudhury,
    Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
    1998.

    Example:
        >>> queue = FairShareQueue({"clubs": settings.CallerShare(weight=2)})
        >>> item = _interface.WorkItem(1, "results-desk", "clubs", 3, 30.0)
        >>> queue.admit(item, now_s=0.0)
        >>> items = queue.dequeue({"results-desk": 1}, 0.0)
        >>> [item.request_id for item in items]
        [1]
    """

    PARAMETER_CONSTRAINTS = {
        "default_lanes": base.Interval(1, integer=True),
        "max_items": base.Interval(1, integer=True),
        "max_bytes": base.Interval(1, integer=True),
        "salt": base.Interval(0, integer=True),
    }

    def __init__(
        self,
        callers: Mapping[str, settings.CallerShare],
        default_share: settings.CallerShare | None = None,
        default_lanes: int = DEFAULT_LANES,
        max_items: int = MAX_ITEMS,
        max_bytes: int = MAX_BYTES,
        salt: int = 0,
    ):
        self.callers = callers
        self.default_share = default_share
        self.default_lanes = default_lanes
        self.max_items = max_items
        self.max_bytes = max_bytes
        self.salt = salt
        self.pools_: dict[str, _PoolQueue] = {}
        self.positions_: dict[int, _QueuePosition] = {}
        self.deadlines_: list[tuple[float, int]] = []
        self.running_: dict[int, _account.Dispatch] = {}
        self.dropped_: list[_interface.WorkItem] = []

    def admit(
        self, item: _interface.WorkItem, now_s: float
    ) -> base.Refusal | None:
        """Queues an item, or returns a refusal in constant time."""
        if item.deadline_s <= now_s:
            return EXPIRED
        pool = self.pools_.get(item.pool) or self._add_pool(item.pool)
        if pool is None:
            return UNKNOWN_POOL
        account, lane = self._locate(pool, item.caller)
        urgency = _clamped_urgency(item)
        refusal = self._check(pool, account, item, urgency, lane, now_s)
        if refusal is not None:
            return refusal
        pool.put(account, item, urgency, lane)
        deadline_s = item.deadline_s
        position = _QueuePosition(pool, account, urgency, lane, deadline_s)
        self.positions_[item.request_id] = position
        heapq.heappush(self.deadlines_, (deadline_s, item.request_id))
        self._compact()
        return None

    def dequeue(
        self, free_slots: Mapping[str, int], now_s: float
    ) -> list[_interface.WorkItem]:
        """Removes the items to dispatch now, least-served callers first."""
        chosen: list[_interface.WorkItem] = []
        for name, free in free_slots.items():
            pool = self.pools_.get(name)
            if pool is not None:
                self._dequeue_pool(pool, free, now_s, chosen)
        return chosen

    def release(self, item: _interface.WorkItem, now_s: float) -> None:
        """Charges the account for the time that the item held its slot."""
        dispatch = self.running_.pop(item.request_id, None)
        if dispatch is None:
            return
        dispatch.account.finish(dispatch, now_s)
        pool = self.pools_[item.pool]
        pool.running -= 1
        pool.slow_start.release()

    def cancel(self, item: _interface.WorkItem) -> None:
        """Removes an item if it is queued."""
        position = self.positions_.pop(item.request_id, None)
        if position is not None:
            position.pool.remove(item.request_id, position)

    def expire(self, now_s: float) -> list[_interface.WorkItem]:
        """Removes the items whose deadline has passed, in O(log n) each.

        Also returns the items that `dequeue` dropped because less time than the
        minimum service time was left until their deadline.
        """
        dropped = self.dropped_
        self.dropped_ = []
        while self.deadlines_ and self.deadlines_[0][0] <= now_s:
            _, request_id = heapq.heappop(self.deadlines_)
            position = self.positions_.get(request_id)
            # The identifier may have been queued again with a later deadline.
            if position is not None and position.deadline_s <= now_s:
                del self.positions_[request_id]
                dropped.append(position.pool.remove(request_id, position))
        return dropped

    def queued(self) -> dict[str, int]:
        """Returns the number of queued items of each pool."""
        return {name: pool.queued for name, pool in self.pools_.items()}

    def describe(self) -> dict[str, PoolSnapshot]:
        """Returns a snapshot of each pool, for status pages."""
        return {
            name: PoolSnapshot(
                _queued_by_caller(pool), pool.running, pool.slow_start.limit_
            )
            for name, pool in self.pools_.items()
        }

    def set_callers(self, callers: Mapping[str, settings.CallerShare]) -> None:
        """Replaces the shares; queued items are kept."""
        self.callers = callers
        for pool in self.pools_.values():
            pool.set_callers(callers)

    def refusal_delay_s(self, item: _interface.WorkItem, now_s: float) -> float:
        """Counts a refusal of the caller; returns the delay of its response."""
        pool = self.pools_.get(item.pool)
        if pool is None:
            return 0.0
        account, lane = self._locate(pool, item.caller)
        throttle = account.throttles.setdefault(
            lane, _refusal_throttle.RefusalThrottle()
        )
        return throttle.delay_s(now_s)

    def _compact(self) -> None:
        if (
            len(self.deadlines_)
            > 2 * len(self.positions_) + DEADLINE_HEAP_SLACK
        ):
            self.deadlines_ = [
                (position.deadline_s, request_id)
                for request_id, position in self.positions_.items()
            ]
            heapq.heapify(self.deadlines_)

    def _add_pool(self, name: str) -> _PoolQueue | None:
        if len(self.pools_) >= MAX_POOLS:
            return None
        base.validate(self)
        share = self.default_share or settings.CallerShare()
        pool = self.pools_[name] = _PoolQueue(self.callers, share)
        return pool

    def _locate(
        self, pool: _PoolQueue, caller: str
    ) -> tuple[_account.Account, int]:
        """Returns the account and the lane of a caller."""
        account = pool.accounts.get(caller)
        if account is not None and caller != DEFAULT_ACCOUNT:
            return account, 0
        digest = zlib.crc32(caller.encode("utf-8", "replace"), self.salt)
        return pool.accounts[DEFAULT_ACCOUNT], digest % self.default_lanes

    def _check(
        self,
        pool: _PoolQueue,
        account: _account.Account,
        item: _interface.WorkItem,
        urgency: int,
        lane: int,
        now_s: float,
    ) -> base.Refusal | None:
        level = account.levels[urgency]
        if self._is_full(pool, account, level, lane):
            return FULL
        total_bytes = level.queued_bytes + item.body_bytes
        if total_bytes > self.max_bytes - account.queued_bytes:
            return TOO_MANY_BYTES
        if item.request_id in self.positions_:
            return DUPLICATE
        # Lower bound on the wait: the items ahead in the same level, each with
        # the minimum service time, on all slots of the pool.
        ahead_s = (
            len(level.items) * level.min_service_s / max(1, pool.max_slots)
        )
        if now_s + ahead_s + level.min_service_s > item.deadline_s:
            level.decay_min_service()
            return TOO_LATE
        return None

    def _is_full(
        self,
        pool: _PoolQueue,
        account: _account.Account,
        level: _account.Level,
        lane: int,
    ) -> bool:
        free = self.max_items - account.queued
        queued = len(level.items)
        if free <= 0 or queued >= max(1, free):
            return True
        is_default = account is pool.accounts[DEFAULT_ACCOUNT]
        return is_default and level.items.size(lane) >= max(1, free - queued)

    def _dequeue_pool(
        self,
        pool: _PoolQueue,
        free: int,
        now_s: float,
        chosen: list[_interface.WorkItem],
    ) -> None:
        pool.max_slots = max(pool.max_slots, free + pool.running)
        count = pool.slow_start.allowed(free, pool.running, now_s)
        while count > 0 and pool.backlogged:
            account = pool.choose_account(now_s)
            item = self._dispatch(pool, account, now_s)
            if item is not None:
                chosen.append(item)
                count -= 1

    def _dispatch(
        self, pool: _PoolQueue, account: _account.Account, now_s: float
    ) -> _interface.WorkItem | None:
        """Starts the account's next item; drops it if it would finish late."""
        start_tag = account.start_tag(now_s)
        urgency, by_guarantee = account.choose_level()
        level = account.levels[urgency]
        item = pool.take_next(account, urgency)
        del self.positions_[item.request_id]
        if now_s + level.min_service_s > item.deadline_s:
            level.decay_min_service()
            self.dropped_.append(item)
            return None
        pool.virtual_time = max(pool.virtual_time, start_tag)
        dispatch = account.start(urgency, by_guarantee, now_s)
        self.running_[item.request_id] = dispatch
        pool.running += 1
        return item


def _clamped_urgency(item: _interface.WorkItem) -> int:
    urgency = item.urgency
    if 0 <= urgency <= LEAST_URGENT:
        return urgency
    return 0 if urgency < 0 else LEAST_URGENT


def _queued_by_caller(pool: _PoolQueue) -> dict[str, int]:
    return {
        name or "default": account.queued
        for name, account in pool.accounts.items()
        if account.queued
    }
