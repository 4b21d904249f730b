"""Tests of pools with many more suspects than workers."""

import collections
import random

import crashing_fleet
import pytest
import scheduling_fixtures

from baobabdoor import scheduling

SUSPECTS = "00000000000000e1"
OTHER = "00000000000000e2"


def accuse(fleet, job, crash="x1@1"):
    for task in job.tasks():
        task.start_crashes |= {crash}
        task.crashes |= {crash}
        fleet.scheduler.crashes.accused_tasks.add(task)


def run(fleet, seconds):
    """Lets time pass with passes every 0.1 s; returns start times by task."""
    started = {}
    end_s = fleet.now_s + seconds
    while fleet.now_s < end_s:
        fleet.commit()
        for order in fleet.accept(fleet.starts()):
            started.setdefault(order.task, fleet.now_s)
        fleet.now_s += 0.1
        for worker_id in fleet.running:
            fleet.hold(worker_id)
            fleet.report(worker_id)
    return started


class TestManySuspects:

    def wait_beside(self, suspects, workers):
        fleet = scheduling_fixtures.Fleet(
            [f"w{number}" for number in range(workers)]
        )
        job = fleet.submit(
            SUSPECTS,
            [scheduling.StepSpec(suspects, cpu_milli=50, long_running=True)],
        )
        accuse(fleet, job)
        fleet.submit(OTHER, [scheduling.StepSpec(1, cpu_milli=50)])
        begin_s = fleet.now_s
        started = run(fleet, 12.0)
        assert len(started) == suspects + 1
        other = started[f"{OTHER}.0.0.0"] - begin_s
        last = max(started.values()) - begin_s
        return other, last

    @pytest.mark.parametrize("suspects, workers", [(4, 1), (12, 1), (24, 2)])
    def test_another_task_starts_within_3_s(self, suspects, workers):
        """Guards against trials one after the other that keep others out."""
        assert self.wait_beside(suspects, workers)[0] < 3.0

    @pytest.mark.parametrize("suspects, workers", [(4, 1), (12, 1), (24, 2)])
    def test_the_last_suspect_starts_within_3_s(self, suspects, workers):
        """Guards against a wait that grows with the number of suspects."""
        assert self.wait_beside(suspects, workers)[1] < 3.0

    @pytest.mark.parametrize("seed", range(40))
    def test_suspects_of_several_crashes_start_within_3_s(self, seed):
        """Guards against a wait that grows with the number of crashes."""
        rng = random.Random(seed)
        workers = rng.randint(1, 8)
        fleet = scheduling_fixtures.Fleet(
            [f"w{number}" for number in range(workers)]
        )
        jobs = [
            fleet.submit(
                f"{number + 0x100:016x}",
                [
                    scheduling.StepSpec(
                        rng.randint(1, 8),
                        cpu_milli=10,
                        long_running=rng.random() < 0.5,
                    )
                ],
            )
            for number in range(rng.randint(1, 40))
        ]
        # No more crashes than workers: each of them crashed once.
        crashes = [f"x{number}@1" for number in range(rng.randint(1, workers))]
        for job in jobs:
            accuse(fleet, job, rng.choice(crashes))
        fleet.submit(OTHER, [scheduling.StepSpec(1, cpu_milli=50)])
        begin_s = fleet.now_s
        started = run(fleet, 6.0)
        assert len(started) == 1 + sum(len(list(job.tasks())) for job in jobs)
        assert max(started.values()) - begin_s < 3.0


