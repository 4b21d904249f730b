"""Suite `rollout`: duration of maintenance roll-outs and its lower bound."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import random

import attrs

from baobabdoor import maintenance
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor.measure import _fleet_model
from baobabdoor.measure import _result
from baobabdoor.measure import _rollout_under_demand

POLICIES: dict[str, Callable[[], maintenance.MaintenancePolicy]] = {
    "waves": maintenance.WavePlanner,
    "one-at-a-time": maintenance.OneAtATimePlanner,
}
# Time after which a roll-out is stopped; it is then reported with this time.
TIME_LIMIT_S = 20_000.0
# Time until another holder of the control lease starts to plan.
TAKEOVER_S = 10.0


@attrs.frozen
class Scenario:
    """Events during a roll-out.

    Attributes:
        name: Name in the results.
        preset: Preset at the start.
        outages: Number of VMs that are temporarily unreachable.
        failing_reboots: Number of VMs whose reboot fails; -1 for all.
        controller_changes: Number of changes of the control lease's holder.
        switch_to: Preset that is switched to after a third of the lower bound.
        moves: Number of moves between pools that start during the roll-out.
    """

    name: str
    preset: str = "ordinary"
    outages: int = 0
    failing_reboots: int = 0
    controller_changes: int = 0
    switch_to: str = ""
    moves: int = 0


SCENARIOS = (
    Scenario("plain"),
    Scenario("outages", outages=4),
    Scenario("failing-reboot", failing_reboots=1),
    Scenario("controller-change", controller_changes=2),
    Scenario("preset-switch", switch_to="maintenance"),
    Scenario("moves", moves=6),
    Scenario("all-at-once", outages=3, controller_changes=1, moves=4),
)
# Every reboot fails, as with a faulty image. The measure is the number of VMs
# that are out of service before the roll-out stops.
FAULTY_IMAGE = Scenario("faulty-image", failing_reboots=-1)


class RollOutRun:
    """Simulates one roll-out, with its lower bound and its violations.

    Args:
        deployment: Settings of the deployment.
        scenario: Events during the roll-out.
        make_planner: Returns a new planner, one for each controller.
        seed: Seed of durations and events.
    """

    def __init__(
        self,
        deployment: settings.Deployment,
        scenario: Scenario,
        make_planner: Callable[[], maintenance.MaintenancePolicy],
        seed: int,
    ):
        self.deployment = deployment
        self.scenario = scenario
        self.make_planner = make_planner
        self.seed = seed
        preset = deployment.presets[scenario.preset]
        self.model_ = _fleet_model.FleetModel(deployment, preset, seed=seed)
        self.bound_ = LowerBound(deployment)
        self.random_ = random.Random(f"rollout {seed}")
        self.events_ = self._sample_events()
        self.planner_ = make_planner()
        self.takeover_end_s_ = 0.0
        self.violations_ = 0

    def run(self) -> float:
        """Runs the roll-out and returns its duration in seconds."""
        model = self.model_
        while model.now_s_ < TIME_LIMIT_S:
            while self.events_ and self.events_[0][0] <= model.now_s_:
                self._apply(self.events_.pop(0)[1])
            self.bound_.observe(model)
            if model.now_s_ >= self.takeover_end_s_:
                self._plan()
            if self._has_ended():
                return model.now_s_
            model.step()
        return TIME_LIMIT_S

    def _plan(self) -> None:
        model = self.model_
        starts = self.planner_.plan(
            model.snapshot(), self.deployment, model.preset, model.wall_ms
        )
        for start in starts:
            self.violations_ += not model.maintain(start.vm_id)
        # Checks the promises independently of the planner.
        for pool in {start.pool for start in starts}:
            self.violations_ += violates_promise(
                model.snapshot(), pool, model.preset.pools[pool]
            )

    def _has_ended(self) -> bool:
        vms = self.model_.vms_.values()
        operations = any(
            vm.intent and vm.phase is not ownership.Phase.FAILED for vm in vms
        )
        if operations or self.events_:
            return False
        stopped = self.scenario.failing_reboots == -1 and any(
            vm.phase is ownership.Phase.FAILED for vm in vms
        )
        due = any(
            vm.last_maintained_ms < _fleet_model.START_WALL_MS
            and vm.phase is not ownership.Phase.FAILED
            for vm in vms
        )
        return stopped or not due

    def _sample_events(self) -> list[tuple[float, str]]:
        scenario = self.scenario
        span_s = 0.8 * self.bound_.undisturbed_s(self.model_.preset)
        events = []
        for kind, count in (
            ("outage", scenario.outages),
            ("controller", scenario.controller_changes),
            ("move", scenario.moves),
        ):
            for _ in range(count):
                events.append((self.random_.uniform(0, span_s), kind))
        if scenario.switch_to:
            events.append((span_s / 2.4, "switch"))
        vm_ids = sorted(self.model_.vms_)
        failing = scenario.failing_reboots
        count = len(vm_ids) if failing == -1 else failing
        self.model_.failing_reboots_.update(self.random_.sample(vm_ids, count))
        return sorted(events)

    def _apply(self, kind: str) -> None:
        model = self.model_
        if kind == "controller":
            self.planner_ = self.make_planner()
            self.takeover_end_s_ = model.now_s_ + TAKEOVER_S
        elif kind == "switch":
            model.preset = self.deployment.presets[self.scenario.switch_to]
        elif kind == "outage":
            serving = [vm for vm in model.vms_.values() if vm.in_service]
            vm = self.random_.choice(serving)
            model.fail(vm.vm_id, self.random_.uniform(20, 90))
        else:
            self._move()

    def _move(self) -> None:
        """Starts a random move that the budgets allow, if there is one."""
        model = self.model_
        snapshot = model.snapshot()
        promises = model.preset.pools
        for pool in self.random_.sample(sorted(promises), len(promises)):
            members = snapshot.of_pool(pool)
            serving = [vm for vm in members if vm.in_service]
            # After the move, the pool needs a VM beyond its minimum to reboot.
            if len(members) < promises[pool].min_workers + 2:
                continue
            if maintenance.allowed_disruptions(members, promises[pool]):
                target = self.random_.choice(sorted(set(promises) - {pool}))
                model.move(self.random_.choice(serving).vm_id, target)
                return


class LowerBound:
    """Lower bound of the duration: VMs x reboot time / concurrent reboots.

    For each pool, the bound is the earliest time by which the concurrent
    reboots that its budget allows beside outages and moves, integrated over
    time, equal the total reboot time of the pool. In addition, a VM cannot be
    maintained before the end of its outage or move plus its reboot time.

    Args:
        deployment: Settings of the deployment.
    """

    def __init__(self, deployment: settings.Deployment):
        self.deployment = deployment
        self.allowed_: dict[str, list[int]] = {}
        self.available_s_: dict[str, float] = {}

    def undisturbed_s(self, preset: settings.Preset) -> float:
        """Returns the bound without outages and moves, in seconds."""
        bounds_s = []
        for pool_name, pool in self.deployment.pools.items():
            promise = preset.pools[pool_name]
            allowed = min(
                promise.availability_budget, pool.workers - promise.min_workers
            )
            bounds_s.append(pool.workers * pool.reboot_s / allowed)
        return max(bounds_s)

    def observe(self, model: _fleet_model.FleetModel) -> None:
        """Records the reboots that the budgets allow in this tick."""
        members_by_pool = maintenance.members_by_pool(model.vms_.values())
        for pool, promise in model.preset.pools.items():
            members = members_by_pool.get(pool, [])
            lost = 0
            running = 0
            for vm in members:
                rebooting = vm.phase is ownership.Phase.REBOOTING
                running += rebooting and vm.vm_id not in model.failing_reboots_
                if _lost_outside_maintenance(vm, model.failing_reboots_):
                    lost += 1
                    if vm.last_maintained_ms < _fleet_model.START_WALL_MS:
                        self.available_s_[vm.vm_id] = model.now_s_
            allowed = min(
                promise.availability_budget - lost,
                len(members) - lost - promise.min_workers,
            )
            # Reboots in progress continue when a later outage uses the budget.
            self.allowed_.setdefault(pool, []).append(max(allowed, running))

    def total_s(self, model: _fleet_model.FleetModel) -> float:
        """Returns the bound for the VMs that were maintained in the run."""
        work_s = dict.fromkeys(self.allowed_, 0.0)
        bound_s = 0.0
        for vm_id, reboot in model.reboots_.items():
            work_s[reboot.pool] += reboot.duration_s
            if vm_id in self.available_s_:
                end_s = self.available_s_[vm_id] + reboot.duration_s
                bound_s = max(bound_s, end_s)
        for pool, allowed in self.allowed_.items():
            bound_s = max(bound_s, _completion_time_s(allowed, work_s[pool]))
        return bound_s

    def gapless_schedule_s(self, model: _fleet_model.FleetModel) -> float:
        """Returns the duration of a schedule without gaps between reboots.

        It differs from the bound if the VMs of a pool are no multiple of the
        concurrent reboots, because a reboot cannot be divided.
        """
        reboots_s: dict[str, list[float]] = {}
        bound_s = self.total_s(model)
        for reboot in model.reboots_.values():
            reboots_s.setdefault(reboot.pool, []).append(reboot.duration_s)
        for pool, durations_s in reboots_s.items():
            end_s = _schedule_makespan_s(self.allowed_[pool], durations_s)
            bound_s = max(bound_s, end_s)
        return bound_s


def _schedule_makespan_s(allowed: list[int], durations_s: list[float]) -> float:
    """Returns the makespan of a longest-processing-time-first schedule."""
    waiting_s = sorted(durations_s)
    ends_s: list[float] = []
    for tick, count in enumerate(allowed):
        now_s = tick * _fleet_model.TICK_S
        running = sum(end_s > now_s for end_s in ends_s)
        while waiting_s and running < count:
            ends_s.append(now_s + waiting_s.pop())
            running += 1
    return max(ends_s)


def _lost_outside_maintenance(vm: ownership.VmState, failing: set[str]) -> bool:
    """Returns whether a VM is out of service other than for maintenance.

    A VM whose reboot fails counts from the start of that reboot.
    """
    if vm.in_service:
        return False
    if vm.phase is ownership.Phase.REBOOTING:
        return vm.vm_id in failing
    maintained = vm.target_pool == vm.pool
    return not maintained or vm.phase is ownership.Phase.FAILED


def _completion_time_s(allowed: list[int], work_s: float) -> float:
    done_s = 0.0
    for tick, count in enumerate(allowed):
        if done_s + count * _fleet_model.TICK_S >= work_s:
            start_s = tick * _fleet_model.TICK_S
            return start_s + (work_s - done_s) / max(1, count)
        done_s += count * _fleet_model.TICK_S
    return len(allowed) * _fleet_model.TICK_S


def violates_promise(
    snapshot: ownership.FleetSnapshot,
    pool: str,
    promise: settings.PoolPromise,
) -> bool:
    """Returns whether a pool exceeds its budget or violates its minimum."""
    return (
        snapshot.unavailable(pool) > promise.availability_budget
        or snapshot.in_service(pool) < promise.min_workers
    )


def run(
    deployment: settings.Deployment, seeds: Iterable[int]
) -> Iterator[_result.Result]:
    """Simulates every scenario with every policy and yields the results."""
    for seed in seeds:
        for policy in POLICIES:
            for scenario in SCENARIOS:
                yield from _measure(deployment, scenario, policy, seed)
        yield from _measure_faulty_image(deployment, seed)
        bound_s = LowerBound(deployment).undisturbed_s(
            deployment.presets[FAULTY_IMAGE.preset]
        )
        yield from _rollout_under_demand.measure(deployment, bound_s, seed)


def _measure(
    deployment: settings.Deployment,
    scenario: Scenario,
    policy: str,
    seed: int,
) -> Iterator[_result.Result]:
    roll_out = RollOutRun(deployment, scenario, POLICIES[policy], seed)
    time_s = roll_out.run()
    name = deployment.deployment
    yield _result.Result(
        f"roll-out time, {scenario.name}",
        name,
        policy,
        time_s,
        "s",
        roll_out.bound_.total_s(roll_out.model_),
        seed,
    )
    yield _result.Result(
        f"against whole reboots, {scenario.name}",
        name,
        policy,
        time_s,
        "s",
        roll_out.bound_.gapless_schedule_s(roll_out.model_),
        seed,
    )
    yield _result.Result(
        f"budget exceeded, {scenario.name}",
        name,
        policy,
        roll_out.violations_,
        "times",
        0,
        seed,
    )


def _measure_faulty_image(
    deployment: settings.Deployment, seed: int
) -> Iterator[_result.Result]:
    """Yields how many VMs fail with a faulty image before the roll-out stops.

    The reference is the number of reboots in progress when the first failure is
    detected: as many as the budgets allow concurrently.
    """
    preset = deployment.presets[FAULTY_IMAGE.preset]
    allowed = sum(
        min(
            promise.availability_budget,
            deployment.pools[pool].workers - promise.min_workers,
        )
        for pool, promise in preset.pools.items()
    )
    for policy, make_planner in POLICIES.items():
        roll_out = RollOutRun(deployment, FAULTY_IMAGE, make_planner, seed)
        roll_out.run()
        failed = sum(
            vm.phase is ownership.Phase.FAILED
            for vm in roll_out.model_.vms_.values()
        )
        yield _result.Result(
            "VMs lost, faulty-image",
            deployment.deployment,
            policy,
            failed,
            "VMs",
            allowed,
            seed,
        )
