"""Autoscaling of pools by moving machines between them.

Load peaks last seconds and hit pools at different times. A pool scales up with
idle machines of other pools and of the standby pool, whose machines are powered
off. Machines that no pool needs return to the standby pool.
"""

import math

from baobabdoor.scheduling import _arrivals
from baobabdoor.scheduling import _move_sources
from baobabdoor.scheduling import _moves
from baobabdoor.scheduling import _pool_members
from baobabdoor.scheduling import _pool_sizing
from baobabdoor.scheduling import _turns
from baobabdoor.scheduling import _types
from baobabdoor.scheduling import _vacating

# Minimum time over which the work of a job is spread, in seconds.
MIN_SPAN_S = 0.5
# A job that will miss its objective by more than this, in seconds, does not
# justify another machine.
LATE_SLACK_S = 0.3
# Time in which late jobs are to be done while no pool is short of machines.
LATE_SPAN_S = 4.0
# Time for which machines must be unneeded before they are emptied for another
# pool, in seconds: what a demand that scatters leaves unneeded is soon missed.
VACATE_DELAY_S = 0.25
# Share of a machine that tasks can use.
TARGET_UTILIZATION = 0.9
# Machines that a pool keeps beyond the required ones.
SPARE_MACHINES = 1
# Minimum machines of a pool.
MIN_MACHINES = 1
# Time after which a move is no longer tracked, as a multiple of its duration.
MOVE_TIMEOUT_FACTOR = 4.0
# Interval of planning, short against the duration of a move.
PLAN_INTERVAL_S = 0.05
# Minimum time between two capacity events of a pool, in seconds.
EMIT_INTERVAL_S = 0.25
# Time for which orders that the platform accepts, but that were not needed, are
# saved up: an interval between two plans and its delay. More would exceed its
# rate.
MOVE_BURST_S = 0.15
# Time for which a machine waits for a turn of another pool rather than moving
# to standby, in seconds. The move that is saved costs about as much.
DIRECT_WAIT_S = 1.0


