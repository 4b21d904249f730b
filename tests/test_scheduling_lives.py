"""Tests of which life of a worker an answer or a list shows as ended.

That a life has ended at its address or on its machine says nothing of another
life of the same identifier that the list of workers shows elsewhere.
"""

import pytest
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000d1"
OUTCOMES = scheduling.OrderOutcome
ADDRESS = "10.0.0.2:80"
NEXT_ADDRESS = "10.0.0.9:80"


class Lives(scheduling_fixtures.Fleet):
    """A worker w1, and w22 that answers."""

    def __init__(self, term=0):
        super().__init__([], term=term)
        self.add_worker("w1", machine="m1")
        self.add_worker("w22", machine="m22")
        self.commit()

    @property
    def w1(self):
        return self.scheduler.workers["w1"]

    def list_w1(self, **fields):
        fields = {"machine": "m1", "start_time_ms": 2} | fields
        self.scheduler.observe_worker(
            scheduling_fixtures.record("w1", **fields), self.now_s
        )

    def list_machines(self, requested_s, **workers):
        """Applies a list with the given workers on their machines."""
        self.scheduler.maintenance.observe_machines(
            tuple(
                scheduling.MachineRecord(
                    machine,
                    scheduling_fixtures.POOL,
                    scheduling.MachineState.UP,
                    "z",
                    worker_id,
                )
                for machine, worker_id in workers.items()
            ),
            requested_s,
        )

    def start_on_w1(self):
        self.scheduler.workers["w22"].cordoned = True
        self.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = self.starts()
        self.scheduler.workers["w22"].cordoned = False
        assert order.worker_id == "w1"
        return order


class TestLifeElsewhere:
    """The next leader knows a former life and is shown a later one."""

    def inherited(self):
        fleet = Lives(term=1)
        fleet.scheduler.unfenced.add("w1")
        fleet.list_w1(address=NEXT_ADDRESS, machine="m9")
        assert fleet.w1.record.address == ADDRESS
        return fleet

    def end_at_address(self, fleet):
        fleet.scheduler.observe_wrong_worker("w1", ADDRESS)

    def end_on_machine(self, fleet):
        fleet.now_s += 2.0
        fleet.list_machines(fleet.now_s, m1="w7", m22="w22")

    @pytest.mark.parametrize("end", ["end_at_address", "end_on_machine"])
    def test_its_runs_are_waited_for(self, end):
        """Guards against tasks that start while the later life runs them."""
        fleet = self.inherited()
        getattr(self, end)(fleet)
        assert fleet.scheduler.inherited_blocked()
        assert fleet.hold("w1").address == NEXT_ADDRESS
        fleet.report("w1", start_time_ms=2)
        assert not fleet.scheduler.inherited_blocked()

    @pytest.mark.parametrize("end", ["end_at_address", "end_on_machine"])
    def test_it_is_used(self, end):
        """Guards against a worker that stays retired while it is listed."""
        fleet = self.inherited()
        getattr(self, end)(fleet)
        for _ in range(2):
            fleet.now_s += 0.1
            fleet.report("w1", start_time_ms=2)
            fleet.commit()
        assert fleet.w1.usable(fleet.now_s)

    def test_runs_of_the_life_that_ended_start_again(self):
        fleet = Lives()
        fleet.accept([fleet.start_on_w1()])
        fleet.list_w1(address=NEXT_ADDRESS)
        self.end_at_address(fleet)
        (again,) = fleet.starts()
        assert again.worker_id == "w22"

    def test_a_life_that_is_not_listed_any_more_is_not_waited_for(self):
        fleet = self.inherited()
        fleet.scheduler.observe_unlisted("w1")
        self.end_at_address(fleet)
        assert not fleet.scheduler.inherited_blocked()


class TestFormerAddress:
    """An order to a former address is answered after the worker moved."""

    def moved(self):
        fleet = Lives()
        fleet.list_w1(address=NEXT_ADDRESS)
        for _ in range(2):
            fleet.now_s += 0.1
            fleet.report("w1", start_time_ms=2)
            fleet.commit()
        return fleet

    def test_the_worker_is_not_retired(self):
        """Guards against a second run, and a worker that is lost for good."""
        fleet = self.moved()
        fleet.accept([fleet.start_on_w1()])
        fleet.scheduler.observe_wrong_worker("w1", ADDRESS)
        assert not fleet.w1.retired
        assert not fleet.starts()

    def test_a_stop_ends_no_run(self):
        fleet = self.moved()
        start = fleet.accept([fleet.start_on_w1()])[0]
        stop = scheduling.StopOrder(
            worker_id="w1",
            address=ADDRESS,
            token=7,
            task=start.task,
            run_id=start.run_id,
        )
        fleet.answer(stop, OUTCOMES.WRONG_WORKER)
        assert len(fleet.w1.runs) == 1

    def test_a_start_at_a_former_address_has_not_happened(self):
        fleet = self.moved()
        order = fleet.start_on_w1()
        fleet.w1.record = scheduling_fixtures.record(
            "w1", start_time_ms=2, address="10.0.0.8:80"
        )
        fleet.answer(order, OUTCOMES.WRONG_WORKER)
        assert not fleet.w1.runs
        assert not fleet.w1.retired


