"""Tests of the maintenance policies."""

import collections

import attrs
import fleets
import hypothesis
from hypothesis import strategies
import pytest

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor.measure import _fleet_model
from baobabdoor.measure import _rollout

POLICIES = [maintenance.WavePlanner, maintenance.OneAtATimePlanner]
FEDERATION = fleets.deployment()
ORDINARY = FEDERATION.presets["ordinary"]


class IgnoresBudget(maintenance.MaintenancePolicy):
    """Faulty: takes all due VMs at once."""

    def plan(self, snapshot, deployment, preset, wall_ms):
        return [
            maintenance.StartMaintenance(vm.vm_id, vm.pool, "all")
            for vm in snapshot.vms.values()
            if vm.in_service and vm.last_maintained_ms < fleets.WALL_MS
        ]


class IgnoresUnplannedLosses(maintenance.WavePlanner):
    """Faulty: does not count unplanned losses against the budget."""

    def plan(self, snapshot, deployment, preset, wall_ms):
        vms = {
            vm_id: attrs.evolve(vm, reachable=True)
            for vm_id, vm in snapshot.vms.items()
        }
        return super().plan(
            ownership.FleetSnapshot(vms), deployment, preset, wall_ms
        )


class StatefulPlanner(maintenance.WavePlanner):
    """Faulty: keeps its progress in memory instead of reading the rows."""

    def __init__(self):
        self.started_ = 0

    def plan(self, snapshot, deployment, preset, wall_ms):
        starts = super().plan(snapshot, deployment, preset, wall_ms)
        self.started_ += len(starts)
        return starts if self.started_ <= 10 else []


events = strategies.fixed_dictionaries(
    {
        "outages": strategies.integers(0, 4),
        "controller_changes": strategies.integers(0, 2),
        "moves": strategies.integers(0, 4),
        "failing_reboots": strategies.integers(0, 1),
        "switch_to": strategies.sampled_from(["", "maintenance"]),
    }
)


def run(make_planner, scenario_events, seed):
    scenario = _rollout.Scenario("property", **scenario_events)
    roll_out = _rollout.RollOutRun(FEDERATION, scenario, make_planner, seed)
    return roll_out, roll_out.run()


def check_roll_out(make_planner, scenario_events, seed):
    """Checks budget and promise at each start, and that the roll-out ends."""
    roll_out, time_s = run(make_planner, scenario_events, seed)
    assert not roll_out.violations_, roll_out.model_.refused_
    assert time_s < _rollout.TIME_LIMIT_S


class TestEveryPolicy:

    @pytest.mark.parametrize("policy", POLICIES)
    @hypothesis.settings(max_examples=8, deadline=None, derandomize=True)
    @hypothesis.given(events, strategies.integers(0, 999))
    def test_keeps_budget_and_promise_and_ends(self, policy, given, seed):
        check_roll_out(policy, given, seed)

    @pytest.mark.parametrize("policy", POLICIES)
    def test_plans_nothing_while_maintenance_is_disabled(self, policy):
        preset = FEDERATION.presets["peak"]
        snapshot = fleets.snapshot(FEDERATION)
        assert not policy().plan(snapshot, FEDERATION, preset, fleets.WALL_MS)

    @pytest.mark.parametrize("policy", POLICIES)
    def test_stops_after_consecutive_failed_reboots(self, policy):
        snapshot = fleets.snapshot(
            FEDERATION,
            jury_desk_0=fleets.failed_reboot("jury-desk"),
            backoffice_0=fleets.failed_reboot("backoffice"),
        )
        assert not policy().plan(snapshot, FEDERATION, ORDINARY, fleets.WALL_MS)

    @pytest.mark.parametrize("policy", POLICIES)
    def test_continues_after_a_later_successful_reboot(self, policy):
        snapshot = fleets.snapshot(
            FEDERATION,
            jury_desk_0=fleets.failed_reboot("jury-desk"),
            backoffice_0=fleets.failed_reboot("backoffice"),
            results_desk_0={"last_maintained_ms": fleets.WALL_MS + 1},
        )
        wall_ms = fleets.WALL_MS + 2
        assert policy().plan(snapshot, FEDERATION, ORDINARY, wall_ms)

    @pytest.mark.parametrize("policy", POLICIES)
    def test_an_overdue_reboot_counts_as_failed(self, policy):
        # A controller that crashes during the reboots never marks them failed.
        rebooting = {
            "phase": ownership.Phase.REBOOTING,
            "phase_since_ms": fleets.WALL_MS,
            "intent": "reboot",
        }
        snapshot = fleets.snapshot(
            FEDERATION,
            jury_desk_0={"target_pool": "jury-desk", **rebooting},
            backoffice_0={"target_pool": "backoffice", **rebooting},
        )
        wall_ms = fleets.WALL_MS + 600_000
        assert not policy().plan(snapshot, FEDERATION, ORDINARY, wall_ms)

    @pytest.mark.parametrize("policy", POLICIES)
    def test_failures_outside_maintenance_do_not_stop_it(self, policy):
        failed = {"phase": ownership.Phase.FAILED}
        snapshot = fleets.snapshot(
            FEDERATION, jury_desk_0=failed, jury_desk_1=failed
        )
        assert policy().plan(snapshot, FEDERATION, ORDINARY, fleets.WALL_MS)