class PoolAutoscaler:
    """Decides how many machines each pool needs and which ones move.

    Args:
        scheduler: Scheduler with the workers and the list of machines.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.moves: dict[str, _moves.Move] = {}
        self.members = _pool_members.PoolMembers(scheduler, self.moves)
        self.refused: set[tuple[str, str]] = set()
        self.planned_s_ = -1e9
        # Orders that the platform accepts at the moment, and since when.
        self.move_tokens_ = 0.0
        self.refilled_s_ = -1e9
        self.turns = _turns.Turns(self)
        # Machines that pools need for tasks without room, as of the last plan.
        self.unplaced_need_: dict[str, int] = {}
        self.vacating = _vacating.Vacating(scheduler)
        self.emitted_: dict[str, tuple[tuple, float]] = {}
        self.arrivals_: dict[str, _arrivals.ArrivalRate] = {}
        self.scale_down_windows_: dict[str, _pool_sizing.ScaleDownWindow] = {}
        self.spare_windows_: dict[str, _pool_sizing.ScaleDownWindow] = {}

    def observe_arrival(
        self,
        pool: str,
        work: float,
        now_s: float,
        accepted: bool = True,
    ) -> None:
        """Records a submitted job.

        Args:
            pool: Pool of the job.
            work: Its work in core-seconds.
            now_s: Time of the submission.
            accepted: Whether it was accepted.
        """
        self._arrivals(pool).observe(now_s, work, accepted)

    def _arrivals(self, pool: str) -> _arrivals.ArrivalRate:
        return self.arrivals_.setdefault(pool, _arrivals.ArrivalRate())

    def arrival_rate_cores(self, pool: str, now_s: float) -> float:
        """Returns the rate of arriving work, in cores."""
        return self._arrivals(pool).cores(now_s)

    def plan(self, now_s: float) -> list[_moves.Move]:
        """Returns the moves to order now."""
        machines = self.scheduler.maintenance.machines
        if not machines or now_s - self.planned_s_ < PLAN_INTERVAL_S:
            return []
        self.planned_s_ = now_s
        self._expire(now_s)
        self.turns.observe(now_s)
        pools = self.scheduler.configuration.pools
        standby = {name for name, pool in pools.items() if pool.standby}
        required = {
            pool: self.required_machines(pool, now_s)
            for pool in pools
            if pool not in standby
        }
        current = {pool: self.machine_count(pool) for pool in required}
        self._emit_capacity(required, current, now_s)
        allowed = self._move_allowance(now_s)
        with_late = {
            pool: need + self._late_machines(pool)
            for pool, need in required.items()
        }
        surpluses = self._surpluses(with_late, current, now_s)
        shortage = _shortage(required, current)
        if not shortage:
            self.vacating.plan(0, self._spare(required, current, now_s), {})
            # Late jobs get machines only while all others have enough.
            required = with_late
        short = shortage or _shortage(required, current)
        if not allowed or not (short or any(surpluses.values())):
            return []
        sources = self._collect_sources(standby)
        moves = self._requests(required, current, sources, allowed, now_s)
        if shortage and len(moves) < allowed:
            # Otherwise idle machines may be left.
            self._vacate(shortage - len(moves), current, sources, now_s)
        for move in moves:
            # A machine that moves directly is no surplus any more.
            origin = self._origin(move)
            surpluses[origin] = surpluses.get(origin, 0) - 1
        # Releases get only what requests leave of the platform's rate.
        left = min(
            allowed - len(moves),
            sum(surpluses.values()) - self._soon_needed(current, now_s),
        )
        moves += self._scale_down(surpluses, standby, sources, left, now_s)
        self.move_tokens_ -= len(moves)
        return moves

    def _vacate(
        self,
        shortage: int,
        current: dict[str, int],
        sources: _move_sources.MoveSources,
        now_s: float,
    ) -> None:
        """Empties machines for pools that found too few idle ones.

        Args:
            shortage: Machines that are still needed.
            current: Machines of each pool after the moves.
            sources: Machines that may move.
            now_s: Current time.
        """
        kept = {pool: self._kept_machines(pool, now_s) for pool in current}
        spare = self._spare(kept, current, now_s)
        self.vacating.plan(shortage, spare, sources.busy)

    def _spare(
        self, needs: dict[str, int], current: dict[str, int], now_s: float
    ) -> dict[str, int]:
        """Returns how many machines each pool has not needed of late."""
        spare = {}
        for pool, need in needs.items():
            window = self.spare_windows_.setdefault(
                pool, _pool_sizing.ScaleDownWindow(VACATE_DELAY_S)
            )
            spare[pool] = window.surplus(
                now_s, need + SPARE_MACHINES, current[pool]
            )
        return spare

    def _origin(self, move: _moves.Move) -> str:
        return self.scheduler.maintenance.machines[move.machine].pool

    def _move_allowance(self, now_s: float) -> int:
        """Returns how many orders the platform accepts now."""
        rate = self.scheduler.options.move_rate
        elapsed_s = now_s - self.refilled_s_
        self.refilled_s_ = now_s
        # At least one order, also at a rate below one in this time.
        burst = max(1.0, rate * MOVE_BURST_S)
        self.move_tokens_ = min(burst, self.move_tokens_ + rate * elapsed_s)
        return int(self.move_tokens_)

    def _soon_needed(self, current: dict[str, int], now_s: float) -> int:
        """Returns how many machines turns need that are about to be ordered."""
        size = max(self.machine_cores(), 0.1) * TARGET_UTILIZATION
        total = 0
        for pool, count in current.items():
            cores = self.turns.expected_cores(pool, now_s, DIRECT_WAIT_S)
            total += max(0, math.ceil(cores / size) - count)
        return total

    def _collect_sources(self, standby: set[str]) -> _move_sources.MoveSources:
        maintained = self.members.maintained()
        records = [
            record
            for record in self.scheduler.maintenance.machines.values()
            if record.state is _types.MachineState.UP
            and record.machine not in self.moves
            and record.machine not in maintained
        ]
        return _move_sources.collect(
            records, standby, self.refused, self.members.is_idle
        )

    def _requests(
        self,
        required: dict[str, int],
        current: dict[str, int],
        sources: _move_sources.MoveSources,
        allowed: int,
        now_s: float,
    ) -> list[_moves.Move]:
        """Returns moves to pools with too few machines."""
        moves: list[_moves.Move] = []
        spare = {
            pool: current[pool] - need - SPARE_MACHINES
            for pool, need in required.items()
        }
        short = sorted(
            required, key=lambda pool: current[pool] - required[pool]
        )
        for pool in short:
            for _ in range(required[pool] - current[pool]):
                if len(moves) == allowed:
                    return moves
                record = sources.take(pool, spare)
                if record is None:
                    break
                if record.pool in current:
                    current[record.pool] -= 1
                    spare[record.pool] -= 1
                moves.append(self._order(record, pool, now_s))
        return moves

    def _emit_capacity(
        self, required: dict[str, int], current: dict[str, int], now_s: float
    ) -> None:
        for pool, need in required.items():
            emitted, emitted_s = self.emitted_.get(pool, ((), -1e9))
            counts = (need, current[pool])
            if emitted == counts or now_s - emitted_s < EMIT_INTERVAL_S:
                continue
            self.emitted_[pool] = (counts, now_s)
            self.scheduler.emit(
                "pool_capacity",
                pool=pool,
                need=need,
                have=current[pool],
                rate_cores=round(self.arrival_rate_cores(pool, now_s), 1),
                demand_cores=round(self._demand_cores(pool), 1),
                expected_cores=round(self.turns.expected_cores(pool, now_s), 1),
            )

    def _order(
        self, record: _types.MachineRecord, pool: str, now_s: float
    ) -> _moves.Move:
        move = _moves.Move(record.machine, pool, record.worker_id, now_s)
        self.moves[record.machine] = move
        worker = self.scheduler.workers.get(record.worker_id)
        if worker is not None:
            worker.cordoned = True
        return move

    def _expire(self, now_s: float) -> None:
        machines = self.scheduler.maintenance.machines
        timeout_s = MOVE_TIMEOUT_FACTOR * self.scheduler.options.move_s
        for move in list(self.moves.values()):
            record = machines.get(move.machine)
            arrived = record is not None and self._has_arrived(move, record)
            if arrived or now_s - move.since_s > timeout_s:
                del self.moves[move.machine]

    def _has_arrived(
        self, move: _moves.Move, record: _types.MachineRecord
    ) -> bool:
        """Returns whether the list shows that a move is complete."""
        if (
            move.phase is not _moves.MovePhase.ACCEPTED
            or record.pool != move.pool
        ):
            return False
        pool = self.scheduler.configuration.pools.get(move.pool)
        if pool is not None and pool.standby:
            # A machine in standby has no worker.
            return record.state is _types.MachineState.UP
        return (
            record.worker_id in self.scheduler.workers
            and record.worker_id != move.worker_id
        )

    def required_machines(self, pool: str, now_s: float) -> int:
        """Returns how many machines a pool needs for its demand."""
        need = self._machines_for(self._demand_cores(pool), pool, now_s)
        # If the shortage persists, placement reports it again before the next
        # call.
        shortage = self.scheduler.machine_shortages.pop(pool, 0)
        self.unplaced_need_[pool] = 0
        if shortage:
            # Machines that are already on their way count towards it.
            pending = self.members.pending_count(pool, now_s)
            present = self.machine_count(pool) - pending
            self.unplaced_need_[pool] = present + shortage
        return max(need, self.unplaced_need_[pool])

    def _kept_machines(self, pool: str, now_s: float) -> int:
        """Returns how many of its machines a pool needs.

        Further machines would be ready only after a move, so that the same
        demand requires more of them.
        """
        demand = self._demand_cores(pool, 0.0)
        need = self._machines_for(demand, pool, now_s)
        return max(need, self.unplaced_need_.get(pool, 0))

    def _machines_for(self, demand: float, pool: str, now_s: float) -> int:
        scheduler = self.scheduler
        cores = _pool_sizing.batch_cores(
            demand,
            self._arrivals(pool),
            now_s,
            scheduler.options.move_s,
            self.turns.limit_cores(pool, now_s),
        )
        cores = max(cores, self.turns.expected_cores(pool, now_s))
        size = self.machine_cores()
        long_running = self._long_running_cores(pool)
        need = math.ceil(
            (cores / TARGET_UTILIZATION + long_running) / max(size, 0.1)
        )
        need = max(need, self.members.long_running_hosts(pool))
        need = max(need, scheduler.trials.required_machines(pool))
        return max(MIN_MACHINES, need)

    def machine_cores(self) -> float:
        """Returns the average cores of a machine."""
        return self.members.machine_cores()

    def expected_cores(self, pool: str) -> float:
        """Returns the batch cores of a pool, including incoming machines.

        Without those that are being emptied for another pool.
        """
        machines = self.machine_count(pool) - self.vacating.count(pool)
        return machines * self.machine_cores() - self._long_running_cores(pool)

    def standby_cores(self) -> float:
        """Returns the cores of the machines in standby."""
        pools = self.scheduler.configuration.pools
        machines = sum(
            record.state is _types.MachineState.UP
            and record.pool in pools
            and pools[record.pool].standby
            and record.machine not in self.moves
            for record in self.scheduler.maintenance.machines.values()
        )
        return machines * self.machine_cores()

    def _demand_cores(self, pool: str, ready_s: float | None = None) -> float:
        """Returns the cores that jobs need to meet their objectives.

        The demand of a job is its remaining work, spread over the time that
        remains. Jobs that are too late are ignored.

        Args:
            pool: The pool.
            ready_s: Time until the cores are ready, in seconds. Default: that
                of a move.
        """
        admission = self.scheduler.admission
        if ready_s is None:
            ready_s = self.scheduler.options.move_s
        demands = []
        for job, queue in self.scheduler.pool_jobs(pool):
            if job.spec.long_running:
                continue
            left_s, critical_path_s = admission.time_left_s(job, queue)
            if not self._is_late(job, queue):
                span_s = max(left_s - ready_s, critical_path_s, MIN_SPAN_S)
                cores = admission.estimated_work(job) / span_s
                demands.append((job, cores))
        return self.scheduler.quotas.cap_demand(demands)

    def _late_machines(self, pool: str) -> int:
        """Returns how many machines the late jobs of a pool need."""
        admission = self.scheduler.admission
        demands = [
            (job, admission.estimated_work(job) / LATE_SPAN_S)
            for job, queue in self.scheduler.pool_jobs(pool)
            if not job.spec.long_running
            and self._is_late(job, queue)
            and self._fits_somewhere(job)
        ]
        cores = self.scheduler.quotas.cap_demand(demands)
        size = max(self.machine_cores(), 0.1)
        return math.ceil(cores / TARGET_UTILIZATION / size)

    def _is_late(self, job, queue: _types.Queue) -> bool:
        """Returns whether no additional machine would help a job in time."""
        left_s, path_s = self.scheduler.admission.time_left_s(job, queue)
        return left_s - path_s <= -LATE_SLACK_S

    def _fits_somewhere(self, job) -> bool:
        """Returns whether each task of a job fits on some worker."""
        workers = self.scheduler.workers.values()
        return all(
            any(worker.could_fit(step) for worker in workers)
            for step in job.spec.steps
        )

    def _long_running_cores(self, pool: str) -> float:
        demands = [
            (job, step.cpu_milli * step.task_count)
            for job, _ in self.scheduler.pool_jobs(pool)
            for step in job.spec.steps
            if step.long_running and not step.fills
        ]
        return self.scheduler.quotas.cap_demand(demands, 1000) / 1000

    def machine_count(self, pool: str) -> int:
        """Returns how many machines a pool has, including incoming ones."""
        return self.members.count(pool)

    def _surpluses(
        self, required: dict[str, int], current: dict[str, int], now_s: float
    ) -> dict[str, int]:
        """Returns how many machines each pool has not needed recently."""
        surpluses = {}
        for pool, need in required.items():
            window = self.scale_down_windows_.setdefault(
                pool,
                _pool_sizing.ScaleDownWindow(_pool_sizing.SCALE_DOWN_DELAY_S),
            )
            surpluses[pool] = window.surplus(
                now_s, need + SPARE_MACHINES, current[pool]
            )
        return surpluses

    def _scale_down(
        self,
        surpluses: dict[str, int],
        standby: set[str],
        sources: _move_sources.MoveSources,
        allowed: int,
        now_s: float,
    ) -> list[_moves.Move]:
        """Returns moves of unneeded machines to standby."""
        moves: list[_moves.Move] = []
        if not standby:
            return moves
        target = min(standby)
        for pool, surplus in surpluses.items():
            for _ in range(min(surplus, allowed - len(moves))):
                record = sources.take_idle(pool, target)
                if record is None:
                    break
                moves.append(self._order(record, target, now_s))
        return moves

    def observe_order(self, move: _moves.Move, outcome: str) -> None:
        """Applies the result of a move order.

        Args:
            move: The move.
            outcome: `accepted`, `unknown` or `invalid`; the move is abandoned
                after any other.
        """
        if outcome == "accepted":
            move.phase = _moves.MovePhase.ACCEPTED
            self.scheduler.retire_worker(move.worker_id, "moved")
            return
        if outcome == "unknown":
            # The move may take place; the machine list will show it.
            return
        self.moves.pop(move.machine, None)
        if outcome == "invalid":
            self.refused.add((move.machine, move.pool))

    def cordoned_workers(self) -> set[str]:
        """Returns the workers on machines that are being moved."""
        return {move.worker_id for move in self.moves.values()}


def _shortage(required: dict[str, int], current: dict[str, int]) -> int:
    """Returns how many machines the pools lack."""
    return sum(max(0, need - current[pool]) for pool, need in required.items())
