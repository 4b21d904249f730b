"""Tests of which life of a worker an answer shows as ended."""

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

    def start_on_w1(self):
        self.scheduler.workers["w22"].cordoned = True
        self.submit(JOB, [scheduling.StepSpec(1, cpu_milli=1000)])
        (order,) = self.starts()
        self.scheduler.workers["w22"].cordoned = False
        assert order.worker_id == "w1"
        return order


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