class TestFaultyPolicies:
    """Faulty policies, each of which must fail the property."""

    @pytest.mark.parametrize(
        ("policy", "given", "seed"),
        [
            (IgnoresBudget, {}, 0),
            (IgnoresUnplannedLosses, {"outages": 4}, 1),
            (StatefulPlanner, {}, 0),
        ],
    )
    def test_property_rejects(self, policy, given, seed):
        with pytest.raises(AssertionError):
            check_roll_out(policy, given, seed)


class TestWavePlanner:

    def plan(self, snapshot, preset=ORDINARY):
        planner = maintenance.WavePlanner()
        return planner.plan(snapshot, FEDERATION, preset, fleets.WALL_MS)

    def test_uses_the_remaining_budget_of_every_pool(self):
        starts = self.plan(
            fleets.snapshot(FEDERATION, jury_desk_3={"reachable": False})
        )
        count = collections.Counter(start.pool for start in starts)
        assert count.pop("jury-desk") == 1
        assert set(count.values()) == {2}

    def test_keeps_the_promise_if_the_budget_allows_more(self):
        promise = attrs.evolve(ORDINARY.pools["jury-desk"], min_workers=5)
        preset = attrs.evolve(
            ORDINARY, pools={**ORDINARY.pools, "jury-desk": promise}
        )
        starts = self.plan(fleets.snapshot(FEDERATION), preset)
        assert sum(start.pool == "jury-desk" for start in starts) == 1

    def test_spreads_over_zones(self):
        snapshot = fleets.snapshot(FEDERATION)
        starts = self.plan(snapshot)
        zones = collections.Counter(
            snapshot.vms[start.vm_id].availability_zone for start in starts
        )
        assert max(zones.values()) <= FEDERATION.workers_per_rack
        for pool in FEDERATION.pools:
            of_pool = [s.vm_id for s in starts if s.pool == pool]
            pool_zones = {snapshot.vms[v].availability_zone for v in of_pool}
            assert len(pool_zones) == len(of_pool)

    def test_never_loses_a_second_domain(self):
        # The pool has already lost all VMs of one zone.
        changes = {
            vm.vm_id: {"reachable": False}
            for vm in fleets.snapshot(FEDERATION).of_pool("jury-desk")
            if vm.availability_zone == "taal"
        }
        promise = attrs.evolve(
            ORDINARY.pools["jury-desk"], min_workers=0, availability_budget=6
        )
        preset = attrs.evolve(
            ORDINARY, pools={**ORDINARY.pools, "jury-desk": promise}
        )
        snapshot = fleets.snapshot(FEDERATION, **changes)
        taken = {
            snapshot.vms[start.vm_id].availability_zone
            for start in self.plan(snapshot, preset)
            if start.pool == "jury-desk"
        }
        count = sum(s.pool == "jury-desk" for s in self.plan(snapshot, preset))
        assert taken == {"subic", "manila-bay"}
        assert count == 2

    def test_takes_vms_that_missed_a_period_first(self):
        month_ms = 30 * fleets.DAY_MS
        late = {"last_maintained_ms": fleets.WALL_MS - 2 * month_ms}
        snapshot = fleets.snapshot(
            FEDERATION, jury_desk_4=late, jury_desk_5=late
        )
        starts = {s.vm_id for s in self.plan(snapshot) if s.pool == "jury-desk"}
        assert starts == {"jury-desk-4", "jury-desk-5"}

    def test_takes_no_vm_twice_in_a_period(self):
        model = _fleet_model.FleetModel(FEDERATION, ORDINARY)
        model.mark_maintained()
        assert not self.plan(model.snapshot())

    def test_roll_out_identifier_is_deterministic(self):
        snapshot = fleets.snapshot(FEDERATION)
        first = self.plan(snapshot)
        assert first == self.plan(snapshot)
        assert len({start.roll_out for start in first}) == 1
