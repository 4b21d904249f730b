"""Maintenance waves: drains machines and takes them down.

A machine is first cordoned. Its `long_running` tasks are evicted as their
steps allow, and its other runs finish normally. The order to take it down is
sent only after the intent is stored, so that the next leader counts the machine
as down.
"""

import enum
import json
import math
import zlib

import attrs

from baobabdoor.scheduling import _crashes
from baobabdoor.scheduling import _duplicates
from baobabdoor.scheduling import _job
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker
from baobabdoor.scheduling import _worker_choice
from baobabdoor.scheduling import _worker_events

# Machines that are drained in advance, beyond those that may be down at once.
DRAIN_AHEAD = 1
# Share of a pool's workers that may be cordoned at once; at least one may.
MAX_CORDONED_SHARE = 0.34
# Share of a wave's duration in which machines of busy pools wait.
IDLE_WAIT_SHARE = 0.35
# CPU utilization above which a pool is busy.
BUSY_UTILIZATION = 0.5
# A machine that is still listed with its previous worker this long after the
# duration of a maintenance cannot be going down any more, in seconds.
DOWN_SLACK_S = 0.5
# Size from which the row of a plan is compressed, in bytes: a plan of some
# hundred machines. Earlier builds read plain rows only.
MAX_PLAIN_BYTES = 16_384
# Delay before a refused order is repeated.
RETRY_S = 0.6


class Phase(enum.Enum):
    """Phase of a machine's maintenance."""

    WAITING = "waiting"
    # Cordoned and being drained.
    DRAINING = "closing"
    # The order is sent once the intent is stored.
    DRAINED = "intended"
    DOWN = "down"
    DONE = "done"


@attrs.define(eq=False)
class MaintenanceTarget:
    """A machine that a wave takes down for maintenance.

    Attributes:
        machine: Name of the machine.
        phase: Phase of the maintenance.
        retry_at_s: Earliest time of the next order.
        worker_id: Worker on the machine before the maintenance.
        order_pending: Whether an order awaits its response.
        maybe_ordered: Whether an order may have been carried out unnoticed.
        accepted_s: Time at which an order was accepted; a list that was
            requested earlier does not show its effect.
    """

    machine: str
    phase: Phase = Phase.WAITING
    retry_at_s: float = 0.0
    worker_id: str = ""
    order_pending: bool = False
    maybe_ordered: bool = False
    accepted_s: float = -1e9


@attrs.frozen
class MaintenanceOrder:
    """An order to take a machine down for maintenance."""

    machine: str
    wave: int


class WavePlan:
    """Progress of a maintenance wave.

    Args:
        wave: The operator's request.
        started_ms: When the wave was first seen, on the store's clock.
    """

    def __init__(self, wave: _types.Wave, started_ms: float):
        self.wave = wave
        self.started_ms = started_ms
        self.targets = {name: MaintenanceTarget(name) for name in wave.machines}
        self.saved: dict[str, str] = {}

    @property
    def completed(self) -> bool:
        """Whether maintenance of every machine is done or not needed."""
        return all(
            target.phase is Phase.DONE for target in self.targets.values()
        )

    def encode(self) -> bytes:
        """Encodes the plan as a row, which is compressed if it is large."""
        phases = {
            target.machine: [
                target.phase.value,
                "" if target.phase is Phase.DONE else target.worker_id,
            ]
            for target in self.targets.values()
            if target.phase in (Phase.DRAINED, Phase.DOWN, Phase.DONE)
        }
        content = {"began_ms": round(self.started_ms), "machines": phases}
        value = json.dumps(content, sort_keys=True).encode()
        return value if len(value) <= MAX_PLAIN_BYTES else zlib.compress(value)

    def restore(self, value: bytes) -> None:
        """Restores the plan that an earlier term stored.

        A machine with a stored intent may have been ordered down. It counts as
        down until the machine list shows another worker or the order is
        repeated.

        Raises:
            KeyError, TypeError, ValueError: If the plan is unreadable.
        """
        content = _decode_plan(value)
        started_ms, machines = content["began_ms"], content["machines"]
        if not isinstance(started_ms, int) or not isinstance(machines, dict):
            raise TypeError(f"unreadable plan: {value!r:.80}")
        self.started_ms = started_ms
        for machine, (phase, worker_id) in machines.items():
            if not isinstance(worker_id, str):
                raise TypeError(f"{machine}: found {worker_id!r:.80}")
            if machine in self.targets:
                self.targets[machine].phase = Phase(phase)
                self.targets[machine].worker_id = worker_id
                self.targets[machine].maybe_ordered = True
        self.mark_saved(value)

    def mark_saved(self, value: bytes) -> None:
        """Records which intents are stored."""
        self.saved = _decode_plan(value)["machines"]

    def down(self) -> int:
        """Returns how many machines are or may be down."""
        return sum(
            target.phase in (Phase.DRAINED, Phase.DOWN)
            for target in self.targets.values()
        )


