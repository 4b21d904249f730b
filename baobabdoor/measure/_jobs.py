"""Suite `jobs`: starts of urgent work, finished work, bad workers and jobs.

Jobs with sizes far from the declared ones run on the in-memory platform in
virtual time, under the naive first-fit policy and under the priority policy.
"""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import random
import statistics

import attrs

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import jobs
from baobabdoor import settings
from baobabdoor import standin
from baobabdoor import timeline
from baobabdoor.measure import _result

DURATION_S = 300
STEP_S = 1.0
# Target for the start of urgent work, in seconds.
URGENT_START_S = 8.2
FENCE_KEY = "control/measured"

KINDS = 6
# Real sizes are this factor of the declared ones, uniform in the logarithm.
LOWEST_FACTOR = 0.25
HIGHEST_FACTOR = 3.0
FAILING_WORKERS = 2
FAILING_JOBS = 4
# Jobs of each class that arrive in a second, on the whole fleet.
URGENT_RATE = 0.5
NORMAL_RATE = 1.0
BACKGROUND_RATE = 0.3
# The flood of background work: its start and length in seconds and its rate.
FLOOD_START_S = 60
FLOOD_S = 30
FLOOD_RATE = 20.0
# Part of the waiting background jobs that are cancelled in one wave.
CANCEL_AT_S = 180
CANCELLED_PART = 0.5


@attrs.frozen
class Arrival:
    """A job that arrives.

    Attributes:
        at_s: Time of arrival in seconds.
        spec: What is declared.
        needs: What it really needs.
        fails: Whether it fails on every worker.
    """

    at_s: float
    spec: jobs.JobSpec
    needs: standin.TaskNeeds
    fails: bool = False


@attrs.define
class Run:
    """What one run showed.

    Attributes:
        urgent_starts_s: Waits of urgent jobs until their task started.
        background_done: Background jobs that finished.
        normal_done: Jobs of middle urgency that finished.
        quarantined: Faulty workers that were quarantined.
        wrongly_quarantined: Sound workers that were.
        parked: Jobs that can never run and were parked.
        wrongly_parked: Sound jobs that were.
        repeated: Non-idempotent jobs with more than one started task.
        started_after_cancel: Cancelled jobs that were started later.
        writes: Transactions on the platform's table.
        jobs: Jobs that arrived.
    """

    urgent_starts_s: list[float] = attrs.field(factory=list)
    background_done: int = 0
    normal_done: int = 0
    quarantined: int = 0
    wrongly_quarantined: int = 0
    parked: int = 0
    wrongly_parked: int = 0
    repeated: int = 0
    started_after_cancel: int = 0
    writes: int = 0
    jobs: int = 0


class Demand:
    """Generates the jobs of one seed.

    Args:
        deployment: Whose pools and teams to use.
        seed: Seed of the generator.
    """

    def __init__(self, deployment: settings.Deployment, seed: int):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.count = 0

    def generate(self) -> list[Arrival]:
        """Returns the arrivals in order of time."""
        arrivals = []
        for second in range(DURATION_S):
            in_flood = 0 <= second - FLOOD_START_S < FLOOD_S
            background = FLOOD_RATE if in_flood else BACKGROUND_RATE
            for rate, urgency in (
                (URGENT_RATE, 0),
                (NORMAL_RATE, 3),
                (background, 7),
            ):
                arrivals.extend(self._second(second, rate, urgency))
        faulty = self.random.sample(
            [item for item in arrivals if item.spec.idempotent], FAILING_JOBS
        )
        return [
            attrs.evolve(item, fails=True) if item in faulty else item
            for item in arrivals
        ]

    def _second(
        self, second: int, rate: float, urgency: int
    ) -> Iterator[Arrival]:
        count = int(rate) + (self.random.random() < rate % 1)
        for _ in range(count):
            yield self._arrival(second, urgency)

    def _arrival(self, second: int, urgency: int) -> Arrival:
        self.count += 1
        kind = self.random.randrange(KINDS)
        declared = 2.0 + kind % 3
        run_s = 2.0 if urgency == 0 else 10.0 + 5.0 * kind
        team = sorted(self.deployment.teams)[kind % len(self.deployment.teams)]
        spec = jobs.JobSpec(
            job_id=f"job-{self.count:06d}",
            team=team,
            pool=self.random.choice(sorted(self.deployment.pools)),
            kind=f"kind-{kind}",
            urgency=urgency,
            cores=declared,
            memory_gb=declared,
            run_s=run_s,
            idempotent=self.random.random() < 0.7,
        )
        factor = _factor(kind)
        needs = standin.TaskNeeds(
            declared * factor, declared * factor, 0, run_s
        )
        return Arrival(second + self.random.random(), spec, needs)


