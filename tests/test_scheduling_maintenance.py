"""Tests of maintenance waves: draining, orders and a change of leader."""

import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000cc"
UP = scheduling.MachineState.UP


def machine(name, worker_id, state=UP, pool=scheduling_fixtures.POOL):
    return scheduling.MachineRecord(name, pool, state, "z", worker_id)


class Waves:
    """Machines m1, m2, ... with workers w1, w2, ... and one wave."""

    def __init__(self, count=3, maximum=1, term=0):
        self.fleet = scheduling_fixtures.Fleet([], term=term)
        self.names = [str(number) for number in range(1, count + 1)]
        self.maintenance = self.fleet.scheduler.maintenance
        self.fleet.now_s += 10
        self.wave = scheduling.Wave(
            1, tuple(f"m{name}" for name in self.names), 20.0, maximum
        )

    def start(self, report=True):
        for name in self.names:
            self.fleet.running.setdefault(f"w{name}", {})
            self.fleet.ended.setdefault(f"w{name}", [])
            record = scheduling_fixtures.record(f"w{name}", machine=f"m{name}")
            self.fleet.scheduler.observe_worker(record, self.fleet.now_s)
            if report:
                self.report(name)
        self.maintenance.observe_wave(self.wave)
        self.list()

    def report(self, name):
        self.fleet.report(f"w{name}")
        self.fleet.scheduler.workers[f"w{name}"].enrolled = True

    def list(self, **changed):
        records = {
            f"m{name}": machine(f"m{name}", f"w{name}") for name in self.names
        }
        self.maintenance.observe_machines(
            tuple((records | changed).values()),
            self.fleet.now_s,
        )

    def plan(self, store=True):
        orders = self.maintenance.plan(self.fleet.now_s)
        if store:
            for plan in self.maintenance.plans.values():
                plan.mark_saved(plan.encode())
            orders += self.maintenance.plan(self.fleet.now_s)
        return orders


class TestOrders:

    def test_an_empty_machine_goes_down_once_the_intent_is_stored(self):
        waves = Waves()
        waves.start()
        assert not waves.plan(store=False)
        ((_, target, order),) = waves.plan()
        assert order.machine == target.machine

    def test_at_most_the_maximum_are_down_or_drained(self):
        waves = Waves(count=6, maximum=2)
        waves.start()
        assert len(waves.plan()) == 2
        assert not waves.plan()

    def take_down(self, waves):
        """Takes one machine down and returns its target."""
        ((plan, target, _),) = waves.plan()
        waves.maintenance.observe_order(
            plan, target, "accepted", waves.fleet.now_s
        )
        return target

    def test_a_list_requested_before_the_order_does_not_end_maintenance(self):
        waves = Waves(count=1)
        waves.start()
        waves.list(m1=machine("m1", ""))
        target = self.take_down(waves)
        waves.fleet.now_s -= 0.1
        waves.list(m1=machine("m1", ""))
        assert target.phase is scheduling.Phase.DOWN
        waves.fleet.now_s += 0.2
        waves.list(m1=machine("m1", ""))
        assert target.phase is scheduling.Phase.DONE

    def test_maintenance_that_was_done_before_the_order_ends_with_the_list(
        self,
    ):
        waves = Waves(count=1)
        waves.start()
        target = self.take_down(waves)
        worker = waves.fleet.scheduler.workers["w1"]
        assert worker.retired
        waves.fleet.now_s += 1.0
        waves.list()
        assert target.phase is scheduling.Phase.DOWN
        waves.fleet.now_s += 2.0
        waves.list()
        assert target.phase is scheduling.Phase.DONE
        assert not worker.retired

    def test_a_machine_counts_as_down_if_its_order_had_no_response(self):
        waves = Waves(count=3, maximum=1)
        waves.start()
        ((plan, target, _),) = waves.plan()
        waves.maintenance.observe_order(
            plan, target, "unknown", waves.fleet.now_s
        )
        assert plan.down() == 1
        waves.fleet.now_s += 1
        ((_, again, _),) = waves.plan()
        assert again is target

    def test_a_machine_that_crashed_does_not_hold_up_the_others(self):
        """Guards against machines that stay cordoned, empty, for ever."""
        waves = Waves(count=2, maximum=1)
        waves.start()
        ((plan, target, _),) = waves.plan()
        (other,) = set(plan.targets.values()) - {target}
        waves.maintenance.observe_order(plan, target, "busy", waves.fleet.now_s)
        crashed = machine(target.machine, "", scheduling.MachineState.DOWN)
        waves.fleet.now_s += 1
        waves.list(**{target.machine: crashed})
        ((_, again, _),) = waves.plan()
        assert again is other
        assert not plan.completed

    def test_a_machine_that_may_have_been_ordered_down_counts_as_down(self):
        """Guards against more machines down than the wave allows."""
        waves = Waves(count=2, maximum=1)
        waves.start()
        ((plan, target, _),) = waves.plan()
        waves.maintenance.observe_order(
            plan, target, "unknown", waves.fleet.now_s
        )
        crashed = machine(target.machine, "", scheduling.MachineState.DOWN)
        waves.fleet.now_s += 0.1
        waves.list(**{target.machine: crashed})
        assert plan.down() == 1

    def test_a_machine_that_crashed_after_its_maintenance_is_done(self):
        """Guards against a wave that waits for a machine lost for good."""
        waves = Waves(count=1)
        waves.start()
        target = self.take_down(waves)
        waves.fleet.now_s += 1
        waves.list(m1=machine("m1", "", scheduling.MachineState.DOWN))
        assert target.phase is scheduling.Phase.DOWN
        waves.fleet.now_s += 2
        waves.list(m1=machine("m1", "", scheduling.MachineState.DOWN))
        assert target.phase is scheduling.Phase.DONE

    def test_a_wave_is_completed_after_every_machine_came_back(self):
        waves = Waves(count=1)
        waves.start()
        ((plan, target, _),) = waves.plan()
        waves.maintenance.observe_order(
            plan, target, "accepted", waves.fleet.now_s
        )
        waves.fleet.now_s += 0.1
        waves.list(m1=machine("m1", "", scheduling.MachineState.MAINTENANCE))
        assert not plan.completed
        waves.list(m1=machine("m1", "w9"))
        assert plan.completed