class TestOldLists:
    """A list of machines may show a machine as it was a second ago."""

    def running(self):
        fleet = Lives()
        fleet.accept([fleet.start_on_w1()])
        return fleet

    def list_as(self, fleet, state, worker_id, after_s):
        """Returns the starts after a list that does not show w1."""
        fleet.now_s += after_s
        fleet.report("w22")
        record = scheduling.MachineRecord(
            "m1", scheduling_fixtures.POOL, state, "z", worker_id
        )
        fleet.scheduler.maintenance.observe_machines((record,), fleet.now_s)
        return fleet.starts()

    SIGHTS = (
        (scheduling.MachineState.UP, "w0"),
        (scheduling.MachineState.MOVING, ""),
        (scheduling.MachineState.MAINTENANCE, ""),
    )

    @pytest.mark.parametrize(("state", "worker_id"), SIGHTS)
    def test_a_list_that_may_be_older_than_the_worker(self, state, worker_id):
        """Guards against a second run while the first goes on."""
        fleet = self.running()
        assert not self.list_as(fleet, state, worker_id, after_s=0.5)
        assert not fleet.w1.retired

    @pytest.mark.parametrize(("state", "worker_id"), SIGHTS)
    def test_a_list_that_is_newer_than_the_worker(self, state, worker_id):
        """Guards against runs that wait for the end of their lease."""
        fleet = self.running()
        (again,) = self.list_as(fleet, state, worker_id, after_s=1.2)
        assert again.worker_id == "w22"

    def test_a_list_soon_after_a_takeover(self):
        """Guards against inherited tasks that start beside their runs."""
        fleet = Lives(term=1)
        fleet.scheduler.unfenced.add("w1")
        up = scheduling.MachineState.UP
        self.list_as(fleet, up, "w0", after_s=0.5)
        assert fleet.scheduler.inherited_blocked()


class TestReportElsewhere:
    """A later life reports where its refused entry says."""

    def test_inherited_tasks_wait_no_longer(self):
        """Guards against a wait for the inherited bound at each such restart.

        The entry is refused, and at the former address nobody answers.
        """
        fleet = Lives(term=1)
        fleet.scheduler.unfenced.add("w1")
        fleet.list_w1(address=NEXT_ADDRESS, machine="m9")
        fleet.now_s += 0.1
        fleet.report("w1", start_time_ms=2)
        assert not fleet.scheduler.inherited_blocked()
        assert fleet.w1.record.address == NEXT_ADDRESS
        assert fleet.hold("w1").address == NEXT_ADDRESS

    def test_it_is_used(self):
        fleet = Lives()
        fleet.accept([fleet.start_on_w1()])
        fleet.list_w1(address=NEXT_ADDRESS)
        fleet.running["w1"].clear()
        for _ in range(2):
            fleet.now_s += 0.1
            fleet.report("w1", start_time_ms=2)
            fleet.commit()
        assert fleet.w1.usable(fleet.now_s)
        assert fleet.w1.record.address == NEXT_ADDRESS

    def test_an_entry_of_yet_another_life_is_not_followed(self):
        """Guards against an entry of another program."""
        fleet = Lives(term=1)
        fleet.scheduler.unfenced.add("w1")
        fleet.list_w1(address=NEXT_ADDRESS, start_time_ms=2**53)
        fleet.now_s += 0.1
        fleet.report("w1", start_time_ms=2)
        assert fleet.w1.record.address == ADDRESS


class TestEntriesOfTheLifeThatReports:
    """A worker reports a restart before its own entry shows it."""

    def restarted(self):
        fleet = Lives()
        for _ in range(2):
            fleet.now_s += 0.1
            fleet.report("w1", start_time_ms=2)
            fleet.commit()
        return fleet

    def test_an_entry_with_another_address_ends_no_run(self):
        """Guards against an entry of another program: a 421 ended the run."""
        fleet = self.restarted()
        fleet.accept([fleet.start_on_w1()])
        fleet.list_w1(address=NEXT_ADDRESS)
        fleet.scheduler.observe_wrong_worker("w1", NEXT_ADDRESS)
        assert not fleet.starts()
        assert fleet.hold("w1").address == ADDRESS

    def test_an_entry_with_another_machine_is_its_own(self):
        fleet = self.restarted()
        fleet.list_w1(machine="m9")
        assert fleet.w1.record.machine == "m9"

    def test_its_own_entry_follows_one_of_another_program(self):
        """Guards against a worker that is lost for good."""
        fleet = self.restarted()
        fleet.list_w1(address=NEXT_ADDRESS, start_time_ms=2**50)
        assert fleet.w1.record.address == NEXT_ADDRESS
        fleet.list_w1(address=ADDRESS)
        assert fleet.w1.record.address == ADDRESS