def _decode_plan(value: bytes) -> dict:
    try:
        return json.loads(
            value if value[:1] == b"{" else zlib.decompress(value)
        )
    except zlib.error as error:
        raise ValueError(f"unreadable plan: {error}") from error


class MaintenancePlanner:
    """Plans the maintenance waves.

    Args:
        scheduler: Scheduler whose workers are drained.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.plans: dict[int, WavePlan] = {}
        self.machines: dict[str, _types.MachineRecord] = {}
        # Time of the request for this list of machines.
        self.listed_s = -math.inf
        # Machines of known workers that the last complete list did not have.
        self.missing_machines: set[str] = set()

    def observe_wave(self, wave: _types.Wave, stored: bytes = b"") -> None:
        """Adds a wave that the operator requests.

        Args:
            wave: The wave.
            stored: Plan that an earlier term stored; empty for none.

        Raises:
            KeyError, TypeError, ValueError: If the plan is unreadable; the
                wave is not added.
        """
        if wave.number not in self.plans:
            plan = WavePlan(wave, self.scheduler.store_ms)
            if stored:
                plan.restore(stored)
            for target in plan.targets.values():
                # The order of an earlier term was accepted before this one.
                target.accepted_s = (
                    self.scheduler.started_s + _crashes.LISTING_DELAY_S
                )
            self.plans[wave.number] = plan

    def observe_machines(
        self,
        machines: tuple[_types.MachineRecord, ...],
        requested_s: float,
        is_complete: bool = False,
    ) -> None:
        """Applies the platform's list of machines.

        Args:
            machines: The list.
            requested_s: Time of the request; the list may be as old as that.
            is_complete: Whether each of its entries could be read.
        """
        self._emit_availability(machines)
        self.machines = {record.machine: record for record in machines}
        self.listed_s = requested_s
        self.scheduler.crashes.observe_machines(self.machines, requested_s)
        self._retire_replaced(requested_s)
        self._observe_missing(requested_s, is_complete)
        for plan in self.plans.values():
            for target in plan.targets.values():
                self._observe_machine(target, requested_s)

    def _emit_availability(
        self, machines: tuple[_types.MachineRecord, ...]
    ) -> None:
        """Emits an event for each machine that went down or came back."""
        down = _types.MachineState.DOWN
        for record in machines:
            previous = self.machines.get(record.machine)
            was_down = previous is not None and previous.state is down
            if was_down == (record.state is down):
                continue
            self.scheduler.emit(
                "machine_up" if was_down else "machine_down",
                machine=record.machine,
                worker=record.worker_id,
                pool=record.pool,
            )

    def _retire_replaced(self, requested_s: float) -> None:
        """Retires workers whose machine has restarted or is down.

        Workers that were first listed or reported later than the list may show
        are skipped: it may show an earlier incarnation of them.
        """
        shown_s = requested_s - _crashes.LISTING_DELAY_S
        for worker in list(self.scheduler.workers.values()):
            if max(worker.first_listed_s, worker.last_report_s) > shown_s:
                continue
            record = self.machines.get(worker.record.machine)
            if record is None:
                continue
            if record.state is _types.MachineState.DOWN:
                _worker_events.observe_machine_down(
                    self.scheduler, worker, requested_s
                )
            if record.worker_id == worker.worker_id:
                continue
            pool = self.scheduler.configuration.pools.get(record.pool)
            standby = pool is not None and pool.standby
            is_up = record.state is _types.MachineState.UP
            if is_up and (record.worker_id or standby):
                stayed = record.pool == worker.record.pool
                self.scheduler.retire_worker(
                    worker.worker_id, "followed", crashed=stayed
                )
            elif record.state in (
                _types.MachineState.MOVING,
                _types.MachineState.MAINTENANCE,
            ):
                self.scheduler.retire_worker(worker.worker_id, "down")

    def _observe_missing(self, requested_s: float, is_complete: bool) -> None:
        """Treats machines that were removed for good as down.

        A list is read in pages, so it may miss a machine while others come and
        go. Two lists in sequence show that a machine was removed.
        """
        missing = set()
        for worker in self.scheduler.workers.values():
            machine = worker.record.machine
            listed = machine in self.machines
            if not (is_complete and self.machines and machine) or listed:
                continue
            missing.add(machine)
            if machine in self.missing_machines:
                _worker_events.observe_machine_down(
                    self.scheduler, worker, requested_s
                )
        self.missing_machines = missing

    def _observe_machine(
        self, target: MaintenanceTarget, requested_s: float
    ) -> None:
        record = self.machines.get(target.machine)
        if record is None:
            # The machine was removed for good.
            target.phase = Phase.DONE
        elif record.state is _types.MachineState.DOWN:
            self._observe_crashed(target, requested_s)
        elif record.state is not _types.MachineState.UP:
            return
        elif target.phase is Phase.DOWN:
            self._observe_down(target, record, requested_s - target.accepted_s)
        elif (
            target.phase in (Phase.DRAINING, Phase.DRAINED)
            and record.worker_id != target.worker_id
        ):
            # The worker was replaced although no order is known to have been
            # accepted. If one was, repeating it has no effect.
            target.phase = Phase.DRAINING
            target.worker_id = record.worker_id

    def _observe_crashed(
        self, target: MaintenanceTarget, requested_s: float
    ) -> None:
        """Handles a machine that is listed as down, but not for maintenance.

        It may never come back, so it must not keep others from going down.
        """
        maybe_ordered = target.order_pending or target.maybe_ordered
        if target.phase is Phase.DOWN:
            if requested_s - target.accepted_s > self._max_down_s():
                target.phase = Phase.DONE
        elif target.phase is not Phase.DONE and not maybe_ordered:
            target.phase = Phase.WAITING
            target.worker_id = ""

    def _max_down_s(self) -> float:
        return self.scheduler.options.maintenance_s + DOWN_SLACK_S

    def _observe_down(
        self,
        target: MaintenanceTarget,
        record: _types.MachineRecord,
        age_s: float,
    ) -> None:
        """Handles a machine that was taken down and is listed as up."""
        if age_s <= 0:
            return
        if record.worker_id != target.worker_id or not record.worker_id:
            target.phase = Phase.DONE
        elif age_s > self._max_down_s():
            # Its maintenance was done by an earlier order whose response was
            # lost.
            target.phase = Phase.DONE
            self.scheduler.revive_worker(target.worker_id)

    @property
    def active(self) -> bool:
        """Whether any wave is not completed."""
        return any(not plan.completed for plan in self.plans.values())

    def cordoned_workers(self) -> set[str]:
        """Returns the workers on machines that are being drained."""
        return {
            target.worker_id
            for plan in self.plans.values()
            for target in plan.targets.values()
            if target.phase in (Phase.DRAINING, Phase.DRAINED)
        }

    def due_workers(self) -> set[str]:
        """Returns the workers on machines whose maintenance is not done."""
        return {
            record.worker_id
            for plan in self.plans.values()
            for target in plan.targets.values()
            if target.phase is not Phase.DONE
            and (record := self.machines.get(target.machine)) is not None
        }

    def plan(
        self, now_s: float
    ) -> list[tuple[WavePlan, MaintenanceTarget, MaintenanceOrder]]:
        """Cordons machines, evicts `long_running` tasks and returns orders."""
        orders = []
        for number in sorted(self.plans):
            plan = self.plans[number]
            if plan.completed or not self.machines:
                continue
            self._cordon_more(plan, now_s)
            for target in plan.targets.values():
                if target.phase is Phase.DRAINING:
                    self._drain(plan, target, now_s)
                drained = target.phase is Phase.DRAINED
                stored = plan.saved.get(target.machine) is not None
                ready = not target.order_pending and now_s >= target.retry_at_s
                if (
                    drained
                    and stored
                    and ready
                    and self._is_drained(target, now_s)
                ):
                    target.order_pending = True
                    order = MaintenanceOrder(target.machine, plan.wave.number)
                    orders.append((plan, target, order))
        cordoned = self.cordoned_workers()
        cordoned |= self.scheduler.autoscaler.cordoned_workers()
        for worker in self.scheduler.workers.values():
            worker.cordoned = worker.worker_id in cordoned
        return orders

    def _cordon_more(self, plan: WavePlan, now_s: float) -> None:
        draining = sum(
            target.phase is Phase.DRAINING for target in plan.targets.values()
        )
        room = plan.wave.maximum + DRAIN_AHEAD - plan.down() - draining
        waiting = [
            target
            for target in plan.targets.values()
            if target.phase is Phase.WAITING and now_s >= target.retry_at_s
        ]
        elapsed_s = (self.scheduler.store_ms - plan.started_ms) / 1000
        ignore_load = elapsed_s > IDLE_WAIT_SHARE * plan.wave.duration_s
        for target in sorted(waiting, key=self._drain_priority):
            if room <= 0:
                return
            if self._may_cordon(target, ignore_load):
                target.phase = Phase.DRAINING
                target.worker_id = self.machines[target.machine].worker_id
                room -= 1

    def _find_worker(self, target: MaintenanceTarget) -> _worker.Worker | None:
        record = self.machines.get(target.machine)
        if record is None:
            return None
        return self.scheduler.workers.get(record.worker_id)

    def _drain_priority(self, target: MaintenanceTarget) -> tuple:
        worker = self._find_worker(target)
        if worker is None:
            return (0.0, 0, target.machine)
        return (
            self.pool_utilization(worker.record.pool),
            worker.cpu_used,
            target.machine,
        )

    def _heard_workers(self, pool: str) -> list[_worker.Worker]:
        """Returns the listed workers of a pool that have reported.

        Any program may list others, with any capacity.
        """
        return [
            worker
            for worker in self.scheduler.workers.values()
            if worker.record.pool == pool and worker.listed and worker.fenced
        ]

    def pool_utilization(self, pool: str) -> float:
        """Returns the reserved share of a pool's CPU capacity."""
        workers = self._heard_workers(pool)
        total = sum(worker.record.cpu_milli for worker in workers)
        return sum(worker.cpu_used for worker in workers) / max(1, total)

    def _may_cordon(self, target: MaintenanceTarget, ignore_load: bool) -> bool:
        record = self.machines.get(target.machine)
        if record is None or record.state is not _types.MachineState.UP:
            return False
        worker = self._find_worker(target)
        if worker is None:
            return True
        if (
            not ignore_load
            and self.pool_utilization(record.pool) > BUSY_UTILIZATION
        ):
            return False
        peers = self._heard_workers(record.pool)
        cordoned = self.cordoned_workers()
        count = sum(peer.worker_id in cordoned for peer in peers)
        return count < max(1, int(MAX_CORDONED_SHARE * len(peers)))

    def _drain(
        self, plan: WavePlan, target: MaintenanceTarget, now_s: float
    ) -> None:
        if self._is_drained(target, now_s):
            if plan.down() < plan.wave.maximum:
                target.phase = Phase.DRAINED
            return
        worker = self.scheduler.workers.get(target.worker_id)
        for run in list(worker.runs.values()) if worker else ():
            if run.stopping:
                continue
            if _duplicates.is_redundant(self.scheduler, run, now_s) or (
                run.task.spec.long_running
                and may_evict(self.scheduler, run.task, worker, now_s)
            ):
                self.scheduler.emit_run(
                    "run_evacuated",
                    run,
                    machine=target.machine,
                    wave=plan.wave.number,
                )
                run.stopping = True

    def _is_drained(self, target: MaintenanceTarget, now_s: float) -> bool:
        """Returns whether nothing runs on a machine, as far as reported."""
        if not target.worker_id:
            return True
        worker = self.scheduler.workers.get(target.worker_id)
        if worker is None:
            # Not listed; runs of earlier terms have ended by then.
            return now_s > self.scheduler.inherited_until_s
        return worker.retired or (worker.fenced and not worker.runs)

    def observe_order(
        self,
        plan: WavePlan,
        target: MaintenanceTarget,
        outcome: str,
        now_s: float,
    ) -> None:
        """Applies the result of an order.

        Args:
            plan: The wave.
            target: The machine.
            outcome: `accepted`, `not-due` or `invalid`; the order is repeated
                after any other.
            now_s: Current time.
        """
        del plan
        target.order_pending = False
        target.maybe_ordered = outcome == "unknown"
        if outcome == "accepted":
            target.phase = Phase.DOWN
            target.accepted_s = now_s
            self.scheduler.retire_worker(target.worker_id, "in upkeep")
        elif outcome in ("not-due", "invalid"):
            target.phase = Phase.DONE
        else:
            target.retry_at_s = now_s + RETRY_S


def may_evict(
    scheduler, task: _job.Task, worker: _worker.Worker, now_s: float
) -> bool:
    """Returns whether a `long_running` task may be stopped to run elsewhere."""
    spec = task.spec
    if now_s < scheduler.settled_s:
        return False
    if spec.max_unavailable is not None:
        unavailable = sum(
            not is_ready(scheduler, member, now_s)
            for member in task.job.steps[task.occurrence, task.step]
            if member is not task
        )
        if unavailable >= max(1, spec.max_unavailable):
            return False
        if spec.max_unavailable == 0:
            return False
    queue = scheduler.configuration.queues.get(task.job.spec.queue)
    if queue is None:
        return False
    others = _worker_choice.other_workers(scheduler, worker, queue.pool, now_s)
    if _worker_choice.choose_worker(task, others) is None:
        scheduler.report_shortage(queue.pool, 1)
        return False
    return True


def is_ready(scheduler, task: _job.Task, now_s: float) -> bool:
    """Returns whether a recent report shows a `long_running` task as ready."""
    run = task.run
    worker = scheduler.workers.get(run.worker_id) if run else None
    return (
        worker is not None
        and worker.responsive(now_s)
        and run.confirmed
        and not run.stopping
        and run.percent >= 100
    )
