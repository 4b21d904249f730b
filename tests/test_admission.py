"""Tests of the admission policies."""

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
import pytest

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import settings
from baobabdoor.admission import _account
from baobabdoor.admission import _fair_share
from baobabdoor.admission import _slow_start

POOL = "desk"
FAR_S = 1e9
SHARE = settings.CallerShare()
POLICIES = {
    "fifo": admission.FifoQueue,
    "fair": lambda: admission.FairShareQueue({"a": SHARE, "b": SHARE}),
}


def item(number, caller="a", urgency=3, deadline_s=FAR_S, size=0, pool=POOL):
    return admission.WorkItem(number, pool, caller, urgency, deadline_s, size)


def weighted_max_min(capacity, demands, weights):
    """Test oracle: progressive filling until demand or capacity is reached."""
    parts = [0.0] * len(demands)
    active = {i for i, demand in enumerate(demands) if demand > 0}
    while active and capacity > 1e-9:
        total = sum(weights[i] for i in active)
        step = min((demands[i] - parts[i]) / weights[i] for i in active)
        step = min(step, capacity / total)
        for i in list(active):
            parts[i] += step * weights[i]
            capacity -= step * weights[i]
            if demands[i] - parts[i] < 1e-9:
                active.remove(i)
    return parts


def served(queue, offered, slots, steps, start=0):
    """Offers the same items in each step; counts the served items by kind.

    Args:
        queue: The policy.
        offered: Items per step by kind, a (caller, urgency) pair.
        slots: Number of slots of the pool; each serves one item per step.
        steps: Number of steps.
        start: Number of earlier steps, for a continued run.
    """
    counts = dict.fromkeys(offered, 0)
    for step in range(start, start + steps):
        number = step * 10_000
        for (caller, urgency), count in offered.items():
            for _ in range(count):
                number += 1
                queue.admit(item(number, caller, urgency), float(step))
        for done in queue.dequeue({POOL: slots}, float(step)):
            counts[done.caller, done.urgency] += 1
            queue.release(done, step + 1.0)
    return counts


def check_max_min(make, demands, weights, slots, steps=120):
    callers = {
        f"c{i}": settings.CallerShare(weight=w) for i, w in enumerate(weights)
    }
    kinds = [(name, 3) for name in callers]
    offered = dict(zip(kinds, demands, strict=True))
    counts = served(make(callers), offered, slots, steps)
    expected = weighted_max_min(slots, demands, weights)
    for kind, rate in zip(kinds, expected, strict=True):
        assert counts[kind] >= 0.9 * rate * steps - 2 * slots - 8


def check_idle_caller_accrues_no_credit(make):
    """A caller that was idle must not catch up at the expense of another."""
    queue = make({"a": SHARE, "b": SHARE})
    served(queue, {("a", 3): 8}, 8, 100)
    both = {("a", 3): 8, ("b", 3): 8}
    counts = served(queue, both, 8, 50, start=100)
    assert counts["a", 3] >= 0.8 * 200


def check_invented_names(make):
    """A flood of invented names must not reduce a known caller's share."""
    queue = make({"a": SHARE})
    flood = {(f"x{n}", 3): 1 for n in range(200)}
    counts = served(queue, {("a", 3): 4, **flood}, 8, 100)
    assert counts["a", 3] >= 0.9 * 400
    assert len(queue.pools_[POOL].accounts) == 2


def check_urgency_guarantee(make):
    """The most urgent level must leave the others their guarantee."""
    share = settings.CallerShare(urgency_guarantee=0.1)
    queue = make({"a": share})
    offered = {("a", 0): 40, ("a", 3): 2, ("a", 7): 40}
    counts = served(queue, offered, 10, 200)
    assert counts["a", 7] >= 0.85 * 0.1 * 2000
    assert counts["a", 3] >= 0.85 * 0.1 * 2000
    assert counts["a", 0] >= 0.75 * 2000


