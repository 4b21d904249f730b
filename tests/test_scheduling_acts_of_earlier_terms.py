"""Tests that a leader does not take its own orders for all that happened."""

import attrs
import scheduling_fixtures
import test_scheduling_fencing
import test_scheduling_maintenance

from baobabdoor import scheduling

SERVING = "00000000000000aa"
FILLING = "00000000000000bb"


class TestInheritedPace:

    def report(self, fleet, percent, tail_ms):
        """Reports a run that serves and one that fills beside it."""
        fleet.now_s += 0.5
        fleet.running["w1"] = {
            (f"{SERVING}.0.0.0", 1): 100,
            (f"{FILLING}.0.0.0", 1): percent,
        }
        worker = fleet.scheduler.workers["w1"]
        entries = tuple(
            scheduling.RunEntry(
                task,
                run_id,
                "",
                done,
                tail_ms if task.startswith(SERVING) else 0.0,
            )
            for (task, run_id), done in fleet.running["w1"].items()
        )
        fleet.scheduler.observe_report(
            "w1",
            scheduling.WorkerReport(int(fleet.now_s * 1000), 1, entries, ()),
            worker.token,
            fleet.now_s,
        )

    def test_a_run_that_an_earlier_term_has_paused_goes_on(self):
        """Guards against work that stands still after a takeover.

        The term before had set the pace of the run to 0. It does not progress,
        and the task that it disturbed is far below its target.
        """
        fleet = scheduling_fixtures.Fleet(["w1"], term=1)
        for job_id, step in (
            (
                SERVING,
                scheduling.StepSpec(
                    1, cpu_milli=1000, long_running=True, target_ms=100
                ),
            ),
            (FILLING, scheduling.StepSpec(1, cpu_milli=1000, fills=True)),
        ):
            spec = scheduling.JobSpec(
                job_id, scheduling_fixtures.QUEUE, "text", (step,)
            )
            job = scheduling.Job(spec, 0)
            fleet.scheduler.load_job(job_id, job.encode(), 1)
        paces = []
        for _ in range(40):
            self.report(fleet, 30, tail_ms=10.0)
            paces += [
                order
                for order in fleet.plan()
                if isinstance(order, scheduling.PaceOrder)
            ]
        assert paces and paces[-1].percent > 0


class TestInheritedMaintenance:

    def test_a_list_of_before_the_accepted_order_ends_no_maintenance(self):
        """Guards against LIMIT: one machine more than the maximum is down.

        The order was accepted and stored right before the takeover. The list
        may show the machine as it was up to a second ago.
        """
        waves = test_scheduling_maintenance.Waves(count=2, term=1)
        waves.start()
        plan = waves.maintenance.plans[1]
        target = plan.targets["m1"]
        target.phase, target.worker_id = scheduling.Phase.DOWN, "w1"
        content = plan.encode()
        waves.maintenance.plans.clear()
        waves.fleet.scheduler.started_s = waves.fleet.now_s
        waves.maintenance.observe_wave(waves.wave, content)
        assert waves.maintenance.plans[1].down() == 1
        waves.fleet.now_s += 0.2
        waves.list()
        assert waves.maintenance.plans[1].down() == 1
        assert not waves.plan()


class TestAcknowledgementUnderWay:

    def test_an_end_in_a_life_that_is_not_known_is_not_acknowledged(self):
        """Guards against TWICE: a task starts again after its end.

        A start and a hold with an acknowledgement are under way when the worker
        restarts under its id. The next life carries out both.
        """
        fleet = test_scheduling_fencing.RestartingFleet()
        fleet.run_task(test_scheduling_fencing.FIRST)
        fleet.submit(
            test_scheduling_fencing.SECOND,
            [scheduling.StepSpec(1, cpu_milli=1000)],
        )
        (start,) = fleet.starts()
        hold = fleet.hold("w1")
        assert hold.last_seen == 1
        fleet.now_s += 0.5
        fleet.restart()
        fleet.deliver(start)
        fleet.now_s += test_scheduling_fencing.RUN_S
        fleet.deliver(attrs.evolve(hold))
        unknown = scheduling.OrderResult(scheduling.OrderOutcome.UNKNOWN)
        fleet.scheduler.observe_start(start, unknown, fleet.now_s)
        starts = []
        for _ in range(60):
            fleet.poll()
            fleet.commit()
            for order in fleet.plan():
                if isinstance(order, scheduling.StartOrder):
                    starts.append(order)
                else:
                    fleet.scheduler.observe_stop(order, fleet.deliver(order))
        assert start.task not in fleet.observer.acknowledged or not starts