class TestGroups:

    def start_all(self, fleet, suspects, crash_of):
        """Starts single suspects; returns those that started together.

        Args:
            fleet: The fleet.
            suspects: Number of them.
            crash_of: Function that returns the crashes of one of them; those
                right after its start begin with an x.
        """
        job = fleet.submit(
            SUSPECTS,
            [scheduling.StepSpec(suspects, cpu_milli=10, long_running=True)],
        )
        for task in job.tasks():
            task.crashes = crash_of(task.index)
            task.start_crashes = frozenset(
                crash for crash in task.crashes if crash.startswith("x")
            )
            fleet.scheduler.crashes.accused_tasks.add(task)
        groups = []
        end_s = fleet.now_s + 60.0
        while sum(map(len, groups)) < suspects:
            assert fleet.now_s < end_s
            fleet.commit()
            on_worker = collections.defaultdict(list)
            for order in fleet.accept(fleet.starts()):
                index = int(order.task.rpartition(".")[2])
                on_worker[order.worker_id].append(index)
            groups += on_worker.values()
            fleet.now_s += 0.1
            for worker_id in fleet.running:
                fleet.hold(worker_id)
                fleet.report(worker_id)
        return groups

    @pytest.mark.parametrize(
        "crash_of",
        [
            lambda index: frozenset(("x1@1", "x2@1")),
            lambda index: frozenset(("x1@1", "y1@1")),
            lambda index: frozenset((f"x{index}@1",)),
        ],
        ids=["two crashes each", "an earlier crash", "a crash for each"],
    )
    def test_a_task_that_may_well_be_the_cause_starts_alone(self, crash_of):
        """Guards against trials whose crash proves nothing."""
        fleet = scheduling_fixtures.Fleet(["w0", "w1"])
        groups = self.start_all(fleet, 40, crash_of)
        assert max(map(len, groups)) == 1

    @pytest.mark.parametrize("sizes", [[2] * 50, [10] * 10, [3, 40, 2, 2, 40]])
    def test_a_group_holds_at_most_one_expected_cause(self, sizes):
        """Guards against groups that nearly always crash."""
        crashes = [
            f"x{number}@1"
            for number, size in enumerate(sizes)
            for _ in range(size)
        ]
        random.Random(1).shuffle(crashes)
        sharers = collections.Counter(crashes)
        fleet = scheduling_fixtures.Fleet(["w0", "w1"])
        groups = self.start_all(
            fleet, len(crashes), lambda index: frozenset((crashes[index],))
        )
        assert max(map(len, groups)) > 1
        for group in groups:
            assert len(group) <= min(sharers[crashes[index]] for index in group)

    def test_a_gang_that_waits_makes_no_groups_of_others(self):
        fleet = scheduling_fixtures.Fleet(["w0"])
        gang = fleet.submit(
            OTHER, [scheduling.StepSpec(20, cpu_milli=1000, gang=True)]
        )
        accuse(fleet, gang)
        groups = self.start_all(fleet, 3, lambda _: frozenset(("x1@1",)))
        assert max(map(len, groups)) == 1

    @pytest.mark.parametrize("seed", range(20))
    def test_tasks_that_crash_their_workers_are_found_in_groups(self, seed):
        """Guards against BUDGET, and harmless jobs that are given up."""
        rng = random.Random(seed)
        fleet = crashing_fleet.CrashingFleet(rng.randint(1, 6))
        count = rng.randint(1, 4)
        fleet.crashing_steps = {f"{number:016x}.0.0" for number in range(count)}
        jobs = [
            fleet.submit(
                f"{number:016x}",
                [crashing_fleet.step(rng.randint(1, 4), cpu_milli=20)],
            )
            for number in range(rng.randint(20, 60))
        ]
        for job in jobs:
            accuse(fleet, job, f"x{rng.randint(1, 3)}@1")
        starts = collections.Counter()
        for _ in range(400):
            starts.update(order.task for order in fleet.run_starts())
            fleet.advance(0.2)
        fleet.finish_runs()
        states = [job.state for job in jobs]
        assert states[:count] == [scheduling.JobState.FAILED] * count
        assert set(states[count:]) == {scheduling.JobState.COMPLETED}
        # One crash is held against each of them before its first start here.
        crashing = [starts[f"{number:016x}.0.0.0"] for number in range(count)]
        assert max(crashing) < crashing_fleet.MAX_STARTS