def _factor(kind: int) -> float:
    """Returns how far the real size of a kind is from the declared one."""
    ratio = HIGHEST_FACTOR / LOWEST_FACTOR
    return LOWEST_FACTOR * ratio ** (kind / (KINDS - 1))


class Simulation:
    """Runs one policy over one demand in virtual time.

    Args:
        deployment: Whose pools and teams to use.
        planner: The policy.
        arrivals: The jobs.
        seed: Picks the faulty workers.
    """

    def __init__(
        self,
        deployment: settings.Deployment,
        planner: jobs.JobPlanner,
        arrivals: Sequence[Arrival],
        seed: int,
    ):
        self.deployment = deployment
        self.planner = planner
        self.arrivals = arrivals
        self.random = random.Random(seed)
        self.timers = base.VirtualTimerService()
        needs = {item.spec.job_id: item.needs for item in arrivals}
        core = standin.PlatformCore(
            self.timers, needs=lambda spec: needs[spec.job_id]
        )
        self.platform = standin.MemoryPlatform(self.timers, core)
        recorder = timeline.EventRecorder(
            "measure", base.HybridClock(self.timers.wall_ms), capacity=1
        )
        self.service = jobs.JobService(
            self.platform, recorder, self.timers.wall_ms, lambda: deployment
        )
        self.controller = jobs.JobController(
            self.platform, planner, recorder, self.timers.wall_ms
        )
        self.workers: list[jobs.Worker] = []
        self.started_s: dict[str, float] = {}
        self.cancelled_s: dict[str, float] = {}
        self.late_starts: set[str] = set()

    def run(self) -> Run:
        """Runs to the end and returns what it showed."""
        self._create_workers()
        asyncio.run(self._run())
        return self._collect()

    def _create_workers(self) -> None:
        core = self.platform.core
        specs = standin.lay_out(self.deployment, lambda index: f"vm:{index}")
        for spec in specs:
            core.vms.add(spec, listed_at_once=True)
            size = jobs.Resources(spec.cores, spec.memory_gb, spec.accelerators)
            worker = jobs.Worker(spec.vm_id, spec.pool_hint, size)
            self.workers.append(worker)
        names = sorted(worker.worker_id for worker in self.workers)
        faulty = self.random.sample(names, FAILING_WORKERS)
        core.tasks.failing_workers.update(faulty)
        core.tasks.failing_jobs.update(
            item.spec.job_id for item in self.arrivals if item.fails
        )

    async def _run(self) -> None:
        result = await self.platform.transact(
            [], [fleet_api.Write(FENCE_KEY, {})]
        )
        fence = fleet_api.Condition(FENCE_KEY, result.versions[FENCE_KEY])
        pending = sorted(self.arrivals, key=lambda item: item.at_s)
        position = 0
        for second in range(DURATION_S):
            while position < len(pending) and pending[position].at_s <= second:
                await self.service.submit(pending[position].spec)
                position += 1
            if second == CANCEL_AT_S:
                await self._cancel_wave()
            await self.controller.step(
                fence, self.workers, self.deployment.teams, self.timers.now_s()
            )
            self._note_starts()
            await standin.advance(self.timers, STEP_S)

    async def _cancel_wave(self) -> None:
        waiting = [
            job.spec.job_id
            for job in self.controller.jobs_.values()
            if job.state is jobs.JobState.QUEUED and job.spec.urgency == 7
        ]
        count = int(len(waiting) * CANCELLED_PART)
        for job_id in self.random.sample(sorted(waiting), count):
            await self.service.cancel(job_id)
            self.cancelled_s[job_id] = self.timers.now_s()

    def _note_starts(self) -> None:
        now_s = self.timers.now_s()
        for task_id in self.platform.core.tasks.starts:
            job_id = task_id.rpartition(".")[0]
            if job_id not in self.started_s:
                self.started_s[job_id] = now_s
                if job_id in self.cancelled_s:
                    self.late_starts.add(job_id)

    def _collect(self) -> Run:
        run = Run(jobs=len(self.arrivals))
        core = self.platform.core
        run.writes = core.calls["transact"]
        run.started_after_cancel = len(self.late_starts)
        for item in self.arrivals:
            self._collect_job(item, run)
        now_s = self.timers.now_s()
        evidence = self.planner.failures
        for worker in self.workers:
            if evidence.is_quarantined(worker.worker_id, now_s):
                faulty = worker.worker_id in core.tasks.failing_workers
                run.quarantined += faulty
                run.wrongly_quarantined += not faulty
        return run

    def _collect_job(self, item: Arrival, run: Run) -> None:
        spec = item.spec
        row = self.platform.core.table.read([f"job/{spec.job_id}"])
        value = row[f"job/{spec.job_id}"].value
        # A job that arrives too late to show its start in time is left out.
        if spec.urgency == 0 and item.at_s < DURATION_S - 2 * URGENT_START_S:
            start_s = self.started_s.get(spec.job_id, float(DURATION_S))
            run.urgent_starts_s.append(start_s - item.at_s)
        if value is None:
            return
        done = value["state"] == jobs.JobState.SUCCEEDED.value
        run.background_done += done and spec.urgency == 7
        run.normal_done += done and spec.urgency == 3
        if value["state"] == jobs.JobState.PARKED.value:
            run.parked += item.fails
            run.wrongly_parked += not item.fails
        starts = [
            task_id
            for task_id in self.platform.core.tasks.starts
            if task_id.startswith(f"{spec.job_id}.")
        ]
        run.repeated += not spec.idempotent and len(starts) > 1


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        arrivals = Demand(deployment, seed).generate()
        naive = Simulation(
            deployment, jobs.FirstFitPlanner(), arrivals, seed
        ).run()
        priority = Simulation(
            deployment, jobs.PriorityPlanner(), arrivals, seed
        ).run()
        for name, measured in (("first-fit", naive), ("priority", priority)):
            yield from _results(deployment, name, measured, naive, seed)


