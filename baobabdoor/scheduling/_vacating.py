"""Empties machines that their pool does not need while another pool is short.

Only machines without runs move. Jobs that cannot be in time any more would keep
every machine of a pool busy long after its peak.
"""

from collections.abc import Mapping

from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _worker


class Vacating:
    """Chooses the workers that start nothing more, so that they can move.

    Their runs go on to their ends. The choice is made anew in each plan; a
    worker that was chosen stays chosen while the shortage lasts.

    Args:
        scheduler: Scheduler with the workers.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        # Chosen workers by pool.
        self.workers: dict[str, set[str]] = {}

    def plan(
        self,
        shortage: int,
        spare: Mapping[str, int],
        machines: Mapping[str, list[_types.MachineRecord]],
    ) -> None:
        """Chooses the workers for a shortage.

        Args:
            shortage: Machines that pools need and that no idle one provides.
            spare: Machines that each pool can do without.
            machines: Machines that may move, by pool.
        """
        chosen: dict[str, set[str]] = {}
        pools = sorted(spare, key=lambda pool: (-spare[pool], pool))
        for pool in pools:
            count = min(shortage, spare[pool])
            if count <= 0:
                continue
            workers = self._emptied_first(pool, machines.get(pool, []))
            names = {worker.worker_id for worker in workers[:count]}
            if names:
                chosen[pool] = names
                shortage -= len(names)
        self._apply(chosen)

    def _emptied_first(
        self, pool: str, machines: list[_types.MachineRecord]
    ) -> list[_worker.Worker]:
        """Returns the workers that may be emptied, those soon empty first."""
        workers = []
        for record in machines:
            worker = self.scheduler.workers.get(record.worker_id)
            if worker is None or not worker.runs or worker.leaving:
                continue
            if not worker.lasting_runs:
                workers.append(worker)
        known = self.workers.get(pool, ())
        workers.sort(
            key=lambda worker: (
                worker.worker_id not in known,
                max(run.started_s for run in worker.runs.values()),
                worker.worker_id,
            )
        )
        return workers

    def _apply(self, chosen: dict[str, set[str]]) -> None:
        before = set().union(*self.workers.values())
        after = set().union(*chosen.values())
        for worker_id in before ^ after:
            worker = self.scheduler.workers.get(worker_id)
            if worker is not None:
                worker.vacating = worker_id in after
        for pool in self.workers.keys() | chosen.keys():
            count = len(chosen.get(pool, ()))
            if bool(count) != bool(self.workers.get(pool)):
                self.scheduler.emit(
                    "machines_vacated", pool=pool, machines=count
                )
        self.workers = chosen

    def count(self, pool: str) -> int:
        """Returns how many machines of a pool are being emptied."""
        return len(self.workers.get(pool, ()))