class TestTakeover:

    def successor(self, phase, worker_id="w1"):
        """Returns the waves of a new leader to which no worker has reported."""
        waves = Waves(count=1, term=1)
        waves.start(report=False)
        plan = waves.maintenance.plans[1]
        target = plan.targets["m1"]
        target.phase, target.worker_id = phase, worker_id
        content = plan.encode()
        target.phase, target.worker_id = type(phase).WAITING, ""
        plan.restore(content)
        return waves, plan

    def load_long_running(self, waves):
        step = scheduling.StepSpec(1, cpu_milli=1000, long_running=True)
        job = scheduling.Job(
            scheduling.JobSpec(JOB, scheduling_fixtures.QUEUE, "", (step,)), 0
        )
        waves.fleet.scheduler.load_job(JOB, job.encode(), 1)
        waves.fleet.running["w1"][f"{JOB}.0.0.0", 1] = 100

    def test_a_worker_that_did_not_report_is_not_drained(self):
        waves = Waves(count=1, term=1)
        waves.start(report=False)
        self.load_long_running(waves)
        assert not waves.plan()
        waves.report("1")
        assert not waves.plan()
        assert waves.fleet.scheduler.workers["w1"].runs

    def test_no_order_is_sent_for_an_intent_before_the_worker_reports(self):
        waves, _ = self.successor(scheduling.Phase.DRAINED)
        assert not waves.plan()
        waves.report("1")
        assert len(waves.plan()) == 1

    def test_a_machine_that_is_down_is_not_ordered_again(self):
        waves, plan = self.successor(scheduling.Phase.DOWN)
        assert plan.down() == 1
        assert not waves.plan()
        waves.list(m1=machine("m1", "w9"))
        assert plan.completed

    def test_a_machine_whose_worker_was_replaced_before_the_order_is_still_due(
        self,
    ):
        waves, plan = self.successor(scheduling.Phase.DRAINED)
        waves.list(m1=machine("m1", "w9"))
        assert not plan.completed
        assert plan.targets["m1"].phase is scheduling.Phase.DRAINING
        assert plan.targets["m1"].worker_id == "w9"
