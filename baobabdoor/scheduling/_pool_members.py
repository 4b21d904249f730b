"""Counts the machines of pools and tells which of them may move."""

from collections.abc import Mapping

from baobabdoor.scheduling import _maintenance
from baobabdoor.scheduling import _types

# Time from the first listing of a worker to its first run, in seconds.
FIRST_RUN_DELAY_S = 1.0
# Phases of maintenance in which a machine does not move.
MAINTAINED_PHASES = frozenset(
    (
        _maintenance.Phase.DRAINING,
        _maintenance.Phase.DRAINED,
        _maintenance.Phase.DOWN,
    )
)


class PoolMembers:
    """Machines of pools, as the list of machines and ordered moves show them.

    Args:
        scheduler: Scheduler with the workers and the list of machines.
        moves: Moves under way, by machine.
    """

    def __init__(self, scheduler, moves: Mapping):
        self.scheduler = scheduler
        self.moves = moves

    def machine_cores(self) -> float:
        """Returns the average cores of a machine."""
        sizes = {True: [], False: []}
        for worker in self.scheduler.workers.values():
            if worker.record.cpu_milli:
                sizes[worker.fenced].append(worker.record.cpu_milli / 1000)
        # Any program may list workers with any capacity, so those that have
        # reported count, if there are any.
        counted = sizes[True] or sizes[False]
        return sum(counted) / len(counted) if counted else 1.0

    def count(self, pool: str) -> int:
        """Returns how many machines a pool has, including incoming ones."""
        return len(self.members(pool))

    def members(self, pool: str) -> list[_types.MachineRecord]:
        """Returns the machines of a pool, including incoming ones."""
        members = []
        for record in self.scheduler.maintenance.machines.values():
            move = self.moves.get(record.machine)
            if move is not None:
                counts = move.pool == pool
            else:
                counts = record.pool == pool and self._counts_as_member(record)
            if counts:
                members.append(record)
        return members

    def pending_count(self, pool: str, now_s: float) -> int:
        """Returns how many machines of a pool are not usable yet."""
        pending = 0
        for record in self.members(pool):
            worker = self.scheduler.workers.get(record.worker_id)
            pending += (
                record.machine in self.moves
                or record.state is not _types.MachineState.UP
                or worker is None
                or (
                    not (worker.fenced and worker.enrolled)
                    and now_s - worker.first_listed_s < FIRST_RUN_DELAY_S
                )
            )
        return pending

    def _counts_as_member(self, record: _types.MachineRecord) -> bool:
        if record.state in (
            _types.MachineState.MOVING,
            _types.MachineState.MAINTENANCE,
        ):
            return True
        if record.state is not _types.MachineState.UP:
            return False
        # A worker that is not listed yet is expected to be soon.
        worker = self.scheduler.workers.get(record.worker_id)
        if worker is None:
            return True
        return worker.listed and not worker.retired and not worker.cordoned

    def is_idle(self, record: _types.MachineRecord) -> bool:
        """Returns whether the worker of a machine may be taken away."""
        worker = self.scheduler.workers.get(record.worker_id)
        if worker is None or worker.runs or worker.cordoned:
            return False
        return worker.fenced and not worker.record.draining

    def maintained(self) -> set[str]:
        """Returns the machines that maintenance empties or has down."""
        return {
            machine
            for plan in self.scheduler.maintenance.plans.values()
            for machine, target in plan.targets.items()
            if target.phase in MAINTAINED_PHASES
        }

    def long_running_hosts(self, pool: str) -> int:
        """Returns how many machines of a pool run `long_running` tasks.

        Machines that are drained count, although they are not members any
        more: each of them needs a replacement before its tasks can move.
        """
        return sum(
            worker.record.pool == pool
            and not worker.retired
            and worker.lasting_runs > 0
            for worker in self.scheduler.workers.values()
        )
