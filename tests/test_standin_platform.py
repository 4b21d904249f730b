"""Tests of the in-process fake of the platform."""

import asyncio

import pytest

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import settings
from baobabdoor import standin

LIVE = fleet_api.VmListState.LIVE
TERMINATED = fleet_api.VmListState.TERMINATED


@pytest.fixture
def timers():
    return base.VirtualTimerService()


@pytest.fixture
def core(timers):
    core = standin.PlatformCore(timers, list_lag_s=2, usage_lag_s=5)
    spec = standin.VmSpec("vm-1", "127.0.0.1:1", "taal", "r1", cores=4)
    core.vms.add(spec, listed_at_once=True)
    return core


class TestTable:

    def test_deleted_row_keeps_its_version(self):
        # Guards against a delayed write that requires an absent row and is
        # applied again after the row was deleted.
        table = standin.Table()
        absent = [fleet_api.Condition("a", 0)]
        assert table.transact(absent, [fleet_api.Write("a", {})])
        assert table.transact([], [fleet_api.Write("a", None)])
        delayed = table.transact(absent, [fleet_api.Write("a", {"late": 1})])
        assert delayed == fleet_api.Conflict(fleet_api.Row("a", 2, None))

    def test_failed_condition_changes_no_row(self):
        table = standin.Table()
        table.transact([], [fleet_api.Write("a", {"n": 1})])
        conditions = [fleet_api.Condition("a", 1), fleet_api.Condition("b", 7)]
        writes = [fleet_api.Write("a", {"n": 2}), fleet_api.Write("b", {})]
        conflict = table.transact(conditions, writes)
        assert conflict.row == fleet_api.Row("b", 0, None)
        assert table.read(["a"])["a"].value == {"n": 1}

    def test_key_written_twice_is_refused(self):
        table = standin.Table()
        writes = [fleet_api.Write("a", {}), fleet_api.Write("a", {"n": 1})]
        assert table.transact([], writes).reason is base.Reason.BAD_REQUEST
        assert table.read(["a"])["a"].version == 0

    def test_scan_returns_only_rows_with_the_prefix(self):
        table = standin.Table()
        for key in ("vm/b/1", "vm/a/2", "vm/a/1", "vm/ab/1"):
            table.transact([], [fleet_api.Write(key, {})])
        table.transact([], [fleet_api.Write("vm/a/1", None)])
        assert [row.key for row in table.scan("vm/a/")] == ["vm/a/2"]

    def test_values_are_not_shared_with_the_caller(self):
        table = standin.Table()
        value = {"pools": ["a"]}
        table.transact([], [fleet_api.Write("a", value)])
        value["pools"].append("b")
        table.read(["a"])["a"].value["pools"].append("c")
        assert table.read(["a"])["a"].value == {"pools": ["a"]}


class TestVms:

    def test_reboot_is_conditional_on_the_boot(self, core, timers):
        # Guards against a second reboot when the call is repeated.
        core.reboot_vm("vm-1", "vm-1.1")
        assert core.reboot_vm("vm-1", "vm-1.1").state is TERMINATED
        timers.advance(90)
        repeated = core.reboot_vm("vm-1", "vm-1.1")
        assert repeated.reason is base.Reason.CONFLICT
        assert core.vms.get("vm-1").record.boot_id == "vm-1.2"

    def test_list_is_delayed(self, core, timers):
        core.vms.terminate("vm-1")
        assert core.list_vms().records[0].state is LIVE
        timers.advance(2)
        assert core.list_vms().records[0].state is TERMINATED

    def test_changes_since_a_version(self, core, timers):
        # Guards against polls that transfer the complete list each time.
        first = core.list_vms()
        assert first.complete
        assert core.list_vms(first.version).records == []
        core.vms.leave("vm-1")
        timers.advance(2)
        (record,) = core.list_vms(first.version).records
        assert record.state is fleet_api.VmListState.LEAVING
        assert core.list_vms("another-list.9").complete

    def test_drain_is_idle_only_without_work(self, core, timers):
        load = {"vm-1": 1}
        core.in_progress = load.get
        assert not core.drain_vm("vm-1", "vm-1.1").idle
        load["vm-1"] = 0
        assert core.drain_vm("vm-1", "vm-1.1").idle
        assert not core.undrain_vm("vm-1", "vm-1.1").idle

    def test_vm_stays_down_after_a_failed_reboot_until_the_next(
        self, core, timers
    ):
        core.vms.failing_reboots.add("vm-1")
        core.reboot_vm("vm-1", "vm-1.1")
        timers.advance(200)
        assert core.list_vms().records[0].state is TERMINATED
        core.reboot_vm("vm-1", "vm-1.1")
        timers.advance(92)
        assert core.list_vms().records[0].boot_id == "vm-1.2"

    def test_terminated_vm_does_not_boot_again(self, core, timers):
        core.reboot_vm("vm-1", "vm-1.1")
        core.vms.terminate("vm-1")
        timers.advance(200)
        assert core.list_vms().records[0].state is TERMINATED
        assert not core.reboot_vm("vm-1", "vm-1.1")