class TestMaxMin:

    @hypothesis_settings(max_examples=60, deadline=None)
    @given(data=strategies.data())
    def test_shares_match_the_oracle(self, data):
        count = data.draw(strategies.integers(1, 5))
        sizes = {"min_size": count, "max_size": count}
        demand = strategies.sampled_from([0, 1, 2, 5, 40])
        demands = data.draw(strategies.lists(demand, **sizes))
        weight = strategies.sampled_from([0.5, 1.0, 2.0, 4.0])
        weights = data.draw(strategies.lists(weight, **sizes))
        slots = data.draw(strategies.integers(1, 16))
        check_max_min(admission.FairShareQueue, demands, weights, slots)

    def test_idle_caller_accrues_no_credit(self):
        check_idle_caller_accrues_no_credit(admission.FairShareQueue)

    def test_invented_names_share_one_account(self):
        check_invented_names(admission.FairShareQueue)

    def test_unknown_caller_is_served_beside_a_flooding_one(self):
        """Guards against one unknown caller that fills the shared account."""
        queue = admission.FairShareQueue({})
        offered = {("x", 3): 100, ("y", 3): 2}
        assert served(queue, offered, 8, 100)["y", 3] >= 0.95 * 200

    def test_urgency_keeps_a_guarantee_for_each_level(self):
        check_urgency_guarantee(admission.FairShareQueue)

    def test_long_requests_are_charged_while_they_run(self):
        """Guards against a caller that holds all slots with long requests."""
        queue = POLICIES["fair"]()
        for number in range(100):
            queue.admit(item(number, "a"), 0.0)
        assert len(queue.dequeue({POOL: 4}, 0.0)) == 4
        for number in range(100, 110):
            queue.admit(item(number, "b"), 10.0)
        chosen = queue.dequeue({POOL: 4}, 10.0)
        assert [chosen_item.caller for chosen_item in chosen] == ["b"] * 4


class TestBrokenVariants:
    """Faulty variants, each of which must fail the check of its property."""

    def test_weights_ignored(self, monkeypatch):
        monkeypatch.setattr(
            _account.Account,
            "effective_tag",
            lambda self, now_s: self.tag * self.share.weight,
        )
        with pytest.raises(AssertionError):
            check_max_min(
                admission.FairShareQueue, [40, 40], [4.0, 0.5], slots=9
            )

    def test_first_caller_always_first(self, monkeypatch):
        monkeypatch.setattr(
            _fair_share._PoolQueue,
            "choose_account",
            lambda self, now_s: next(iter(self.backlogged)),
        )
        with pytest.raises(AssertionError):
            check_max_min(
                admission.FairShareQueue, [40, 40], [1.0, 1.0], slots=8
            )

    def test_idle_caller_keeps_an_old_tag(self, monkeypatch):
        monkeypatch.setattr(
            _fair_share._PoolQueue,
            "virtual_time",
            property(lambda self: 0.0, lambda self, value: None),
            raising=False,
        )
        with pytest.raises(AssertionError):
            check_idle_caller_accrues_no_credit(admission.FairShareQueue)

    def test_each_invented_name_has_an_account(self, monkeypatch):
        def locate(self, pool, caller):
            account = _account.Account(SHARE)
            return pool.accounts.setdefault(caller, account), 0

        monkeypatch.setattr(admission.FairShareQueue, "_locate", locate)
        with pytest.raises(AssertionError):
            check_invented_names(admission.FairShareQueue)

    def test_strict_urgency(self, monkeypatch):
        def strict(self):
            for urgency, level in enumerate(self.levels):
                if level.items:
                    return urgency, False
            raise LookupError

        monkeypatch.setattr(_account.Account, "choose_level", strict)
        with pytest.raises(AssertionError):
            check_urgency_guarantee(admission.FairShareQueue)


