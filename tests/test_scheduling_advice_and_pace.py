"""Tests of tickets and of throttling best-effort tasks."""

import attrs
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000a1"
OTHER = "00000000000000a2"


class TestAdvice:

    def fleet(self):
        fleet = scheduling_fixtures.Fleet()
        configuration = fleet.scheduler.configuration
        queue = configuration.queues[scheduling_fixtures.QUEUE]
        with_advice = attrs.evolve(
            queue, advice=scheduling.AdvicePolicy(10, 1, 3000)
        )
        fleet.scheduler.configuration = attrs.evolve(
            configuration, queues={with_advice.name: with_advice}
        )
        fleet.submit(JOB, [scheduling.StepSpec(2, cpu_milli=1000)])
        return fleet

    def test_tasks_start_with_a_ticket_on_eligible_workers(self):
        fleet = self.fleet()
        assert not fleet.starts()
        (request,) = fleet.scheduler.advice.take_requests()
        assert request.step == f"{JOB}.0.0"
        fleet.scheduler.advice.observe(request, {"w2": "t-2"}, 3.0, fleet.now_s)
        orders = fleet.starts()
        assert {order.worker_id for order in orders} == {"w2"}
        assert {order.ticket for order in orders} == {"t-2"}

    def test_an_expired_ticket_is_requested_again(self):
        fleet = self.fleet()
        fleet.starts()
        (request,) = fleet.scheduler.advice.take_requests()
        fleet.scheduler.advice.observe(request, {"w2": "t"}, 0.5, fleet.now_s)
        fleet.advance(1.5)
        assert not fleet.starts()
        assert len(fleet.scheduler.advice.take_requests()) == 1

    def test_a_request_without_a_response_is_repeated(self):
        fleet = self.fleet()
        fleet.starts()
        (request,) = fleet.scheduler.advice.take_requests()
        assert not fleet.starts()
        assert not fleet.scheduler.advice.take_requests()
        fleet.scheduler.advice.observe(request, None, 0.0, fleet.now_s)
        fleet.advance(1.5)
        fleet.starts()
        assert len(fleet.scheduler.advice.take_requests()) == 1


class TestPace:

    def fleet(self):
        fleet = scheduling_fixtures.Fleet(["w1"])
        serving = scheduling.StepSpec(
            1, cpu_milli=1000, long_running=True, target_ms=100
        )
        best_effort = scheduling.StepSpec(
            1, cpu_milli=2000, long_running=True, fills=True
        )
        fleet.submit(JOB, [serving])
        fleet.submit(OTHER, [best_effort])
        fleet.accept(fleet.starts(), percent=100)
        return fleet

    def paces(self, fleet, tail_ms, seconds=0.5):
        fleet.now_s += seconds
        fleet.hold("w1")
        fleet.report("w1")
        fleet.scheduler.workers["w1"].runs[f"{JOB}.0.0.0"].gauge = tail_ms
        orders = [
            order
            for order in fleet.plan()
            if isinstance(order, scheduling.PaceOrder)
        ]
        for order in orders:
            fleet.scheduler.observe_pace(
                order,
                scheduling.OrderResult(scheduling.OrderOutcome.ACCEPTED, 1),
            )
        return [order.percent for order in orders]

    def test_a_best_effort_task_is_paused_when_a_target_is_missed(self):
        fleet = self.fleet()
        assert self.paces(fleet, 120) == [0]

    def test_a_best_effort_task_is_throttled_before_a_target_is_missed(self):
        fleet = self.fleet()
        assert self.paces(fleet, 90) == [50]

    def test_a_best_effort_task_is_sped_up_gradually(self):
        fleet = self.fleet()
        self.paces(fleet, 120)
        assert not self.paces(fleet, 20)
        assert self.paces(fleet, 20, seconds=2) == [15]

    def test_a_best_effort_task_without_pressure_keeps_its_pace(self):
        fleet = self.fleet()
        assert not self.paces(fleet, 20)
