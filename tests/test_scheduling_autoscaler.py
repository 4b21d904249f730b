"""Tests of moves of machines between pools."""

import attrs
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000dd"
POOL = scheduling_fixtures.POOL
UP = scheduling.MachineState.UP


class Pools:
    """A pool with machines m1.. and a pool that is switched off."""

    def __init__(self, count=2, spare=3):
        self.fleet = scheduling_fixtures.Fleet([], standby=("off",))
        self.scheduler = self.fleet.scheduler
        self.machines = []
        for number in range(1, count + 1):
            name = f"w{number}"
            self.fleet.add_worker(name, machine=f"m{number}")
            self.add(f"m{number}", POOL, name)
        for number in range(spare):
            self.add(f"s{number}", "off", "")
        self.list()

    def add(self, machine, pool, worker_id, state=UP):
        self.machines.append(
            scheduling.MachineRecord(machine, pool, state, "z", worker_id)
        )

    def list(self):
        self.scheduler.maintenance.observe_machines(
            tuple(self.machines), self.fleet.now_s
        )

    def moves(self):
        return self.scheduler.autoscaler.plan(self.fleet.now_s)


class TestDemand:

    def test_no_machine_moves_without_demand(self):
        assert not Pools().moves()

    def test_machines_come_for_work_that_the_pool_cannot_do_in_time(self):
        pools = Pools()
        step = scheduling.StepSpec(40, cpu_milli=1000, estimate_ms=1000)
        pools.fleet.submit(JOB, [step])
        moves = pools.moves()
        assert {move.pool for move in moves} == {POOL}
        assert all(move.machine.startswith("s") for move in moves)

    def arrive(self, pools, count, gap_s):
        for _ in range(count):
            pools.fleet.now_s += gap_s
            pools.scheduler.autoscaler.observe_arrival(
                POOL, 1.0, pools.fleet.now_s
            )
        return pools.scheduler.autoscaler.arrival_rate_cores(
            POOL, pools.fleet.now_s
        )

    def test_a_rate_is_known_early_where_many_jobs_arrive(self):
        assert 40 <= self.arrive(Pools(), 20, 0.02) <= 60

    def need_after(self, step, count=1):
        """Machines that a pool needs for one job, and its rate in them."""
        pools = Pools(count=count)
        pools.fleet.submit(JOB, [step])
        autoscaler = pools.scheduler.autoscaler
        now_s = pools.fleet.now_s
        need = autoscaler.required_machines(POOL, now_s)
        rate = autoscaler.arrival_rate_cores(POOL, now_s)
        return need, rate / autoscaler.machine_cores()

    def test_one_large_job_asks_for_little_more_than_it_needs(self):
        step = scheduling.StepSpec(30, cpu_milli=1000, estimate_ms=4000)
        need, rate = self.need_after(step, count=4)
        assert 4 <= need < rate / 2

    def test_machines_come_for_jobs_that_were_rejected(self):
        step = scheduling.StepSpec(60, cpu_milli=1000, estimate_ms=4000)
        need, rate = self.need_after(step)
        assert need >= rate

    def test_a_rate_of_few_arrivals_is_taken_over_a_second(self):
        assert self.arrive(Pools(), 4, 0.05) == 4.0

    def test_machines_that_are_not_needed_are_switched_off(self):
        pools = Pools(count=4)
        assert not pools.moves()
        pools.fleet.advance(3)
        assert {move.pool for move in pools.moves()} == {"off"}

    def test_a_machine_that_was_switched_off_can_come_back_at_once(self):
        pools = Pools(count=4, spare=0)
        pools.moves()
        pools.fleet.advance(3)
        sent = pools.moves()
        assert {move.pool for move in sent} == {"off"}
        for move in sent:
            pools.scheduler.autoscaler.observe_order(move, "accepted")
            pools.machines = [
                attrs.evolve(record, pool="off", worker_id="")
                if record.machine == move.machine
                else record
                for record in pools.machines
            ]
        pools.fleet.advance(1.5)
        pools.list()
        step = scheduling.StepSpec(40, cpu_milli=1000, estimate_ms=1000)
        pools.fleet.submit(JOB, [step])
        assert {move.machine for move in pools.moves()} == {
            move.machine for move in sent
        }


class TestLastingTasks:

    def lasting(self, pools, count=1):
        step = scheduling.StepSpec(count, cpu_milli=1000, long_running=True)
        pools.fleet.submit(JOB, [step])

    def test_a_pool_without_a_usable_worker_gets_a_machine(self):
        pools = Pools(count=1)
        pools.fleet.scheduler.workers["w1"].cordoned = True
        self.lasting(pools)
        assert not pools.fleet.starts()
        assert [move.pool for move in pools.moves()] == [POOL]

    def test_a_crowded_pool_waits_for_the_machine_on_its_way(self):
        pools = Pools(count=1)
        pools.fleet.scheduler.workers["w1"].cordoned = True
        self.lasting(pools)
        ordered = []
        for _ in range(3):
            pools.fleet.starts()
            ordered += pools.moves()
            pools.fleet.now_s += 0.1
        assert len(ordered) == 1

    def test_tasks_apart_get_as_many_machines_as_they_lack(self):
        pools = Pools(count=1)
        step = scheduling.StepSpec(
            3, cpu_milli=100, long_running=True, max_per_worker=1
        )
        pools.fleet.submit(JOB, [step])
        assert len(pools.fleet.starts()) == 1
        assert len(pools.moves()) == 2

    def test_a_machine_that_is_being_emptied_does_not_count(self):
        pools = Pools(count=2)
        autoscaler = pools.scheduler.autoscaler
        assert autoscaler.machine_count(POOL) == 2
        pools.scheduler.workers["w1"].cordoned = True
        assert autoscaler.machine_count(POOL) == 1
