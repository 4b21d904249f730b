"""Tests of tickets and of throttling best-effort tasks."""

import attrs
import scheduling_fixtures

from baobabdoor import scheduling

JOB = "00000000000000a1"
OTHER = "00000000000000a2"


class TestAdvice:

    def fleet(self, worker_ids=("w1", "w2"), step=None):
        fleet = scheduling_fixtures.Fleet(worker_ids)
        configuration = fleet.scheduler.configuration
        queue = configuration.queues[scheduling_fixtures.QUEUE]
        with_advice = attrs.evolve(
            queue, advice=scheduling.AdvicePolicy(10, 1, 3000)
        )
        fleet.scheduler.configuration = attrs.evolve(
            configuration, queues={with_advice.name: with_advice}
        )
        fleet.submit(JOB, [step or scheduling.StepSpec(2, cpu_milli=1000)])
        return fleet

    def ask(self, fleet):
        """Returns the request that follows when nothing can start."""
        assert not fleet.starts()
        (request,) = fleet.scheduler.advice.take_requests()
        return request

    def allow(self, fleet, request, *worker_ids):
        tickets = {worker_id: f"t-{worker_id}" for worker_id in worker_ids}
        fleet.scheduler.advice.observe(request, tickets, 3.0, fleet.now_s)

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

    def test_a_failed_request_is_not_repeated_at_once(self):
        """Guards against a request in each planning pass."""
        fleet = self.fleet()
        request = self.ask(fleet)
        fleet.scheduler.advice.observe(request, None, 0.0, fleet.now_s)
        fleet.now_s += 0.1
        assert not fleet.starts()
        assert not fleet.scheduler.advice.take_requests()

    def test_a_gang_starts_with_tickets(self):
        """Guards against a gang whose starts are always refused."""
        fleet = self.fleet(
            step=scheduling.StepSpec(2, cpu_milli=1000, gang=True)
        )
        self.allow(fleet, self.ask(fleet), "w2")
        orders = fleet.starts()
        assert [order.ticket for order in orders] == ["t-w2", "t-w2"]

    def test_workers_beyond_the_first_request_are_asked_about(self):
        """Guards against a step allowed on none of the 30 idlest workers."""
        names = [f"w{number}" for number in range(40)]
        fleet = self.fleet(names)
        first = self.ask(fleet)
        self.allow(fleet, first)
        second = self.ask(fleet)
        assert {*first.workers, *second.workers} == {*names}
        self.allow(fleet, second, second.workers[0])
        assert {order.worker_id for order in fleet.starts()} == {
            second.workers[0]
        }

    def test_no_ticket_is_requested_while_allowed_workers_are_full(self):
        """Guards against a call each second about workers that are refused."""
        fleet = self.fleet()
        self.allow(fleet, self.ask(fleet), "w2")
        fleet.submit(OTHER, [scheduling.StepSpec(1, cpu_milli=4000)])
        self.allow(fleet, self.ask_after_starts(fleet), "w2")
        fleet.now_s += 1.2
        assert not fleet.starts()
        assert not fleet.scheduler.advice.take_requests()

    def ask_after_starts(self, fleet):
        assert len(fleet.accept(fleet.starts())) == 2
        (request,) = fleet.scheduler.advice.take_requests()
        return request

    def test_a_step_that_is_spread_gets_tickets_for_further_workers(self):
        """Guards against tasks that wait for a second allowed worker."""
        names = [f"w{number}" for number in range(31)]
        fleet = self.fleet(
            names, scheduling.StepSpec(2, cpu_milli=1000, max_per_worker=1)
        )
        request = self.ask(fleet)
        self.allow(fleet, request, request.workers[0])
        (left,) = {*names} - {*request.workers}
        assert len(fleet.accept(fleet.starts())) == 1
        (request,) = fleet.scheduler.advice.take_requests()
        assert request.workers == (left,)

    def test_a_ticket_of_an_earlier_life_is_not_used(self):
        """Guards against starts that are refused until it expires."""
        fleet = self.fleet()
        self.allow(fleet, self.ask(fleet), "w2")
        fleet.now_s += 0.1
        # The first report shows the restart, the second the new token.
        for _ in range(2):
            fleet.report("w2", start_time_ms=2)
        fleet.commit()
        assert "w2" in self.ask(fleet).workers

    def test_a_ticket_that_was_refused_is_requested_again(self):
        """Guards against starts with a ticket that its worker refuses."""
        fleet = self.fleet()
        self.allow(fleet, self.ask(fleet), "w2")
        for order in fleet.starts():
            fleet.answer(order, scheduling.OrderOutcome.NO_TICKET)
        fleet.advance(1.5)
        assert "w2" in self.ask(fleet).workers


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

    def paces(
        self,
        fleet,
        tail_ms,
        seconds=0.5,
        outcome=scheduling.OrderOutcome.ACCEPTED,
    ):
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
                order, scheduling.OrderResult(outcome, 1)
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

    def test_a_task_whose_speed_up_had_no_answer_is_paused_again(self):
        """Guards against a pace that was carried out without an answer."""
        fleet = self.fleet()
        assert self.paces(fleet, 120) == [0]
        unknown = scheduling.OrderOutcome.UNKNOWN
        assert self.paces(fleet, 20, seconds=2, outcome=unknown) == [15]
        assert self.paces(fleet, 120) == [0]

    def test_a_takeover_does_not_speed_up_a_task_beside_a_busy_one(self):
        """Guards against full pace for a task that the last leader paused."""
        fleet = self.fleet()
        assert self.paces(fleet, 120) == [0]
        fleet.commit()
        successor = scheduling_fixtures.Fleet([], term=1)
        for job_id, job in fleet.scheduler.jobs.items():
            successor.scheduler.load_job(job_id, job.encode(), 2)
        successor.now_s = fleet.now_s
        successor.add_worker("w1")
        successor.running = fleet.running
        # Between the ratios at which a pace is raised and reduced.
        assert not [
            percent for percent in self.paces(successor, 70) if percent > 15
        ]
