"""Fleet with tasks that crash the workers that start them."""

import scheduling_fixtures

from baobabdoor import scheduling

CRASHING = "00000000000000aa"
HARMLESS = "00000000000000bb"
# Starts after which a task that crashes every worker must have been given up.
MAX_STARTS = 4


def step(count=1, cpu_milli=500, **fields):
    return scheduling.StepSpec(count, cpu_milli=cpu_milli, **fields)


class CrashingFleet(scheduling_fixtures.Fleet):
    """Workers that crash when they start a task of the job `CRASHING`."""

    def __init__(self, worker_count=4, prefix="w"):
        super().__init__([f"{prefix}{i}.0" for i in range(worker_count)])
        self.crash_count = 0
        self.crashing_steps = {f"{CRASHING}.0.0"}

    def crashes_worker(self, order):
        step_name, _, index = order.task.rpartition(".")
        return step_name in self.crashing_steps and index == "0"

    def run_starts(self, percent=0):
        """Carries out the starts that are due; returns all of them."""
        self.commit()
        orders = self.accept(self.starts(), percent)
        self.crash(
            *{order.worker_id for order in orders if self.crashes_worker(order)}
        )
        return orders

    def crash(self, *worker_ids):
        """Replaces crashed workers by successors at the same addresses."""
        self.crash_count += len(worker_ids)
        for worker_id in worker_ids:
            del self.running[worker_id]
            self.scheduler.observe_no_response(worker_id, self.now_s)
        if worker_ids:
            self.advance(1.0)
        for worker_id in worker_ids:
            self.scheduler.observe_unlisted(worker_id)
            self.scheduler.observe_wrong_worker(
                worker_id, self.scheduler.workers[worker_id].record.address
            )
            place, _, life = worker_id.partition(".")
            self.add_worker(f"{place}.{int(life) + 1}")

    def finish_runs(self):
        """Ends all runs as done."""
        for worker_id, runs in self.running.items():
            for task, run_id in list(runs):
                self.end(worker_id, task, run_id)


def starts_of(task, orders):
    return [order for order in orders if order.task == task]
