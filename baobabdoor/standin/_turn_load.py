"""Load of several queues that peak in turn, played in virtual time.

Reports what callers get and what it costs. A clairvoyant autoscaler, which
knows the rates, gives a bound that no forecast exceeds by much.
"""

import math
import random

import attrs

from baobabdoor import scheduling
from baobabdoor.standin import _load_model

QUEUES = ("a", "b", "c", "d")
# Rate in a turn and between turns, as multiples of the mean.
PEAK = 5.0
QUIET = 0.05
# Share of a trapezoid's length in which the rate rises, and in which it falls.
RAMP_SHARE = 0.3
# Time before the first turn and after the last one, in seconds.
LEAD_IN_S = 5.0
TAIL_S = 12.0
# Part of a turn whose jobs are reported apart, in seconds.
ONSET_S = 3.0
# Time from the end of a move until the worker is listed. With the wait for its
# first hold request it is 0.5 to 0.7 s in the mean.
WORKER_DELAY_S = (0.4, 0.6)
TASKS_PER_STEP = 8
MAX_TASKS = 40
# Time from an order until a machine's worker gets starts, for the clairvoyant.
READY_S = _load_model.MOVE_S + 0.7
# Multiples of the rate that the clairvoyant provides, for its noise.
CLAIRVOYANT_FACTOR = 1.3


@attrs.frozen
class TurnLoad:
    """Parameters of the load.

    Attributes:
        turn_s: Length of a turn.
        trapezoid: Whether the rate is a trapezoid or a raised cosine.
        rounds: Turns of each queue.
        rates: Jobs per second in the mean, by queue.
        cores: Cores of a machine.
        machines: Number of machines, including those in standby.
        move_rate: Machine orders per second that the platform accepts.
        steps: Steps of a job in the mean.
        task_s: Duration of a task, by queue.
        task_cores: Cores of a task, by queue.
        missing: Numbers of the turns that do not come, counted over all queues.
    """

    turn_s: float
    trapezoid: bool
    rounds: int
    rates: dict[str, float]
    cores: int
    machines: int
    move_rate: float
    steps: float
    task_s: dict[str, float]
    task_cores: dict[str, float]
    missing: frozenset[int] = frozenset()

    @property
    def duration_s(self) -> float:
        """Time of the last turn's end."""
        return LEAD_IN_S + self.rounds * len(self.rates) * self.turn_s

    def turn_start_s(self, number: int) -> float:
        """Returns when a turn starts."""
        return LEAD_IN_S + number * self.turn_s

    def rate(self, queue: str, at_s: float) -> float:
        """Returns the jobs per second of a queue."""
        return self.rates[queue] * (
            QUIET + (PEAK - QUIET) * self.shape(queue, at_s)
        )

    def shape(self, queue: str, at_s: float) -> float:
        """Returns the rate between 0 and 1 at a time."""
        number = math.floor((at_s - LEAD_IN_S) / self.turn_s)
        last = self.rounds * len(self.rates)
        if not 0 <= number < last or number in self.missing:
            return 0.0
        if list(self.rates)[number % len(self.rates)] != queue:
            return 0.0
        part = (at_s - self.turn_start_s(number)) / self.turn_s
        if self.trapezoid:
            return min(1.0, part / RAMP_SHARE, (1 - part) / RAMP_SHARE)
        return (1 - math.cos(2 * math.pi * part)) / 2

    def cores_per_job(self, queue: str) -> float:
        """Returns the core-seconds of a job in the mean."""
        tasks = TASKS_PER_STEP * self.steps
        return tasks * self.task_s[queue] * self.task_cores[queue]


@attrs.frozen
class TurnResult:
    """What callers got and what it cost.

    Attributes:
        onset: Share of the jobs of the first seconds of a turn that ended
            within their objective.
        later_onset: The same without the first round.
        timely: Share of all jobs that did.
        machine_s: Machine-seconds in pools.
        moves: Number of moves.
    """

    onset: float
    later_onset: float
    timely: float
    machine_s: float
    moves: int


@attrs.frozen
class LeaderChange:
    """A change of leader during a load.

    Attributes:
        at_s: When it takes place.
        with_row: Whether the new leader reads what was learned.
        row_age_s: Age of what the leader before has written when it ends; half
            of the interval of writes.
        gap_s: Time from then until the change in which no leader looks.
    """

    at_s: float
    with_row: bool
    row_age_s: float = 2.5
    gap_s: float = 0.0


