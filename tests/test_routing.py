"""Tests of the selection of a backend server."""

import collections

import pytest
import request_fakes as fakes

from baobabdoor import base
from baobabdoor import routing

POOL = "jury-desk"


def make_router(*vms, per_worker=8):
    view = fakes.FakeView(vms)
    policy = fakes.FixedSlots(per_worker)
    return routing.Router(view, policy, "taal", seed=1), view


def fail(router, vm, count, now_s):
    for _ in range(count):
        router.observe(vm, False, now_s)


class TestZones:

    def test_own_zone_is_preferred_until_it_is_full(self):
        own, other = fakes.vm("a"), fakes.vm("b", zone="subic")
        router, _ = make_router(own, other, per_worker=2)
        chosen = [router.acquire(POOL, 0.0) for _ in range(3)]
        assert chosen == [own, own, other]

    def test_worker_of_another_zone_gets_one_request_at_a_time(self):
        # The slot policy does not cover the workers of other zones.
        router, _ = make_router(fakes.vm("b", zone="subic"))
        assert router.free_slots(POOL, 9, 0.0) == 1
        router.acquire(POOL, 0.0)
        assert not router.acquire(POOL, 0.0)
        router.release("b", 0.0)
        assert router.acquire(POOL, 0.0)

    def test_unhealthy_own_zone_is_skipped(self):
        own, other = fakes.vm("a"), fakes.vm("b", zone="subic")
        router, _ = make_router(own, other)
        fail(router, own, 3, 0.0)
        assert router.acquire(POOL, 0.1) == other

    def test_no_worker_is_a_refusal(self):
        router, _ = make_router()
        refusal = router.acquire(POOL, 0.0)
        assert refusal.reason is base.Reason.NO_CAPACITY


class TestLeaving:

    @pytest.mark.parametrize(
        "change", [{"leaving": True}, {"reachable": False}]
    )
    def test_leaving_or_unreachable_vm_gets_no_request(self, change):
        router, _ = make_router(fakes.vm("a", **change))
        assert not router.acquire(POOL, 0.0)

    def test_vm_without_permit_gets_no_request(self):
        router, view = make_router(fakes.vm("a"))
        view.forbidden["a"] = base.Refusal(base.Reason.LEASE_LAPSED, "view")
        assert router.free_slots(POOL, 9, 0.0) == 0
        assert not router.acquire(POOL, 0.0)

    def test_leaving_response_excludes_vm_until_it_has_rebooted(self):
        vm = fakes.vm("a")
        router, view = make_router(vm)
        router.observe_leaving(vm, 0.0)
        assert not router.acquire(POOL, 29.0)
        view.vms = [fakes.vm("a", boot_id="boot-2")]
        assert router.acquire(POOL, 29.0)


class TestHealth:

    def test_ejection_probe_and_recovery(self):
        vm = fakes.vm("a")
        router, _ = make_router(vm)
        fail(router, vm, 2, 0.0)
        assert router.free_slots(POOL, 9, 0.0) == 8
        fail(router, vm, 1, 0.0)
        assert router.free_slots(POOL, 9, 0.5) == 0
        assert router.free_slots(POOL, 9, 1.0) == 1
        router.acquire(POOL, 1.0)
        assert router.free_slots(POOL, 9, 1.0) == 0
        router.release("a", 1.1)
        router.observe(vm, True, 1.1)
        # Slow start: the limit grows linearly to all slots.
        assert router.free_slots(POOL, 9, 1.1) == 1
        assert router.free_slots(POOL, 9, 6.2) == 4
        assert router.free_slots(POOL, 9, 11.2) == 8

    def test_failed_probe_doubles_the_ejection(self):
        vm = fakes.vm("a")
        router, _ = make_router(vm)
        fail(router, vm, 3, 0.0)
        fail(router, vm, 1, 1.0)
        assert router.free_slots(POOL, 9, 2.9) == 0
        assert router.free_slots(POOL, 9, 3.0) == 1

    def test_success_between_failures_prevents_ejection(self):
        vm = fakes.vm("a")
        router, _ = make_router(vm)
        for _ in range(10):
            fail(router, vm, 2, 0.0)
            router.observe(vm, True, 0.0)
        assert router.free_slots(POOL, 9, 0.0) == 8


class TestSelection:

    def test_outstanding_requests_are_spread(self):
        vms = [fakes.vm(name) for name in "abcdef"]
        router, _ = make_router(*vms)
        chosen = [router.acquire(POOL, 0.0).vm_id for _ in range(24)]
        counts = collections.Counter(chosen)
        assert len(counts) == 6
        assert max(counts.values()) <= 7

    def test_every_slot_is_found_and_released(self):
        vms = [fakes.vm(name) for name in "abcdef"]
        router, _ = make_router(*vms, per_worker=3)
        acquired = [router.acquire(POOL, 0.0) for _ in range(18)]
        assert all(acquired)
        assert not router.acquire(POOL, 0.0)
        for vm in acquired:
            router.release(vm.vm_id, 0.0)
        assert router.free_slots(POOL, 99, 0.0) == 18

    def test_excluded_servers_are_not_chosen(self):
        router, _ = make_router(fakes.vm("a"), fakes.vm("b"), fakes.vm("c"))
        for _ in range(20):
            vm = router.acquire(POOL, 0.0, excluded=["a", "b"])
            assert vm.vm_id == "c"
            router.release("c", 0.0)