@pytest.mark.parametrize("name", POLICIES)
class TestEveryPolicy:

    def test_dispatches_no_more_than_free_slots(self, name):
        queue = POLICIES[name]()
        for number in range(10):
            assert queue.admit(item(number), 0.0) is None
        assert len(queue.dequeue({POOL: 3, "other": 5}, 0.0)) == 3
        assert queue.queued() == {POOL: 7}
        assert queue.dequeue({POOL: 0}, 0.0) == []

    def test_past_deadline_is_refused(self, name):
        queue = POLICIES[name]()
        refusal = queue.admit(item(1, deadline_s=5.0), 5.0)
        assert refusal.reason is base.Reason.DEADLINE_EXPIRED

    def test_expire_returns_late_items_once(self, name):
        queue = POLICIES[name]()
        queue.admit(item(1, deadline_s=5.0), 0.0)
        queue.admit(item(2), 0.0)
        assert [late.request_id for late in queue.expire(6.0)] == [1]
        assert queue.expire(6.0) == []
        assert [i.request_id for i in queue.dequeue({POOL: 9}, 6.0)] == [2]

    def test_cancelled_item_is_not_dispatched(self, name):
        queue = POLICIES[name]()
        for number in (1, 2):
            queue.admit(item(number), 0.0)
        queue.cancel(item(1))
        queue.cancel(item(3, pool="other"))
        assert [i.request_id for i in queue.dequeue({POOL: 9}, 0.0)] == [2]

    def test_queue_is_bounded_and_recovers(self, name):
        queue = POLICIES[name]()
        refused = sum(
            queue.admit(item(number), 0.0) is not None for number in range(5000)
        )
        assert refused > 0
        assert len(queue.dequeue({POOL: 10_000}, 0.0)) == 5000 - refused
        assert queue.admit(item(9999), 0.0) is None

    @hypothesis_settings(max_examples=50, deadline=None)
    @given(
        arrivals=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["a", "b", "x"]),
                strategies.integers(0, 7),
                strategies.integers(0, 2),
            ),
            max_size=60,
        )
    )
    def test_without_contention_agrees_with_fifo(self, name, arrivals):
        """Without contention, every policy must behave like the FIFO queue."""
        queue, reference = POLICIES[name](), admission.FifoQueue()
        now_s = 0.0
        for number, (caller, urgency, gap) in enumerate(arrivals):
            now_s += gap
            each = item(number, caller, urgency)
            assert queue.admit(each, now_s) == reference.admit(each, now_s)
            chosen = queue.dequeue({POOL: 64}, now_s)
            assert chosen == reference.dequeue({POOL: 64}, now_s)
            queue.release(each, now_s + 0.5)
            assert queue.queued() == reference.queued()