def _results(
    deployment: settings.Deployment,
    policy: str,
    measured: Run,
    naive: Run,
    seed: int,
) -> Iterator[_result.Result]:
    def result(
        measure: str, value: float, unit: str, reference: float
    ) -> _result.Result:
        return _result.Result(
            f"jobs.{measure}",
            deployment.deployment,
            policy,
            value,
            unit,
            reference,
            seed,
        )

    waits = measured.urgent_starts_s
    median_s = statistics.median(waits)
    yield result("urgent-start-worst", max(waits), "s", URGENT_START_S)
    yield result("urgent-start-median", median_s, "s", URGENT_START_S)
    yield result(
        "normal-finished", measured.normal_done, "jobs", naive.normal_done
    )
    yield result(
        "background-finished",
        measured.background_done,
        "jobs",
        naive.background_done,
    )
    yield result(
        "workers-quarantined", measured.quarantined, "VMs", FAILING_WORKERS
    )
    yield result(
        "sound-workers-quarantined", measured.wrongly_quarantined, "VMs", 0
    )
    yield result("jobs-parked", measured.parked, "jobs", FAILING_JOBS)
    yield result("sound-jobs-parked", measured.wrongly_parked, "jobs", 0)
    yield result("non-idempotent-repeated", measured.repeated, "jobs", 0)
    yield result(
        "started-after-cancel", measured.started_after_cancel, "jobs", 0
    )
    yield result(
        "writes-per-job", measured.writes / measured.jobs, "transactions", 0
    )