def draw(seed: int) -> TurnLoad:
    """Returns a load for a seed, for which the machines suffice."""
    rng = random.Random(seed)
    steps = rng.uniform(1.6, 2.0)
    task_s = {queue: rng.uniform(0.7, 1.3) for queue in QUEUES}
    task_cores = {queue: rng.uniform(3, 13) for queue in QUEUES}
    cores = rng.choice((32, 48, 64))
    machines = rng.randint(150, 350)
    rates = {}
    for queue in QUEUES:
        work = TASKS_PER_STEP * steps * task_s[queue] * task_cores[queue]
        share = rng.uniform(0.4, 0.7)
        rate = share * machines * cores / (PEAK * work)
        rates[queue] = min(14.0, max(3.0, rate))
    return TurnLoad(
        turn_s=rng.uniform(4, 10),
        trapezoid=rng.random() < 0.5,
        rounds=rng.choice((2, 3)),
        rates=rates,
        cores=cores,
        machines=machines,
        move_rate=rng.uniform(64, 215),
        steps=steps,
        task_s=task_s,
        task_cores=task_cores,
    )


def play(
    load: TurnLoad, seed: int = 0, clairvoyant: bool = False
) -> TurnResult:
    """Plays a load."""
    return result(load, build(load, seed, clairvoyant))


def build(
    load: TurnLoad,
    seed: int = 0,
    clairvoyant: bool = False,
    change: LeaderChange | None = None,
) -> _load_model.LoadModel:
    """Returns the model after a load has been played."""
    present = max(2, load.machines // 20)
    model = _load_model.LoadModel(
        dict.fromkeys(load.rates, present),
        load.machines - present * len(load.rates),
        load.cores,
        seed,
        options=scheduling.Options(
            move_rate=load.move_rate, forecasts_turns=True
        ),
        worker_delay_s=WORKER_DELAY_S,
    )
    _add_jobs(model, load, random.Random(seed + 1))
    if clairvoyant:
        _foresee(model, load)
    played_s = 0.0
    if change is not None:
        played_s = change.at_s
        _change_leader(model, change)
    model.run(load.duration_s + TAIL_S - played_s)
    return model


def _change_leader(model: _load_model.LoadModel, change: LeaderChange) -> None:
    """Plays the time to a change of leader, which loses its memory."""
    model.run(change.at_s - change.gap_s - change.row_age_s)
    row = model.scheduler.autoscaler.turns.encode(
        model.now_s, model.scheduler.store_ms
    )
    model.run(change.row_age_s)
    model.scheduler.autoscaler.plan = lambda _: []
    model.run(change.gap_s)
    model.scheduler.autoscaler = scheduling.PoolAutoscaler(model.scheduler)
    if change.with_row:
        model.scheduler.autoscaler.turns.restore(
            row, model.now_s, model.scheduler.store_ms
        )


def result(load: TurnLoad, model: _load_model.LoadModel) -> TurnResult:
    """Returns the result of a model that has been played."""
    onset, later = [], []
    begin_s = model.started_s
    for job in model.jobs:
        at_s = job.first_s - begin_s
        number = math.floor((at_s - LEAD_IN_S) / load.turn_s)
        in_turn = load.shape(job.spec.queue, at_s) > 0
        if in_turn and at_s - load.turn_start_s(number) <= ONSET_S:
            onset.append(job.timely)
            if number >= len(load.rates):
                later.append(job.timely)
    return TurnResult(
        _share(onset),
        _share(later),
        _share([job.timely for job in model.jobs]),
        round(model.vm_seconds, 1),
        model.moves,
    )


def _share(values: list[bool]) -> float:
    return round(sum(values) / len(values), 4) if values else 1.0


def _add_jobs(model, load: TurnLoad, rng: random.Random) -> None:
    for queue in load.rates:
        at_s = 0.0
        top = load.rates[queue] * PEAK
        while (at_s := at_s + rng.expovariate(top)) < load.duration_s:
            if rng.random() * top < load.rate(queue, at_s):
                model.add_job(queue, at_s, *_steps(load, queue, rng))


def _steps(load: TurnLoad, queue: str, rng: random.Random):
    count = 1 + (rng.random() < load.steps - 1)
    for number in range(count):
        tasks = round(rng.expovariate(1 / TASKS_PER_STEP))
        yield scheduling.StepSpec(
            min(MAX_TASKS, max(1, tasks)),
            cpu_milli=round(load.task_cores[queue] * 1000),
            estimate_ms=round(load.task_s[queue] * 1000),
            after=(number - 1,) if number else (),
        )


def _foresee(model, load: TurnLoad) -> None:
    """Lets the autoscaler of a model know the rates."""

    def required(pool: str, now_s: float) -> int:
        at_s = now_s - model.started_s
        times = [at_s + READY_S * part / 8 for part in range(9)]
        rate = max(load.rate(pool, time_s) for time_s in times)
        cores = rate * load.cores_per_job(pool) * CLAIRVOYANT_FACTOR
        need = max(cores, autoscaler._demand_cores(pool))
        return max(1, math.ceil(need / 0.9 / load.cores))

    autoscaler = model.scheduler.autoscaler
    autoscaler.required_machines = required