class TestBounds:

    def test_flooded_level_leaves_room_for_other_levels(self):
        queue = POLICIES["fair"]()
        for number in range(1000):
            queue.admit(item(number, urgency=7, size=1 << 20), 0.0)
        assert queue.queued()[POOL] <= 128
        assert queue.admit(item(2000, urgency=3, size=1 << 20), 0.0) is None

    def test_repeated_request_id_is_refused(self):
        queue = POLICIES["fair"]()
        assert queue.admit(item(1), 0.0) is None
        refusal = queue.admit(item(1), 0.0)
        assert refusal.reason is base.Reason.BAD_REQUEST

    def test_invented_pools_do_not_grow_memory(self):
        queue = POLICIES["fair"]()
        for number in range(2000):
            queue.admit(item(number, pool=f"p{number}"), 0.0)
        assert len(queue.pools_) == _fair_share.MAX_POOLS

    def test_item_that_cannot_be_served_in_time_is_refused(self):
        queue = POLICIES["fair"]()
        queue.admit(item(1), 0.0)
        queue.dequeue({POOL: 1}, 0.0)
        queue.release(item(1), 2.0)
        refusal = queue.admit(item(2, deadline_s=3.0), 2.0)
        assert refusal.reason is base.Reason.DEADLINE_EXPIRED

    def test_one_long_request_does_not_exclude_short_deadlines(self):
        """Guards against a minimum service time that is never corrected."""
        queue = POLICIES["fair"]()
        queue.admit(item(1), 0.0)
        queue.dequeue({POOL: 1}, 0.0)
        queue.release(item(1), 20.0)
        refusals = [
            queue.admit(item(number, deadline_s=21.0), 20.0)
            for number in range(2, 100)
        ]
        assert None in refusals

    def test_item_of_a_removed_caller_can_be_cancelled(self):
        """Guards against items lost when the configuration changes."""
        queue = POLICIES["fair"]()
        for number in (1, 2, 3):
            queue.admit(item(number, "a", deadline_s=5.0), 0.0)
        queue.set_callers({"b": settings.CallerShare(weight=3)})
        queue.cancel(item(2, "a"))
        assert [i.request_id for i in queue.dequeue({POOL: 1}, 0.0)] == [1]
        assert [i.request_id for i in queue.expire(9.0)] == [3]
        assert queue.queued() == {POOL: 0}
        assert queue.pools_[POOL].accounts["b"].share.weight == 3

    def test_heap_of_deadlines_is_bounded(self):
        queue = POLICIES["fair"]()
        for number in range(5000):
            queue.admit(item(number), 0.0)
            queue.cancel(item(number))
        assert len(queue.deadlines_) <= 2 * _fair_share.DEADLINE_HEAP_SLACK

    def test_item_released_at_once_does_not_change_the_estimates(self):
        """A dispatched request whose body is incomplete releases its slot."""
        queue = POLICIES["fair"]()
        queue.admit(item(1), 0.0)
        queue.dequeue({POOL: 1}, 0.0)
        queue.release(item(1), 0.0)
        level = queue.pools_[POOL].accounts["a"].levels[3]
        assert level.cost_s == _account.INITIAL_COST_S
        assert queue.admit(item(1), 0.0) is None

    def test_late_item_is_dropped_and_not_dispatched(self):
        queue = POLICIES["fair"]()
        queue.admit(item(1, deadline_s=1.0), 0.0)
        assert queue.dequeue({POOL: 1}, 2.0) == []
        assert [late.request_id for late in queue.expire(2.0)] == [1]


class TestRefusalThrottle:

    def test_only_a_caller_that_repeats_at_once_is_delayed(self):
        """Guards against an entry whose processor is busy with refusals."""
        queue = POLICIES["fair"]()
        queue.admit(item(1), 0.0)
        delays = [
            queue.refusal_delay_s(item(2, "a"), number / 1000)
            for number in range(200)
        ]
        assert delays[:10] == [0.0] * 10
        assert 0.9 <= max(delays) <= 1.0
        assert queue.refusal_delay_s(item(3, "b"), 0.2) == 0.0
        assert queue.refusal_delay_s(item(4, "a"), 3.0) == 0.0

    def test_slow_refusals_are_never_delayed(self):
        queue = POLICIES["fair"]()
        queue.admit(item(1), 0.0)
        for number in range(100):
            assert queue.refusal_delay_s(item(2), number / 10) == 0.0


class TestSlowStart:

    def test_pool_returns_gradually_after_an_outage(self):
        queue = POLICIES["fair"]()
        for number in range(100):
            queue.admit(item(number), 0.0)
        queue.dequeue({POOL: 0}, 0.0)
        queue.dequeue({POOL: 0}, 5.0)
        sizes = []
        for step in range(6):
            now_s = 6.0 + step
            chosen = queue.dequeue({POOL: 16}, now_s)
            sizes.append(len(chosen))
            for done in chosen:
                queue.release(done, now_s + 0.5)
        assert sizes == [2, 4, 8, 16, 16, 16]

    def test_busy_pool_has_no_outage(self):
        start = _slow_start.SlowStart()
        assert start.allowed(0, 8, 0.0) == 0
        assert start.allowed(0, 8, 9.0) == 0
        assert start.allowed(8, 0, 9.0) == 8
