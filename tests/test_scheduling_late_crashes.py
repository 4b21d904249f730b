"""Tests of tasks that crash their workers some time after their start."""

import random

import crashing_fleet
import pytest

from baobabdoor import scheduling

LASTING = "00000000000000d1"


class Deadly(crashing_fleet.CrashingFleet):
    """Some jobs crash their workers, at their start or later."""

    def __init__(self, rng, workers):
        super().__init__(workers)
        self.rng = rng
        self.deadly = set()
        self.due = {}
        self.crashes_of = {}
        self.starts_of = {}
        self.late_s = {}

    def carry_out(self):
        """Carries out the starts and crashes that are due."""
        self.commit()
        crashed = set()
        for order in self.starts():
            if order.worker_id in crashed:
                self.answer(order, scheduling.OrderOutcome.UNKNOWN)
            else:
                self._carry_out_start(order, crashed)
        for (worker_id, name), due_s in list(self.due.items()):
            if worker_id in self.running and self.now_s >= due_s:
                self._crash_worker(worker_id, name, crashed)
        if crashed:
            self.crash(*crashed)
        self.due = {
            key: due_s
            for key, due_s in self.due.items()
            if key[0] in self.running
        }

    def _carry_out_start(self, order, crashed):
        name = order.task
        crashes = len(self.crashes_of.get(name, ()))
        self.starts_of.setdefault(name, []).append(crashes)
        delay_s = self.late_s.get(name.split(".")[0])
        if delay_s:
            self.due[order.worker_id, name] = self.now_s + delay_s
        elif delay_s == 0:
            self._crash_worker(order.worker_id, name, crashed)
            if self.rng.random() < 0.5:
                self.answer(order, scheduling.OrderOutcome.UNKNOWN)
                return
        self.accept([order])

    def _crash_worker(self, worker_id, name, crashed):
        crashed.add(worker_id)
        self.crashes_of.setdefault(name, set()).add(worker_id)


@pytest.mark.parametrize("late_s", [0, 0.2, 0.6, None])
def test_deadly_tasks_start_at_most_three_times_after_three_crashes(late_s):
    """Guards against BUDGET, and against harmless jobs that are given up."""
    worst, given_up = 0, 0
    for seed in range(60):
        rng = random.Random(seed)
        fleet = Deadly(rng, rng.randint(2, 5))
        if rng.random() < 0.5:
            fleet.submit(
                LASTING,
                [crashing_fleet.step(4, long_running=True, max_per_worker=1)],
            )
        others = []
        for number in range(rng.randint(2, 6)):
            job_id = f"{number + 0x100:016x}"
            count = rng.randint(1, 5)
            fleet.submit(job_id, [crashing_fleet.step(count)])
            if number < 2:
                fleet.deadly.add(job_id)
                fleet.late_s[job_id] = (
                    rng.choice((0, 0.2, 0.6, 2.0)) if late_s is None else late_s
                )
            else:
                others.append(job_id)
        for _ in range(250):
            fleet.carry_out()
            fleet.now_s += 0.1
            for worker_id in list(fleet.running):
                fleet.hold(worker_id)
                fleet.report(worker_id)
        for name, starts in fleet.starts_of.items():
            if name.split(".")[0] in fleet.deadly:
                worst = max(worst, sum(count >= 3 for count in starts))
        for job_id in others:
            job = fleet.scheduler.jobs[job_id]
            given_up += job.state is scheduling.JobState.FAILED
    assert worst <= 3
    assert given_up == 0
