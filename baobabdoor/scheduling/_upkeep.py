"""Waves of upkeep: which machine is emptied and taken down when.

A machine is first closed for new runs, its lasting tasks are moved as far as
their steps allow, and its other runs end by themselves. The order to go down
is given only after the intent is stored, so that a successor counts it.
"""

import enum
import json

import attrs

from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _placement
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker

# Machines that are emptied ahead, beside those that may be down at once.
AHEAD = 1
# Share of a pool's workers that may be closed at once; at least one.
CLOSED_SHARE = 0.34
# Part of a wave's time after which idle pools are no longer waited for.
PATIENCE = 0.35
# Use of a pool above which its machines wait, while there is time.
BUSY_SHARE = 0.5
# Time after which a machine that is listed with the worker it had cannot be on
# its way down any more: an upkeep takes 2 s.
SETTLED_S = 2.5
# Pause before an order that was refused is repeated.
RETRY_S = 0.6


class Phase(enum.Enum):
    """Where a machine is in its upkeep."""

    WAITING = "waiting"
    CLOSING = "closing"
    # The intent is to be stored, then the order is given.
    INTENDED = "intended"
    DOWN = "down"
    DONE = "done"


@attrs.define(eq=False)
class Due:
    """A machine that is due for upkeep.

    Attributes:
        machine: Name of the machine.
        phase: Where it is.
        retry_at_s: When the next order may be given.
        worker_id: The worker that was on it.
        order_pending: Whether an order awaits its answer.
        accepted_s: When an order was accepted; what was asked for before
            does not show it.
    """

    machine: str
    phase: Phase = Phase.WAITING
    retry_at_s: float = 0.0
    worker_id: str = ""
    order_pending: bool = False
    accepted_s: float = -1e9


@attrs.frozen
class UpkeepOrder:
    """An order to take a machine down for its upkeep."""

    machine: str
    wave: int


class WavePlan:
    """The upkeep of the machines of one wave.

    Args:
        wave: What the operator asks for.
        began_ms: When the wave was first seen, on the store's clock.
    """

    def __init__(self, wave: _types.Wave, began_ms: float):
        self.wave = wave
        self.began_ms = began_ms
        self.due = {name: Due(name) for name in wave.machines}
        self.saved: dict[str, str] = {}

    @property
    def completed(self) -> bool:
        """Whether every machine has had its upkeep or is gone."""
        return all(due.phase is Phase.DONE for due in self.due.values())

    def encode(self) -> bytes:
        """Returns the content of the plan's row."""
        phases = {
            due.machine: [due.phase.value, due.worker_id]
            for due in self.due.values()
            if due.phase in (Phase.INTENDED, Phase.DOWN, Phase.DONE)
        }
        content = {"began_ms": round(self.began_ms), "machines": phases}
        return json.dumps(content, sort_keys=True).encode()

    def restore(self, value: bytes) -> None:
        """Takes over what an earlier tenure stored.

        An intent may have been carried out; it counts as down until the list
        of machines shows another worker or the order is given again.
        """
        content = json.loads(value)
        self.began_ms = content["began_ms"]
        for machine, (phase, worker_id) in content["machines"].items():
            if machine in self.due:
                self.due[machine].phase = Phase(phase)
                self.due[machine].worker_id = worker_id
        self.note_saved(value)

    def note_saved(self, value: bytes) -> None:
        """Notes which intents are stored."""
        self.saved = json.loads(value)["machines"]

    def down(self) -> int:
        """Returns how many machines are down or may be."""
        return sum(
            due.phase in (Phase.INTENDED, Phase.DOWN)
            for due in self.due.values()
        )


