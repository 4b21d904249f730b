"""Plays load against the scheduler and checks what callers get."""

import attrs

from baobabdoor import scheduling
from baobabdoor.scheduling import _arrivals
from baobabdoor.standin import _load_model

SHORT = scheduling.StepSpec(8, cpu_milli=2000, estimate_ms=800)
# Jobs per second in each second of a peak.
PEAK = [1, 1, 1, 4, 10, 17, 25, 52, 59, 62, 58, 52, 22, 15, 2, 1]
# Seconds in which the load multiplies, before ordered VMs are ready.
ONSET = range(4, 9)
SEEDS = range(11, 15)


def play_peak(seed, pools=None, standby=160):
    """Plays a peak of short jobs of exponentially distributed sizes."""
    model = _load_model.LoadModel(pools or {"a": 4, "b": 2}, standby, seed=seed)
    random = model.random_
    for second, rate in enumerate(PEAK):
        for _ in range(rate):
            size = round(random.expovariate(1 / SHORT.task_count))
            step = attrs.evolve(SHORT, task_count=min(30, max(1, size)))
            model.add_job("a", second + random.random(), step)
    model.run(len(PEAK) + 12)
    return model


def late_in_onset(model):
    """Returns how many jobs of the onset were late or rejected for good."""
    start_s = model.jobs[0].first_s // 1
    return sum(
        not job.timely
        for job in model.jobs
        if int(job.first_s - start_s) in ONSET
    )


class TestUnneededVms:

    def test_a_pool_without_load_releases_its_vms_within_seconds(self):
        model = _load_model.LoadModel({"a": 40, "b": 40})
        model.run(6)
        left = sum(vm.pool != _load_model.STANDBY_POOL for vm in model.vms)
        # Each pool keeps its minimum and a spare VM.
        assert left <= 4

    def test_vms_that_a_peak_needed_leave_after_it(self):
        model = play_peak(11)
        left = sum(vm.pool != _load_model.STANDBY_POOL for vm in model.vms)
        assert left <= 4


class TestPeak:
    """The load of a pool grows to a multiple within two or three seconds."""

    def test_forecast_halves_lateness_at_the_onset(self, monkeypatch):
        late = sum(late_in_onset(play_peak(seed)) for seed in SEEDS)
        monkeypatch.setattr(_arrivals, "MAX_GROWTH", 1.0)
        naive = sum(late_in_onset(play_peak(seed)) for seed in SEEDS)
        assert naive > 0
        assert late <= naive / 2

    def test_every_job_is_answered_for_good(self):
        """With too few VMs, callers who obey Retry-After are served or late."""
        model = play_peak(11, standby=20)
        assert any(job.tries > 1 for job in model.jobs)
        for job in model.jobs:
            assert job.accepted or job.tries == _load_model.MAX_TRIES

    def test_large_jobs_are_served_under_overload(self):
        """The largest tenth is served at least half as often as all jobs."""
        model = play_peak(12, standby=20)
        ordered = sorted(
            model.jobs, key=lambda job: job.spec.steps[0].task_count
        )
        largest = ordered[-len(ordered) // 10 :]
        share = sum(job.accepted for job in model.jobs) / len(model.jobs)
        assert sum(job.accepted for job in largest) / len(largest) >= share / 2


class TestArrivalRate:

    def observe(self, times):
        arrivals = _arrivals.ArrivalRate()
        for time_s in times:
            arrivals.observe(time_s, 2.0)
        return arrivals

    def test_growing_rate_is_extrapolated(self):
        slow = [number / 5 for number in range(5)]
        fast = [1 + number / 20 for number in range(20)]
        arrivals = self.observe([*slow, *fast])
        assert arrivals.forecast_cores(1.99, 1.0) > 1.5 * arrivals.cores(1.99)

    def test_steady_rate_stays(self):
        arrivals = self.observe([number / 10 for number in range(20)])
        assert arrivals.forecast_cores(1.95, 1.0) == arrivals.cores(1.95)

    def test_few_jobs_show_no_growth(self):
        arrivals = self.observe([1.1, 1.5, 1.9])
        assert arrivals.forecast_cores(1.95, 1.0) == arrivals.cores(1.95)