class TestTasks:

    def spec(self, job_id="job", **options):
        values = {"cores": 4.0, "memory_gb": 8.0, "run_s": 10.0} | options
        return fleet_api.TaskSpec(job_id, **values)

    def state(self, core, task_id):
        return core.task_state(task_id).state

    def test_task_id_runs_at_most_once(self, core, timers):
        for _ in range(2):
            core.start_task("vm-1", "t", self.spec())
        timers.advance(10)
        repeated = core.start_task("vm-1", "t", self.spec())
        assert repeated.state is fleet_api.TaskState.SUCCEEDED
        assert core.tasks.starts == {"t": 1}

    def test_forbidden_task_never_starts(self, core):
        assert core.forbid_task("t")
        record = core.start_task("vm-1", "t", self.spec())
        assert record.state is fleet_api.TaskState.FORBIDDEN
        assert not core.tasks.starts

    def test_started_task_cannot_be_forbidden(self, core):
        record = core.start_task("vm-1", "t", self.spec())
        assert core.forbid_task("t") == fleet_api.AlreadyStarted(record)

    def test_lease_stops_a_task_that_is_not_renewed(self, core, timers):
        spec = self.spec(run_s=50.0, lease_s=20.0)
        core.start_task("vm-1", "t", spec)
        timers.advance(15)
        core.renew_tasks(["t"])
        timers.advance(19)
        assert self.state(core, "t") is fleet_api.TaskState.RUNNING
        timers.advance(2)
        assert self.state(core, "t") is fleet_api.TaskState.STOPPED

    def test_shared_processors_slow_tasks_down(self, core, timers):
        core.start_task("vm-1", "a", self.spec())
        core.start_task("vm-1", "b", self.spec())
        timers.advance(19)
        assert self.state(core, "a") is fleet_api.TaskState.RUNNING
        timers.advance(1.1)
        assert self.state(core, "a") is fleet_api.TaskState.SUCCEEDED

    def test_throttled_task_frees_processors_for_others(self, core, timers):
        core.start_task("vm-1", "a", self.spec(run_s=100.0, lease_s=999.0))
        core.start_task("vm-1", "b", self.spec())
        core.throttle_task("a", 0.001)
        timers.advance(10.5)
        assert self.state(core, "b") is fleet_api.TaskState.SUCCEEDED

    def test_checkpoint_keeps_progress_for_the_job(self, core, timers):
        core.start_task("vm-1", "a", self.spec())
        timers.advance(8)
        core.checkpoint_task("a")
        core.start_task("vm-1", "b", self.spec())
        timers.advance(2)
        assert self.state(core, "b") is fleet_api.TaskState.SUCCEEDED

    def test_exceeded_memory_fails_the_newest_task(self, core):
        core.start_task("vm-1", "a", self.spec(memory_gb=30.0))
        core.start_task("vm-1", "b", self.spec(memory_gb=30.0))
        assert self.state(core, "a") is fleet_api.TaskState.RUNNING
        assert core.task_state("b").detail == "out of memory"

    def test_faulty_worker_and_job_fail(self, core, timers):
        core.tasks.failing_jobs.add("bad")
        core.start_task("vm-1", "a", self.spec("bad"))
        core.start_task("vm-1", "b", self.spec("good"))
        core.tasks.failing_workers.add("vm-1")
        core.start_task("vm-1", "c", self.spec("good"))
        timers.advance(1)
        states = [self.state(core, task_id) for task_id in "abc"]
        failed, running = (
            fleet_api.TaskState.FAILED,
            fleet_api.TaskState.RUNNING,
        )
        assert states == [failed, running, failed]

    def test_reboot_fails_the_tasks(self, core):
        core.start_task("vm-1", "a", self.spec())
        core.reboot_vm("vm-1", "vm-1.1")
        assert self.state(core, "a") is fleet_api.TaskState.FAILED

    def test_usage_is_delayed(self, core, timers):
        timers.advance(10)
        core.start_task("vm-1", "a", self.spec())
        assert core.task_usage("vm-1") == []
        timers.advance(5)
        assert core.task_usage("vm-1")[0].cores == 4.0


