"""Weighted max-min sharing of slots over callers and urgency levels."""

from collections.abc import Mapping
import zlib

import attrs

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.admission import _account
from baobabdoor.admission import _interface
from baobabdoor.admission import _slow_start

STEP = "admission.queue"
# Accounts over which callers without settings are spread. Together they have
# the default share, however many names are invented.
DEFAULT_ACCOUNTS = 16
# A queue this long serves a pool of 48 slots for about 5 requests a slot, which
# is as long as most deadlines allow.
MAX_ITEMS = 256
MAX_BYTES = 33_554_432
# Pools are named by settings; more means that names were not checked before.
MAX_POOLS = 1024
LEAST_URGENT = _interface.URGENCY_LEVELS - 1

# Refusals are shared objects, so that one costs neither memory nor formatting.
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
class PoolSnapshot:
    """State of one pool's queues for status pages.

    Attributes:
        queued: Queued items by caller; `default` sums callers without
            settings.
        running: Items in progress.
        slow_start_limit: Limit on items in progress after an outage; None if
            there is none.
    """

    queued: dict[str, int]
    running: int
    slow_start_limit: int | None


class _PoolQueue:
    """Accounts of one pool.

    Attributes:
        accounts: The accounts by key; callers with settings by name, the
            others by the number of their group.
        backlogged: Accounts with queued items.
        active_default: Default accounts with queued items.
        running: Items in progress.
        queued: Queued items.
        slots: Largest number of slots seen at once.
        virtual_s: Start tag of the last item dispatched.
    """

    def __init__(self, callers: Mapping[str, settings.CallerShare]):
        self.accounts: dict[str | int, _account.Account] = {
            name: _account.Account(share) for name, share in callers.items()
        }
        # A dict keeps the order of arrival, so that ties are broken alike in
        # every run.
        self.backlogged: dict[_account.Account, None] = {}
        self.active_default = 0
        self.running = 0
        self.queued = 0
        self.slots = 0
        self.virtual_s = 0.0
        self.slow_start = _slow_start.SlowStart()

    def weight(self, account: _account.Account) -> float:
        """Returns the weight; default accounts divide the default weight."""
        if account.is_default:
            return account.share.weight / max(1, self.active_default)
        return account.share.weight

    def put(
        self, account: _account.Account, item: _interface.WorkItem, urgency: int
    ) -> None:
        if not account.queued:
            account.tag = max(account.tag, self.virtual_s)
            self.backlogged[account] = None
            self.active_default += account.is_default
        account.put(item, urgency)
        self.queued += 1

    def take(
        self, account: _account.Account, request_id: int, urgency: int
    ) -> _interface.WorkItem | None:
        item = account.take(request_id, urgency)
        if item is None:
            return None
        self.queued -= 1
        if not account.queued:
            self.backlogged.pop(account, None)
            self.active_default -= account.is_default
        return item

    def choose(self, now_s: float) -> _account.Account:
        """Returns the backlogged account with the least service by weight."""
        return min(
            self.backlogged,
            key=lambda account: account.effective_tag(
                self.weight(account), now_s
            ),
        )


