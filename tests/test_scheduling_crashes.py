"""Tests of the attribution of crashes to tasks."""

import collections

import crashing_fleet
import pytest
import scheduling_fixtures

from baobabdoor import scheduling

# Time after which the lease of a silent worker has certainly ended, whichever
# leader has extended it.
LEASE_END_S = scheduling.Options().max_lease_s + 1.0


class TestRestarts:

    def test_a_task_that_crashes_its_workers_is_not_started_for_ever(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        orders = []
        for _ in range(12):
            orders += fleet.run_starts()
            fleet.advance(0.5)
        assert len(orders) <= crashing_fleet.MAX_STARTS
        assert job.state is scheduling.JobState.FAILED

    def test_the_tasks_that_ran_beside_it_complete(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(6)])
        fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        for _ in range(8):
            fleet.run_starts()
            fleet.advance(0.5)
            fleet.finish_runs()
        assert job.state is scheduling.JobState.COMPLETED
        assert not fleet.scheduler.crashes.accused_tasks

    def test_one_crash_alone_fails_no_job(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step(6)])
        (worker_id,) = {order.worker_id for order in fleet.run_starts()}
        fleet.crash(worker_id)
        for _ in range(4):
            fleet.run_starts()
            fleet.advance(0.5)
        fleet.finish_runs()
        assert job.state is scheduling.JobState.COMPLETED

    def test_many_such_tasks_at_once_are_found(self):
        fleet = crashing_fleet.CrashingFleet(6)
        fleet.crashing_steps = {f"{number:016x}.0.0" for number in range(10)}
        jobs = [
            fleet.submit(f"{number:016x}", [crashing_fleet.step(3)])
            for number in range(20)
        ]
        orders = []
        for _ in range(60):
            orders += fleet.run_starts()
            fleet.advance(0.5)
            fleet.finish_runs()
        states = [job.state for job in jobs]
        assert states[10:] == [scheduling.JobState.COMPLETED] * 10
        assert states[:10] == [scheduling.JobState.FAILED] * 10
        starts = collections.Counter(order.task for order in orders)
        assert max(starts.values()) <= crashing_fleet.MAX_STARTS

    def test_the_next_leader_continues_the_count(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        fleet.run_starts()
        fleet.commit()
        successor = crashing_fleet.CrashingFleet(prefix="x")
        successor.scheduler.load_job(crashing_fleet.CRASHING, job.encode(), 2)
        job = successor.scheduler.jobs[crashing_fleet.CRASHING]
        successor.run_starts()
        assert job.state is scheduling.JobState.FAILED
        assert successor.crash_count == 1

    def test_the_next_leader_learns_where_a_suspect_was_started(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        fleet.run_starts()
        fleet.commit()
        (order,) = fleet.starts()
        successor = crashing_fleet.CrashingFleet(prefix="x")
        successor.scheduler.load_job(crashing_fleet.CRASHING, job.encode(), 2)
        machine = scheduling.MachineRecord(
            "", scheduling_fixtures.POOL, scheduling.MachineState.UP, "z", "y"
        )
        successor.scheduler.maintenance.observe_machines(
            (machine,), successor.now_s
        )
        (task,) = successor.scheduler.jobs[crashing_fleet.CRASHING].tasks()
        assert {crash.partition("@")[0] for crash in task.start_crashes} >= {
            order.worker_id
        }


class TestLongRunning:

    def crash_first_task(self, count):
        """Starts a job until the first of its tasks is given up."""
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(
            crashing_fleet.CRASHING,
            [crashing_fleet.step(count, long_running=True)],
        )
        orders = []
        for _ in range(16):
            orders += fleet.run_starts(percent=100)
            fleet.advance(1)
        return fleet, job, orders

    def test_a_job_keeps_its_other_tasks_when_one_crashes_its_workers(self):
        fleet, job, orders = self.crash_first_task(3)
        first, *others = job.tasks()
        assert (
            len(crashing_fleet.starts_of(first.name, orders))
            <= crashing_fleet.MAX_STARTS
        )
        assert not job.final
        assert all(task.run and not task.run.stopping for task in others)

    def test_the_next_leader_does_not_start_a_task_that_was_given_up(self):
        fleet, job, _ = self.crash_first_task(2)
        fleet.commit()
        successor = crashing_fleet.CrashingFleet(prefix="x")
        successor.scheduler.load_job(crashing_fleet.CRASHING, job.encode(), 2)
        successor.advance(10)
        started = {order.task for order in successor.run_starts()}
        assert started == {f"{crashing_fleet.CRASHING}.0.0.1"}

    def test_a_lasting_gang_without_one_of_its_tasks_does_not_wait_for_ever(
        self,
    ):
        fleet = crashing_fleet.CrashingFleet(6)
        job = fleet.submit(
            crashing_fleet.CRASHING,
            [crashing_fleet.step(2, long_running=True, gang=True)],
        )
        for _ in range(16):
            fleet.run_starts(percent=100)
            fleet.advance(1)
            for task in job.tasks():
                if task.run is not None:
                    run = task.run
                    fleet.end(run.worker_id, task.name, run.run_id, "broken")
        assert job.state is scheduling.JobState.FAILED

    def test_a_job_without_any_other_task_fails(self):
        _, job, _ = self.crash_first_task(1)
        assert job.state is scheduling.JobState.FAILED


class TestEvidence:

    def crashes_after(self, change):
        """Returns the crashes held against a task after a change."""
        fleet = crashing_fleet.CrashingFleet()
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        (order,) = fleet.accept(fleet.starts())
        change(fleet, fleet.scheduler.workers[order.worker_id])
        (task,) = fleet.scheduler.jobs[crashing_fleet.HARMLESS].tasks()
        assert task.run is None
        return len(task.crashes)

    def test_a_planned_end_of_a_worker_is_not_held_against_its_tasks(self):
        def end_while_draining(fleet, worker):
            draining = scheduling_fixtures.record(
                worker.worker_id, draining=True
            )
            fleet.scheduler.observe_worker(draining, fleet.now_s)
            fleet.crash(worker.worker_id)

        def move(fleet, worker):
            worker.cordoned = True
            fleet.crash(worker.worker_id)

        assert self.crashes_after(end_while_draining) == 0
        assert self.crashes_after(move) == 0

    def lose_contact(self, state, machine_worker):
        def change(fleet, worker):
            worker.record = scheduling_fixtures.record(
                worker.worker_id, machine="m1"
            )
            fleet.advance(LEASE_END_S, unresponsive=(worker.worker_id,))
            fleet.plan(may_start=False)
            fleet.scheduler.maintenance.observe_machines(
                (
                    scheduling.MachineRecord(
                        "m1",
                        scheduling_fixtures.POOL,
                        state,
                        "z",
                        machine_worker or worker.worker_id,
                    ),
                ),
                fleet.now_s,
            )

        return self.crashes_after(change)

    def test_a_partitioned_worker_is_not_taken_for_a_crashed_one(self):
        assert self.lose_contact(scheduling.MachineState.UP, "") == 0

    def test_a_lost_worker_that_has_a_successor_has_crashed(self):
        assert self.lose_contact(scheduling.MachineState.UP, "next") == 1

    def test_a_lost_worker_whose_machine_is_down_has_crashed(self):
        assert self.lose_contact(scheduling.MachineState.DOWN, "") == 1

    def list_machine(self, fleet, worker, state, age_s=0.0):
        machine = scheduling.MachineRecord(
            "m1", scheduling_fixtures.POOL, state, "z", worker.worker_id
        )
        fleet.scheduler.maintenance.observe_machines(
            (machine,), fleet.now_s - age_s
        )

    def fall_silent(self, fleet, worker):
        worker.record = scheduling_fixtures.record(
            worker.worker_id, machine="m1"
        )
        del fleet.running[worker.worker_id]
        fleet.now_s += 0.1
        fleet.scheduler.observe_no_response(worker.worker_id, fleet.now_s)

    def test_a_crash_is_stored_as_soon_as_the_machine_is_listed_as_down(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        (order,) = fleet.accept(fleet.starts())
        worker = fleet.scheduler.workers[order.worker_id]
        self.fall_silent(fleet, worker)
        fleet.advance(0.5)
        self.list_machine(fleet, worker, scheduling.MachineState.DOWN)
        successor = scheduling_fixtures.Fleet()
        successor.scheduler.load_job(crashing_fleet.HARMLESS, job.encode(), 2)
        (task,) = successor.scheduler.jobs[crashing_fleet.HARMLESS].tasks()
        assert len(task.crashes) == len(task.start_crashes) == 1

    def next_term(self, job, worker_ids=()):
        """Returns the fleet of the next leader and the task that it loads."""
        job_id = job.spec.job_id
        successor = scheduling_fixtures.Fleet([])
        successor.scheduler.load_job(job_id, job.encode(), 2)
        for worker_id in worker_ids:
            successor.add_worker(worker_id, machine="m1")
        (task,) = successor.scheduler.jobs[job_id].tasks()
        return successor, task

    def crash_machine(self, fleet, worker_id):
        worker = fleet.scheduler.workers[worker_id]
        self.fall_silent(fleet, worker)
        fleet.advance(0.5)
        self.list_machine(fleet, worker, scheduling.MachineState.DOWN)

    def test_a_change_of_leader_is_not_counted_as_a_crash(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        (order,) = fleet.accept(fleet.starts())
        self.crash_machine(fleet, order.worker_id)
        fleet, task = self.next_term(job, ["x1"])
        fleet.running["x1"][task.name, 5] = 50
        fleet.advance(1)
        fleet, task = self.next_term(task.job, ["x1"])
        assert len(task.crashes | task.start_crashes) == 1

    def test_a_suspect_that_outlived_a_restart_is_stored_with_its_life(self):
        """Guards against a crash that a change of leader invents."""
        fleet = scheduling_fixtures.Fleet(["w1"])
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        fleet.accept(fleet.starts())
        fleet.now_s += 0.1
        fleet.running["w1"].clear()
        for _ in range(2):
            fleet.report("w1", start_time_ms=2)
            fleet.commit()
        (task,) = job.tasks()
        assert len(task.crashes | task.start_crashes) == 1
        fleet.advance(1.0, unresponsive=["w1"])
        fleet.report("w1", start_time_ms=2)
        (order,) = fleet.accept(fleet.starts())
        # The third life has accepted it before its first report.
        fleet.now_s += 0.1
        fleet.report("w1", start_time_ms=3)
        assert task.run is not None
        fleet.commit()
        successor = scheduling_fixtures.Fleet([])
        successor.scheduler.load_job(crashing_fleet.HARMLESS, job.encode(), 2)
        successor.now_s = fleet.now_s
        successor.add_worker("w1", start_time_ms=3)
        successor.running["w1"][order.task, order.run_id] = 0
        successor.now_s += 0.1
        successor.report("w1", start_time_ms=3)
        (inherited,) = successor.scheduler.jobs[job.spec.job_id].tasks()
        crashes = task.crashes | task.start_crashes
        assert inherited.crashes | inherited.start_crashes <= crashes

    def test_a_crash_whose_cause_is_known_is_held_against_no_other_task(self):
        fleet = crashing_fleet.CrashingFleet(1)
        harmless = fleet.submit(
            crashing_fleet.HARMLESS, [crashing_fleet.step()]
        )
        (order,) = fleet.accept(fleet.starts())
        fleet.advance(1)
        crashing = fleet.submit(
            crashing_fleet.CRASHING, [crashing_fleet.step()]
        )
        (task,) = crashing.tasks()
        task.crashes = task.start_crashes = frozenset(("a@1",))
        fleet.scheduler.crashes.accused_tasks.add(task)
        assert fleet.accept(fleet.starts())
        worker = fleet.scheduler.workers[order.worker_id]
        self.fall_silent(fleet, worker)
        for _ in range(2):
            fleet.advance(0.5)
            self.list_machine(fleet, worker, scheduling.MachineState.DOWN)
        assert crashing.state is scheduling.JobState.FAILED
        assert not any(task.accused for task in harmless.tasks())

    def test_a_list_older_than_a_report_shows_no_crash(self):
        fleet = crashing_fleet.CrashingFleet()
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        (order,) = fleet.accept(fleet.starts())
        worker = fleet.scheduler.workers[order.worker_id]
        self.fall_silent(fleet, worker)
        self.list_machine(fleet, worker, scheduling.MachineState.DOWN, 0.5)
        assert not fleet.scheduler.crashes.accused_tasks

    def test_a_worker_that_was_cut_off_may_have_ended_its_runs(self):
        def crash_behind_partition(fleet, worker):
            self.fall_silent(fleet, worker)
            fleet.advance(2)
            self.list_machine(fleet, worker, scheduling.MachineState.UP)
            fleet.scheduler.observe_wrong_worker(
                worker.worker_id, worker.record.address
            )

        assert self.crashes_after(crash_behind_partition) == 0

    def test_a_worker_that_outlived_its_runs_has_not_crashed_under_them(self):
        def crash_after_lease(fleet, worker):
            self.fall_silent(fleet, worker)
            fleet.advance(8)
            fleet.plan(may_start=False)
            fleet.advance(2)
            self.list_machine(fleet, worker, scheduling.MachineState.UP)
            self.list_machine(fleet, worker, scheduling.MachineState.DOWN)

        assert self.crashes_after(crash_after_lease) == 0

    def test_two_crashes_long_after_its_start_fail_no_job(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        for _ in range(2):
            (order,) = fleet.run_starts()
            fleet.advance(1)
            fleet.crash(order.worker_id)
        fleet.run_starts()
        fleet.advance(1)
        fleet.finish_runs()
        assert job.state is scheduling.JobState.COMPLETED

    def test_a_run_that_was_being_stopped_may_have_ended_before(self):
        def stop(fleet, worker):
            (run,) = worker.runs.values()
            run.stopping = True
            fleet.crash(worker.worker_id)

        assert self.crashes_after(stop) == 0

    def test_one_certain_crash_after_lost_starts_fails_no_job(self):
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        (task,) = job.tasks()
        task.start_crashes = frozenset(("a@1", "b@1"))
        fleet.scheduler.crashes.accused_tasks.add(task)
        assert len(fleet.run_starts()) == 1
        assert fleet.crash_count == 1
        assert not job.final
        fleet.run_starts()
        assert job.state is scheduling.JobState.FAILED

    def test_a_crash_beside_a_start_of_a_cancelled_job_fails_no_job(self):
        """Guards against a task that is given up for the start of another."""
        fleet = crashing_fleet.CrashingFleet(1)
        fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        assert len(fleet.accept(fleet.starts())) == 1
        harmless = fleet.submit(
            crashing_fleet.HARMLESS, [crashing_fleet.step()]
        )
        (task,) = harmless.tasks()
        task.crashes = task.start_crashes = frozenset(("a@1",))
        # Waits for so long that it starts beside any other run.
        task.trial_wanted_s = fleet.now_s - 3
        fleet.scheduler.crashes.accused_tasks.add(task)
        assert len(fleet.accept(fleet.starts())) == 1
        fleet.scheduler.cancel(crashing_fleet.CRASHING)
        fleet.crash("w0.0")
        assert len(task.start_crashes & task.crashes) == 2
        assert not harmless.final

    def test_a_worker_that_restarts_under_its_id_has_crashed(self):
        def restart(fleet, worker):
            fleet.running[worker.worker_id].clear()
            fleet.now_s += 0.2
            fleet.report(worker.worker_id, start_time_ms=2)

        assert self.crashes_after(restart) == 1


class TestOldList:

    def test_a_list_that_is_older_than_a_report_accuses_no_task(self):
        """Guards against a crash that is held against tasks without cause.

        The end of another worker's lease applies the last list of machines as
        if it had been requested at that moment.
        """
        down, up = scheduling.MachineState.DOWN, scheduling.MachineState.UP
        fleet = scheduling_fixtures.Fleet([])
        fleet.add_worker("w1", machine="m1", cpu_milli=900)
        fleet.add_worker("w22", machine="m22", cpu_milli=1000)
        # The machine of w1 is down; no later list is available.
        fleet.scheduler.maintenance.observe_machines(
            (
                scheduling.MachineRecord(
                    "m1", scheduling_fixtures.POOL, down, "z", ""
                ),
                scheduling.MachineRecord(
                    "m22", scheduling_fixtures.POOL, up, "z", "w22"
                ),
            ),
            fleet.now_s - 2,
        )
        job = fleet.submit(
            crashing_fleet.HARMLESS, [scheduling.StepSpec(2, cpu_milli=600)]
        )
        orders = fleet.accept(fleet.starts())
        assert {order.worker_id for order in orders} == {"w1", "w22"}
        # w22 is silent until its lease ends; w1 reports all the while, and
        # one order to it has no response.
        fleet.scheduler.observe_no_response("w22", fleet.now_s + 0.1)
        fleet.advance(3.5, unresponsive=("w22",))
        fleet.plan()
        fleet.now_s += 0.4
        fleet.report("w1")
        fleet.now_s += 0.1
        fleet.scheduler.observe_no_response("w1", fleet.now_s)
        fleet.plan()
        task = next(
            task
            for task in job.tasks()
            if task.run is not None and task.run.worker_id == "w1"
        )
        assert not task.accused


class TestTimeOfCrashes:

    def crashes(self, down_s, up_s=None):
        """Returns all crashes of a task, and those right after a start.

        Args:
            down_s: Time after the start at which its machine is listed as down.
            up_s: Time at which it was listed as up before; `None` if it was
                not.
        """
        fleet = crashing_fleet.CrashingFleet()
        job = fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        (order,) = fleet.accept(fleet.starts())
        started_s = fleet.now_s
        worker = fleet.scheduler.workers[order.worker_id]
        worker.record = scheduling_fixtures.record(
            worker.worker_id, machine="m1"
        )
        fleet.scheduler.observe_no_response(worker.worker_id, started_s + 0.1)
        up, down = scheduling.MachineState.UP, scheduling.MachineState.DOWN
        for state, listed_s in ((up, up_s), (down, down_s)):
            if listed_s is None:
                continue
            fleet.advance(
                started_s + listed_s - fleet.now_s, (worker.worker_id,)
            )
            fleet.plan(may_start=False)
            name = worker.worker_id if state is up else ""
            machine = scheduling.MachineRecord(
                "m1", scheduling_fixtures.POOL, state, "z", name
            )
            fleet.scheduler.maintenance.observe_machines(
                (machine,), fleet.now_s
            )
        (task,) = job.tasks()
        return len(task.crashes | task.start_crashes), len(task.start_crashes)

    def test_a_crash_soon_after_a_start_is_held_against_it(self):
        assert self.crashes(down_s=1.9) == (1, 1)

    def test_a_crash_that_may_have_come_long_after_a_start_is_no_proof(self):
        assert self.crashes(down_s=2.8) == (1, 0)

    @pytest.mark.parametrize("sent_s", [0.2, 0.35, 0.4])
    def test_a_crash_after_a_start_that_was_sent_late_is_held_against_it(
        self, sent_s
    ):
        """Guards against a task that crashes workers and is never accused."""
        fleet = crashing_fleet.CrashingFleet(1)
        fleet.submit(crashing_fleet.HARMLESS, [crashing_fleet.step()])
        job = fleet.submit(crashing_fleet.CRASHING, [crashing_fleet.step()])
        sent, delayed = fleet.starts()
        fleet.accept([sent])
        fleet.now_s += sent_s
        fleet.report("w0.0")
        fleet.now_s += 0.1
        fleet.answer(delayed, scheduling.OrderOutcome.UNKNOWN)
        fleet.crash("w0.0")
        (task,) = job.tasks()
        assert len(task.start_crashes) == 1

    def test_a_worker_that_was_listed_as_up_has_survived_the_start(self):
        assert self.crashes(down_s=1.9, up_s=1.4)[1] == 0