class TestMemoryPlatform:

    WRITE = [fleet_api.Write("a", {"n": 1})]

    def run_change(self, fake, timers, duration_s):
        async def scenario():
            change = asyncio.ensure_future(fake.transact([], self.WRITE))
            await standin.advance(timers, duration_s)
            assert change.done()
            return change.result()

        return asyncio.run(scenario())

    def version(self, fake):
        return fake.core.table.read(["a"])["a"].version

    @pytest.fixture
    def fake(self, timers, core):
        return standin.MemoryPlatform(timers, core)

    def test_call_is_refused_without_effect_when_down(self, fake, timers):
        fake.faults.down = True
        result = self.run_change(fake, timers, 0)
        assert result.reason is base.Reason.PLATFORM_UNAVAILABLE
        assert self.version(fake) == 0

    def test_lost_response_is_unknown_and_applied(self, fake, timers):
        fake.faults.lose_answers = 1
        result = self.run_change(fake, timers, 2)
        assert isinstance(result, fleet_api.Unknown)
        assert self.version(fake) == 1
        assert self.run_change(fake, timers, 0) == fleet_api.Committed({"a": 2})

    def test_delayed_write_is_applied_after_the_timeout(self, fake, timers):
        fake.faults.delay_writes = 1
        result = self.run_change(fake, timers, 2)
        assert isinstance(result, fleet_api.Unknown)
        assert self.version(fake) == 0
        timers.advance(3)
        assert self.version(fake) == 1

    def test_latency_above_the_timeout_is_unknown(self, fake, timers):
        fake.faults.slow_s = 3.0
        result = self.run_change(fake, timers, 2)
        assert isinstance(result, fleet_api.Unknown)
        assert self.version(fake) == 1

    def test_silence_affects_one_client_only(self, fake, timers):
        other = fake.client()
        other.faults.silent = True
        result = self.run_change(other, timers, 2)
        assert isinstance(result, fleet_api.Unknown)
        assert self.version(fake) == 0
        assert self.run_change(fake, timers, 0)

    def test_stale_list(self, fake, timers):
        asyncio.run(fake.list_vms())
        fake.faults.stale_list = True
        fake.core.vms.terminate("vm-1")
        timers.advance(10)
        assert asyncio.run(fake.list_vms())[0].state is LIVE
        fake.faults.stale_list = False
        assert asyncio.run(fake.list_vms())[0].state is TERMINATED

    def test_invalid_fault_changes_nothing(self, fake):
        with pytest.raises(TypeError):
            fake.faults.update({"down": True, "slow_s": "1"})
        with pytest.raises(TypeError):
            fake.faults.update({"down": True, "unknown": 1})
        assert not fake.faults.down


class TestLayOut:

    @pytest.mark.parametrize("name", ["federation", "nam-rung"])
    def test_spreads_pools_over_zones_and_racks(self, name):
        # Guards against a rack failure that affects two VMs of one pool.
        deployment = settings.load_deployment(f"examples/{name}.yaml")
        specs = standin.lay_out(deployment, lambda index: f"10.0.0.1:{index}")
        racks = {}
        for spec in specs:
            racks.setdefault(spec.rack, []).append(spec.pool_hint)
        for pools in racks.values():
            assert len(pools) <= deployment.workers_per_rack
            assert len(set(pools)) == len(pools)
        for pool, options in deployment.pools.items():
            zones = [s.availability_zone for s in specs if s.pool_hint == pool]
            per_zone = options.workers // len(deployment.availability_zones)
            assert {zones.count(zone) for zone in zones} == {per_zone}
        assert len({spec.vm_id for spec in specs}) == len(specs)