class FairShareQueue(_interface.AdmissionPolicy):
    """Start-time fair queueing over callers, then urgency with guarantees.

    Each caller has an account in each pool. The backlogged account with the
    least slot-seconds per weight is served next, which gives weighted max-min
    shares. Inside an account each urgency level is guaranteed a part of the
    account's service; the rest goes to the most urgent level. An item is
    charged its expected service time at dispatch, corrected at its release.

    Queues are bounded by dynamic thresholds: a level may hold at most as much
    as the account has left free, so one flooded level takes half and always
    leaves room for the others.

    Args:
        callers: Shares of the known callers. All others together have the
            default share.
        default_share: Share of the others. Default: `CallerShare()`.
        default_accounts: Accounts over which the others are spread by a hash
            of their name. Default: 16.
        max_items: Queued items of one account in one pool. Default: 256.
        max_bytes: Declared body bytes queued by one account in one pool.
            Default: 32 MiB.
        salt: Mixed into the hash of unknown names, so that a caller cannot
            choose a name that falls together with another one. Default: 0.

    Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996; Choudhury,
    Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches",
    1998.

    Example:
        >>> queue = FairShareQueue({"clubs": settings.CallerShare(weight=2)})
        >>> item = _interface.WorkItem(1, "results-desk", "clubs", 3, 30.0)
        >>> queue.admit(item, now_s=0.0)
        >>> [item.request_id for item in queue.plan({"results-desk": 1}, 0.0)]
        [1]
    """

    PARAMETER_CONSTRAINTS = {
        "default_accounts": base.Interval(1, integer=True),
        "max_items": base.Interval(1, integer=True),
        "max_bytes": base.Interval(1, integer=True),
        "salt": base.Interval(0, integer=True),
    }

    def __init__(
        self,
        callers: Mapping[str, settings.CallerShare],
        default_share: settings.CallerShare | None = None,
        default_accounts: int = DEFAULT_ACCOUNTS,
        max_items: int = MAX_ITEMS,
        max_bytes: int = MAX_BYTES,
        salt: int = 0,
    ):
        self.callers = callers
        self.default_share = default_share
        self.default_accounts = default_accounts
        self.max_items = max_items
        self.max_bytes = max_bytes
        self.salt = salt
        self.pools_: dict[str, _PoolQueue] = {}
        self.running_: dict[int, _account.Dispatch] = {}
        self.dropped_: list[_interface.WorkItem] = []

    def admit(
        self, item: _interface.WorkItem, now_s: float
    ) -> base.Refusal | None:
        """Queues an item, or refuses it in constant time."""
        if item.deadline_s <= now_s:
            return EXPIRED
        pool = self._pool_of(item.pool)
        if pool is None:
            return UNKNOWN_POOL
        account = self._account_of(pool, item.caller)
        urgency = _urgency(item)
        refusal = self._check(pool, account, item, urgency, now_s)
        if refusal is None:
            pool.put(account, item, urgency)
        return refusal

    def plan(
        self, free_slots: Mapping[str, int], now_s: float
    ) -> list[_interface.WorkItem]:
        """Takes the items to dispatch now, least-served callers first."""
        chosen: list[_interface.WorkItem] = []
        for name, free in free_slots.items():
            pool = self.pools_.get(name)
            if pool is not None:
                self._plan_pool(pool, free, now_s, chosen)
        return chosen

    def release(self, item: _interface.WorkItem, now_s: float) -> None:
        """Corrects the account by the time that the item held its slot."""
        dispatch = self.running_.pop(item.request_id, None)
        if dispatch is None:
            return
        dispatch.account.finish(dispatch, now_s)
        pool = self.pools_[item.pool]
        pool.running -= 1
        pool.slow_start.release()

    def cancel(self, item: _interface.WorkItem) -> None:
        """Removes a queued item; does nothing for any other."""
        pool = self.pools_.get(item.pool)
        if pool is not None:
            account = self._account_of(pool, item.caller)
            pool.take(account, item.request_id, _urgency(item))

    def expire(self, now_s: float) -> list[_interface.WorkItem]:
        """Removes the items whose deadline has passed.

        Also returns the items that `plan` dropped because their deadline was
        closer than the shortest service time.
        """
        dropped = self.dropped_
        self.dropped_ = []
        for pool in self.pools_.values():
            for account in list(pool.backlogged):
                for urgency, level in enumerate(account.levels):
                    late = [
                        item
                        for item in level.items.values()
                        if item.deadline_s <= now_s
                    ]
                    for item in late:
                        pool.take(account, item.request_id, urgency)
                    dropped.extend(late)
        return dropped

    def queued(self) -> dict[str, int]:
        """Returns the number of queued items of each pool."""
        return {name: pool.queued for name, pool in self.pools_.items()}

    def describe(self) -> dict[str, PoolSnapshot]:
        """Returns a snapshot of each pool for status pages."""
        return {
            name: PoolSnapshot(
                _queued_by_caller(pool), pool.running, pool.slow_start.limit_
            )
            for name, pool in self.pools_.items()
        }

    def _pool_of(self, name: str) -> _PoolQueue | None:
        pool = self.pools_.get(name)
        if pool is None and len(self.pools_) < MAX_POOLS:
            if not self.pools_:
                base.validate(self)
            pool = self.pools_[name] = _PoolQueue(self.callers)
        return pool

    def _account_of(self, pool: _PoolQueue, caller: str) -> _account.Account:
        account = pool.accounts.get(caller)
        if account is not None:
            return account
        digest = zlib.crc32(caller.encode("utf-8", "replace"), self.salt)
        key = digest % self.default_accounts
        account = pool.accounts.get(key)
        if account is None:
            share = self.default_share or settings.CallerShare()
            account = _account.Account(share, is_default=True)
            pool.accounts[key] = account
        return account

    def _check(
        self,
        pool: _PoolQueue,
        account: _account.Account,
        item: _interface.WorkItem,
        urgency: int,
        now_s: float,
    ) -> base.Refusal | None:
        level = account.levels[urgency]
        if len(level.items) >= max(1, self.max_items - account.queued):
            return FULL
        if account.queued >= self.max_items:
            return FULL
        total_bytes = level.queued_bytes + item.body_bytes
        if total_bytes > self.max_bytes - account.queued_bytes:
            return TOO_MANY_BYTES
        if item.request_id in level.items:
            return DUPLICATE
        # Even with every slot of the pool, the items ahead in the same level
        # take this long at the shortest service time.
        ahead_s = len(level.items) * level.shortest_s / max(1, pool.slots)
        if now_s + ahead_s + level.shortest_s > item.deadline_s:
            level.doubt()
            return TOO_LATE
        return None

    def _plan_pool(
        self,
        pool: _PoolQueue,
        free: int,
        now_s: float,
        chosen: list[_interface.WorkItem],
    ) -> None:
        pool.slots = max(pool.slots, free + pool.running)
        count = pool.slow_start.allowed(free, pool.running, now_s)
        while count > 0 and pool.backlogged:
            account = pool.choose(now_s)
            item = self._dispatch(pool, account, now_s)
            if item is not None:
                chosen.append(item)
                count -= 1

    def _dispatch(
        self, pool: _PoolQueue, account: _account.Account, now_s: float
    ) -> _interface.WorkItem | None:
        """Starts the account's next item, or drops it if it is too late."""
        urgency, by_guarantee = account.choose_level()
        level = account.levels[urgency]
        weight = pool.weight(account)
        item = pool.take(account, next(iter(level.items)), urgency)
        if now_s + level.shortest_s > item.deadline_s:
            level.doubt()
            self.dropped_.append(item)
            return None
        pool.virtual_s = max(pool.virtual_s, account.tag)
        dispatch = account.start(urgency, by_guarantee, weight, now_s)
        self.running_[item.request_id] = dispatch
        pool.running += 1
        return item


def _urgency(item: _interface.WorkItem) -> int:
    return min(max(item.urgency, 0), LEAST_URGENT)


def _queued_by_caller(pool: _PoolQueue) -> dict[str, int]:
    counts: dict[str, int] = {}
    for key, account in pool.accounts.items():
        name = "default" if account.is_default else str(key)
        if account.queued:
            counts[name] = counts.get(name, 0) + account.queued
    return counts