class Upkeep:
    """Plans the waves over the workers of a scheduler.

    Args:
        scheduler: Scheduler whose workers are emptied.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.plans: dict[int, WavePlan] = {}
        self.machines: dict[str, _types.MachineRecord] = {}

    def observe_wave(self, wave: _types.Wave) -> None:
        """Notes a wave that the operator asks for."""
        if wave.number not in self.plans:
            self.plans[wave.number] = WavePlan(wave, self.scheduler.store_ms)

    def observe_machines(
        self,
        machines: tuple[_types.MachineRecord, ...],
        asked_s: float,
    ) -> None:
        """Notes the platform's list of machines.

        Args:
            machines: The list.
            asked_s: When it was asked for; it may be as old as that.
        """
        self.machines = {record.machine: record for record in machines}
        self._retire_replaced(asked_s)
        for plan in self.plans.values():
            for due in plan.due.values():
                self._observe_machine(due, asked_s)

    def _retire_replaced(self, asked_s: float) -> None:
        """Retires workers whose machine has begun another life.

        Of a worker that came or was heard of after the list was asked for,
        the list may speak of the life before.
        """
        for worker in list(self.scheduler.workers.values()):
            if max(worker.known_s, worker.heard_s) >= asked_s:
                continue
            record = self.machines.get(worker.record.machine)
            if record is None or record.worker_id == worker.worker_id:
                continue
            pool = self.scheduler.configuration.pools.get(record.pool)
            switched_off = pool is not None and pool.standby
            reborn = record.state is _types.MachineState.UP
            if reborn and (record.worker_id or switched_off):
                self.scheduler.retire_worker(worker.worker_id, "followed")
            elif record.state in (
                _types.MachineState.MOVING,
                _types.MachineState.UPKEEP,
            ):
                self.scheduler.retire_worker(worker.worker_id, "down")

    def _observe_machine(self, due: Due, asked_s: float) -> None:
        record = self.machines.get(due.machine)
        if record is None:
            # Removed for good; nothing is left to do.
            due.phase = Phase.DONE
        elif record.state is not _types.MachineState.UP:
            return
        elif due.phase is Phase.DOWN:
            self._observe_down(due, record, asked_s - due.accepted_s)
        elif (
            due.phase in (Phase.CLOSING, Phase.INTENDED)
            and record.worker_id != due.worker_id
        ):
            # The worker was replaced before an order that is known to have
            # been taken; another order changes nothing if one was.
            due.phase = Phase.CLOSING
            due.worker_id = record.worker_id

    def _observe_down(
        self, due: Due, record: _types.MachineRecord, age_s: float
    ) -> None:
        """Notes that a machine which was taken down is listed as up."""
        if age_s <= 0:
            return
        if record.worker_id != due.worker_id or not record.worker_id:
            due.phase = Phase.DONE
        elif age_s > SETTLED_S:
            # It had its upkeep by an earlier order whose answer was lost.
            due.phase = Phase.DONE
            self.scheduler.revive_worker(due.worker_id)

    @property
    def active(self) -> bool:
        """Whether any wave is not completed."""
        return any(not plan.completed for plan in self.plans.values())

    def closed_workers(self) -> set[str]:
        """Returns the workers on machines that are being emptied."""
        return {
            due.worker_id
            for plan in self.plans.values()
            for due in plan.due.values()
            if due.phase in (Phase.CLOSING, Phase.INTENDED)
        }

    def next_machines(self) -> set[str]:
        """Returns the workers whose upkeep is still to come."""
        return {
            record.worker_id
            for plan in self.plans.values()
            for due in plan.due.values()
            if due.phase is not Phase.DONE
            and (record := self.machines.get(due.machine)) is not None
        }

    def plan(self, now_s: float) -> list[tuple[WavePlan, Due, UpkeepOrder]]:
        """Closes machines, moves lasting tasks and returns orders due."""
        orders = []
        for number in sorted(self.plans):
            plan = self.plans[number]
            if plan.completed or not self.machines:
                continue
            self._close_more(plan, now_s)
            for due in plan.due.values():
                if due.phase is Phase.CLOSING:
                    self._empty(plan, due, now_s)
                intended = due.phase is Phase.INTENDED
                stored = plan.saved.get(due.machine) is not None
                ready = not due.order_pending and now_s >= due.retry_at_s
                if intended and stored and ready and self._is_empty(due, now_s):
                    due.order_pending = True
                    order = UpkeepOrder(due.machine, plan.wave.number)
                    orders.append((plan, due, order))
        closed = self.closed_workers()
        closed |= self.scheduler.relocation.closed_workers()
        for worker in self.scheduler.workers.values():
            worker.closed = worker.worker_id in closed
        return orders

    def _close_more(self, plan: WavePlan, now_s: float) -> None:
        closing = sum(due.phase is Phase.CLOSING for due in plan.due.values())
        room = plan.wave.maximum + AHEAD - plan.down() - closing
        waiting = [
            due
            for due in plan.due.values()
            if due.phase is Phase.WAITING and now_s >= due.retry_at_s
        ]
        elapsed_s = (self.scheduler.store_ms - plan.began_ms) / 1000
        hurried = elapsed_s > PATIENCE * plan.wave.duration_s
        for due in sorted(waiting, key=self._load_of):
            if room <= 0:
                return
            if self._may_close(due, hurried):
                due.phase = Phase.CLOSING
                due.worker_id = self.machines[due.machine].worker_id
                room -= 1

    def _worker_of(self, due: Due) -> _worker.Worker | None:
        record = self.machines.get(due.machine)
        if record is None:
            return None
        return self.scheduler.workers.get(record.worker_id)

    def _load_of(self, due: Due) -> tuple:
        worker = self._worker_of(due)
        if worker is None:
            return (0.0, 0, due.machine)
        return (
            self.pool_use(worker.record.pool),
            worker.cpu_used,
            due.machine,
        )

    def pool_use(self, pool: str) -> float:
        """Returns the share of a pool's processor time that is reserved."""
        workers = [
            worker
            for worker in self.scheduler.workers.values()
            if worker.record.pool == pool and worker.listed
        ]
        total = sum(worker.record.cpu_milli for worker in workers)
        return sum(worker.cpu_used for worker in workers) / max(1, total)

    def _may_close(self, due: Due, hurried: bool) -> bool:
        record = self.machines.get(due.machine)
        if record is None or record.state is not _types.MachineState.UP:
            return False
        worker = self._worker_of(due)
        if worker is None:
            return True
        if not hurried and self.pool_use(record.pool) > BUSY_SHARE:
            return False
        peers = [
            peer
            for peer in self.scheduler.workers.values()
            if peer.record.pool == record.pool and peer.listed
        ]
        closed = self.closed_workers()
        count = sum(peer.worker_id in closed for peer in peers)
        return count < max(1, int(CLOSED_SHARE * len(peers)))

    def _empty(self, plan: WavePlan, due: Due, now_s: float) -> None:
        if self._is_empty(due, now_s):
            if plan.down() < plan.wave.maximum:
                due.phase = Phase.INTENDED
            return
        worker = self.scheduler.workers.get(due.worker_id)
        for run in list(worker.runs.values()) if worker else ():
            movable = run.task.spec.long_running and not run.stopping
            if movable and may_move(self.scheduler, run.task, worker, now_s):
                self.scheduler.note_run(
                    "run_evacuated",
                    run,
                    machine=due.machine,
                    wave=plan.wave.number,
                )
                run.stopping = True

    def _is_empty(self, due: Due, now_s: float) -> bool:
        """Returns whether nothing runs on a machine, as far as it said."""
        if not due.worker_id:
            return True
        worker = self.scheduler.workers.get(due.worker_id)
        if worker is None:
            # Not listed: what an earlier tenure started there is over then.
            return now_s > self.scheduler.inherited_until_s
        return worker.gone or (worker.fenced and not worker.runs)

    def observe_order(
        self, plan: WavePlan, due: Due, outcome: str, now_s: float
    ) -> None:
        """Notes what became of an order.

        Args:
            plan: The wave.
            due: The machine.
            outcome: `accepted`, `not-due`, `busy` or anything else, after
                which the order is repeated.
            now_s: Current time.
        """
        del plan
        due.order_pending = False
        if outcome == "accepted":
            due.phase = Phase.DOWN
            due.accepted_s = now_s
            self.scheduler.retire_worker(due.worker_id, "in upkeep")
        elif outcome in ("not-due", "invalid"):
            due.phase = Phase.DONE
        else:
            due.retry_at_s = now_s + RETRY_S


def may_move(
    scheduler, task: _job.Task, worker: _worker.Worker, now_s: float
) -> bool:
    """Returns whether a lasting task may be stopped to run elsewhere."""
    spec = task.spec
    if now_s < scheduler.settled_s:
        return False
    if spec.max_unavailable is not None:
        away = sum(
            not at_work(scheduler, member, now_s)
            for member in task.job.steps[task.occurrence, task.step]
            if member is not task
        )
        if away >= max(1, spec.max_unavailable):
            return False
        if spec.max_unavailable == 0:
            return False
    queue = scheduler.configuration.queues.get(task.job.spec.queue)
    if queue is None:
        return False
    others = _placement.other_workers(scheduler, worker, queue.pool, now_s)
    if _placement.choose_worker(task, others) is None:
        scheduler.note_crowded(queue.pool, 1)
        return False
    return True


def at_work(scheduler, task: _job.Task, now_s: float) -> bool:
    """Returns whether a lasting task works, as far as heard a moment ago."""
    run = task.run
    worker = scheduler.workers.get(run.worker_id) if run else None
    return (
        worker is not None
        and worker.answers(now_s)
        and run.confirmed
        and not run.stopping
        and run.percent >= 100
    )
