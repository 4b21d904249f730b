"""Suite `jobs`: start times, finished jobs, quarantine and parking.

Jobs whose resource usage differs widely from the declared resources run on the
in-memory platform in virtual time, under the naive first-fit policy and under
the priority policy.
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
# Target for the time until an urgent job starts, in seconds.
URGENT_START_S = 8.2
FENCE_KEY = "control/measured"

KIND_COUNT = 6
# Range of the ratio of actual to declared resources, log-uniform over kinds.
MIN_USAGE_RATIO = 0.25
MAX_USAGE_RATIO = 3.0
FAILING_WORKERS = 2
FAILING_JOBS = 4
# Arrival rates of the whole fleet by urgency, in jobs per second.
URGENT_RATE = 0.5
NORMAL_RATE = 1.0
BACKGROUND_RATE = 0.3
# Flood of background jobs: start and duration in seconds, jobs per second.
FLOOD_START_S = 60
FLOOD_DURATION_S = 30
FLOOD_RATE = 20.0
# Time of one mass cancellation, and fraction of the queued background jobs.
CANCEL_AT_S = 180
CANCELLED_FRACTION = 0.5


@attrs.frozen
class Arrival:
    """Submission of one job.

    Attributes:
        arrival_s: Arrival time in seconds.
        spec: Specification with the declared resources.
        needs: Actual resource usage.
        fails: Whether it fails on every worker.
    """

    arrival_s: float
    spec: jobs.JobSpec
    needs: standin.TaskNeeds
    fails: bool = False


@attrs.define
class RunCounts:
    """Counts and waiting times of one simulation.

    Attributes:
        urgent_waits_s: Time until the first task started, for urgent jobs.
        background_succeeded: Number of background jobs that succeeded.
        normal_succeeded: Number of jobs of medium urgency that succeeded.
        quarantined: Number of faulty workers that were quarantined.
        wrongly_quarantined: Number of healthy workers that were quarantined.
        parked: Number of jobs that always fail and were parked.
        wrongly_parked: Number of other jobs that were parked.
        repeated: Number of non-idempotent jobs with more than one started task.
        started_after_cancel: Number of jobs that started after cancellation.
        writes: Number of transactions on the platform's table.
        jobs: Number of submitted jobs.
    """

    urgent_waits_s: list[float] = attrs.field(factory=list)
    background_succeeded: int = 0
    normal_succeeded: int = 0
    quarantined: int = 0
    wrongly_quarantined: int = 0
    parked: int = 0
    wrongly_parked: int = 0
    repeated: int = 0
    started_after_cancel: int = 0
    writes: int = 0
    jobs: int = 0


class JobGenerator:
    """Generates the jobs of one seed.

    Args:
        deployment: Deployment with the pools and teams.
        seed: Seed of the generator.
    """

    def __init__(self, deployment: settings.Deployment, seed: int):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.count = 0

    def generate(self) -> list[Arrival]:
        """Returns the arrivals ordered by second."""
        arrivals = []
        for second in range(DURATION_S):
            in_flood = 0 <= second - FLOOD_START_S < FLOOD_DURATION_S
            background_rate = FLOOD_RATE if in_flood else BACKGROUND_RATE
            for rate, urgency in (
                (URGENT_RATE, 0),
                (NORMAL_RATE, 3),
                (background_rate, 7),
            ):
                arrivals.extend(self._arrivals_in_second(second, rate, urgency))
        faulty = self.random.sample(
            [item for item in arrivals if item.spec.idempotent], FAILING_JOBS
        )
        return [
            attrs.evolve(item, fails=True) if item in faulty else item
            for item in arrivals
        ]

    def _arrivals_in_second(
        self, second: int, rate: float, urgency: int
    ) -> Iterator[Arrival]:
        count = int(rate) + (self.random.random() < rate % 1)
        for _ in range(count):
            yield self._arrival(second, urgency)

    def _arrival(self, second: int, urgency: int) -> Arrival:
        self.count += 1
        kind = self.random.randrange(KIND_COUNT)
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
        factor = _usage_ratio(kind)
        needs = standin.TaskNeeds(
            declared * factor, declared * factor, 0, run_s
        )
        return Arrival(second + self.random.random(), spec, needs)


def _usage_ratio(kind: int) -> float:
    """Returns the ratio of actual to declared resources of a kind."""
    ratio = MAX_USAGE_RATIO / MIN_USAGE_RATIO
    return MIN_USAGE_RATIO * ratio ** (kind / (KIND_COUNT - 1))


class Simulation:
    """Simulates one policy with the jobs of one seed in virtual time.

    Args:
        deployment: Deployment with the pools and teams.
        planner: Policy to measure.
        arrivals: Jobs to submit.
        seed: Seed of the choice of faulty workers and cancelled jobs.
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
        self.starts_after_cancel: set[str] = set()

    def run(self) -> RunCounts:
        """Runs the simulation and returns its counts."""
        self._create_workers()
        asyncio.run(self._run())
        return self._collect()

    def _create_workers(self) -> None:
        core = self.platform.core
        specs = standin.lay_out(self.deployment, lambda index: f"vm:{index}")
        for spec in specs:
            core.vms.add(spec, listed_at_once=True)
            resources = jobs.Resources(
                spec.cores, spec.memory_gb, spec.accelerators
            )
            worker = jobs.Worker(spec.vm_id, spec.pool_hint, resources)
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
        pending = sorted(self.arrivals, key=lambda item: item.arrival_s)
        submitted = 0
        for second in range(DURATION_S):
            while (
                submitted < len(pending)
                and pending[submitted].arrival_s <= second
            ):
                await self.service.submit(pending[submitted].spec)
                submitted += 1
            if second == CANCEL_AT_S:
                await self._cancel_queued_jobs()
            await self.controller.step(
                fence, self.workers, self.deployment.teams, self.timers.now_s()
            )
            self._record_starts()
            await standin.advance(self.timers, STEP_S)

    async def _cancel_queued_jobs(self) -> None:
        waiting = [
            job.spec.job_id
            for job in self.controller.jobs_.values()
            if job.state is jobs.JobState.QUEUED and job.spec.urgency == 7
        ]
        count = int(len(waiting) * CANCELLED_FRACTION)
        for job_id in self.random.sample(sorted(waiting), count):
            await self.service.cancel(job_id)
            self.cancelled_s[job_id] = self.timers.now_s()

    def _record_starts(self) -> None:
        now_s = self.timers.now_s()
        for task_id in self.platform.core.tasks.starts:
            job_id = task_id.rpartition(".")[0]
            if job_id not in self.started_s:
                self.started_s[job_id] = now_s
                if job_id in self.cancelled_s:
                    self.starts_after_cancel.add(job_id)

    def _collect(self) -> RunCounts:
        counts = RunCounts(jobs=len(self.arrivals))
        core = self.platform.core
        counts.writes = core.calls["transact"]
        counts.started_after_cancel = len(self.starts_after_cancel)
        for item in self.arrivals:
            self._collect_job(item, counts)
        now_s = self.timers.now_s()
        failure_tracker = self.planner.failures
        for worker in self.workers:
            if failure_tracker.is_quarantined(worker.worker_id, now_s):
                faulty = worker.worker_id in core.tasks.failing_workers
                counts.quarantined += faulty
                counts.wrongly_quarantined += not faulty
        return counts

    def _collect_job(self, item: Arrival, counts: RunCounts) -> None:
        spec = item.spec
        row = self.platform.core.table.read([f"job/{spec.job_id}"])
        value = row[f"job/{spec.job_id}"].value
        # Excludes jobs that arrive too late to tell whether they start in time.
        if (
            spec.urgency == 0
            and item.arrival_s < DURATION_S - 2 * URGENT_START_S
        ):
            start_s = self.started_s.get(spec.job_id, float(DURATION_S))
            counts.urgent_waits_s.append(start_s - item.arrival_s)
        if value is None:
            return
        done = value["state"] == jobs.JobState.SUCCEEDED.value
        counts.background_succeeded += done and spec.urgency == 7
        counts.normal_succeeded += done and spec.urgency == 3
        if value["state"] == jobs.JobState.PARKED.value:
            counts.parked += item.fails
            counts.wrongly_parked += not item.fails
        starts = [
            task_id
            for task_id in self.platform.core.tasks.starts
            if task_id.startswith(f"{spec.job_id}.")
        ]
        counts.repeated += not spec.idempotent and len(starts) > 1


def run(
    deployment: settings.Deployment, seeds: Sequence[int]
) -> Iterator[_result.Result]:
    """Yields the results of the suite."""
    for seed in seeds:
        arrivals = JobGenerator(deployment, seed).generate()
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
    measured: RunCounts,
    naive: RunCounts,
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

    waits = measured.urgent_waits_s
    median_s = statistics.median(waits)
    yield result("urgent-start-worst", max(waits), "s", URGENT_START_S)
    yield result("urgent-start-median", median_s, "s", URGENT_START_S)
    yield result(
        "normal-finished",
        measured.normal_succeeded,
        "jobs",
        naive.normal_succeeded,
    )
    yield result(
        "background-finished",
        measured.background_succeeded,
        "jobs",
        naive.background_succeeded,
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
