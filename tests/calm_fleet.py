"""Fleet in virtual time that becomes calm, to check that tasks start soon."""

import math

import attrs
import scheduling_fixtures

from baobabdoor import dispatch
from baobabdoor import scheduling
from baobabdoor.standin import _worker_model

TIME_STEP_S = 0.1
# Interval in which the workers write their entries in the list of workers.
HEARTBEAT_S = 1.0
TICKET_VALID_S = 2.0
# Pool of the machines that are off, and the time that a move takes.
STANDBY = "off"
MOVE_S = 1.5
# Interval in which the leader reads the list of machines.
LIST_INTERVAL_S = 0.5
# Time after which members of a gang end that wait for the others.
GANG_TIMEOUT_S = 3.0
OUTCOMES = scheduling.OrderOutcome


@attrs.frozen
class Behavior:
    """What the tasks of a job do.

    Attributes:
        duration_s: Duration of their runs.
        fails: Whether their runs fail at the end.
    """

    duration_s: float = math.inf
    fails: bool = False


class CalmFleet:
    """A scheduler, model workers and what they really run.

    Args:
        records: The workers.
        allowed: Workers that the advice service allows; `None` if the queue
            needs no tickets.
    """

    def __init__(self, records, allowed=None):
        self.now_s = scheduling_fixtures.START_S
        self.allowed = allowed
        self.models = {
            record.worker_id: _worker_model.ModelWorker(
                record, self.now_s, 1.0, self._make_run, self
            )
            for record in records
        }
        self.silent = frozenset()
        # Whether silent workers carry out orders.
        self.carries_out = False
        self.behaviors = {}
        self.version = 0
        # Last entry of each worker in the list, and when it was written.
        self.listed_s = -math.inf
        # Time of the issue of each ticket.
        self.tickets = {}
        self.gangs_incomplete_s = {}
        # Time for which each task has waited although it could have run.
        self.waited_s = {}
        self.longest_wait_s = 0.0
        self.term = 0
        self.scheduler = self._make_scheduler()

    def _make_scheduler(self):
        self.version += 1
        scheduler = scheduling.Scheduler(
            token=self.version,
            term=self.term,
            configuration=self._configuration(),
            options=scheduling.Options(max_entry_age_s=3.0),
            now_s=self.now_s,
            inherited_bound_s=dispatch.inherited_bound_s(
                scheduling.Options().max_lease_s
            ),
        )
        scheduler.store_ms = scheduler.wall_ms = self.now_s * 1000
        return scheduler

    def _configuration(self):
        configuration = scheduling_fixtures.configuration(standby=(STANDBY,))
        if self.allowed is None:
            return configuration
        queue = configuration.queues[scheduling_fixtures.QUEUE]
        policy = scheduling.AdvicePolicy(10, 1, TICKET_VALID_S * 1000)
        queues = {queue.name: attrs.evolve(queue, advice=policy)}
        return attrs.evolve(configuration, queues=queues)

    def change_leader(self):
        """Replaces the scheduler by that of the next term."""
        previous = self.scheduler
        self.term += 1
        self.scheduler = self._make_scheduler()
        for job_id, job in previous.jobs.items():
            self.version += 1
            self.scheduler.load_job(job_id, job.encode(), self.version)
        for worker_id, worker in previous.workers.items():
            self.scheduler.observe_worker(worker.record, self.now_s)
            self.scheduler.observe_unlisted(worker_id)
            inherited = self.scheduler.workers[worker_id]
            inherited.start_time_ms = worker.start_time_ms
            inherited.enrolled = True
            self.scheduler.unfenced.add(worker_id)
        self.listed_s = -math.inf

    def submit(self, job_id, step, behavior):
        """Submits a job of one step; returns `None` if it is rejected."""
        self.behaviors[job_id] = behavior
        spec = scheduling.JobSpec(
            job_id, scheduling_fixtures.QUEUE, "text", (step,)
        )
        job = self.scheduler.submit(spec, self.now_s)
        return job if isinstance(job, scheduling.Job) else None

    def change_capacity(self, worker_id, cpu_milli):
        model = self.models.get(worker_id)
        if model is None:
            return
        model.record = attrs.evolve(model.record, cpu_milli=cpu_milli)

    def lose(self, worker_id):
        """Ends a worker for good."""
        if worker_id not in self.models:
            return
        del self.models[worker_id]
        self.scheduler.observe_unlisted(worker_id)

    def restart(self, worker_id):
        """Ends a worker and starts it again under its name."""
        if worker_id not in self.models:
            return
        record = self.models[worker_id].record
        self.models[worker_id] = _worker_model.ModelWorker(
            attrs.evolve(record, start_time_ms=record.start_time_ms + 1),
            self.now_s,
            1.0,
            self._make_run,
            self,
        )

    def run(self, seconds, watched=False):
        """Lets time go on; records how long tasks wait if it is watched."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - TIME_STEP_S / 2:
            self.now_s += TIME_STEP_S
            self._step()
            if watched:
                for job in self.scheduler.jobs.values():
                    self._observe_waits(job)

    def _step(self):
        scheduler = self.scheduler
        scheduler.store_ms = scheduler.wall_ms = self.now_s * 1000
        for model in self.models.values():
            model.advance(self.now_s)
        self._advance_gangs()
        self._write_entries()
        for worker in list(scheduler.workers.values()):
            order = scheduler.hold_order(worker, 0, self.now_s)
            result = self._deliver(order)
            if isinstance(result, scheduling.WorkerReport):
                scheduler.observe_report(
                    worker.worker_id, result, order.token, self.now_s
                )
            else:
                scheduler.observe_no_response(worker.worker_id, self.now_s)
        self._commit()
        for order in scheduler.plan(self.now_s, True):
            self._send(order)
        for request in scheduler.advice.take_requests():
            self._advise(request)

    def _write_entries(self):
        if self.now_s - self.listed_s < HEARTBEAT_S:
            return
        self.listed_s = self.now_s
        for model in self.models.values():
            self.scheduler.observe_worker(model.record, self.now_s, self.now_s)

    def _commit(self):
        for worker in self.scheduler.workers.values():
            worker.enrolled = worker.fenced
        self.version += 1
        self.scheduler.observe_commit(self.version)
        snapshot = self.scheduler.begin_commit()
        if snapshot is None:
            self.scheduler.release_acknowledgements()
        else:
            self.scheduler.finish_commit(snapshot, self.version)

    def _send(self, order):
        result = self._deliver(order)
        if isinstance(order, scheduling.StartOrder):
            self.scheduler.observe_start(order, result, self.now_s)
        elif isinstance(order, scheduling.StopOrder):
            self.scheduler.observe_stop(order, result)
        else:
            self.scheduler.observe_pace(order, result)

    def _deliver(self, order):
        model = self.models.get(order.worker_id)
        if model is None:
            return scheduling.OrderResult(OUTCOMES.NOT_SENT)
        if order.worker_id not in self.silent:
            return self._apply(model, order)
        if self.carries_out and not isinstance(order, scheduling.HoldOrder):
            self._apply(model, order)
        return scheduling.OrderResult(OUTCOMES.UNKNOWN)

    def _apply(self, model, order):
        if isinstance(order, scheduling.HoldOrder):
            return model.hold(order, self.now_s)
        if isinstance(order, scheduling.StopOrder):
            return model.stop(order, self.now_s)
        if isinstance(order, scheduling.PaceOrder):
            return scheduling.OrderResult(OUTCOMES.ACCEPTED)
        if not self._accepts_ticket(order):
            clock_ms = model.clock_ms(self.now_s)
            return scheduling.OrderResult(OUTCOMES.NO_TICKET, clock_ms)
        return model.start(order, self.now_s)

    def _accepts_ticket(self, order):
        if self.allowed is None:
            return True
        step, _, _ = order.task.rpartition(".")
        key = (step, order.worker_id, order.ticket)
        issued_s = self.tickets.get(key, -math.inf)
        return self.now_s - issued_s <= TICKET_VALID_S

    def _advise(self, request):
        assert len(request.workers) <= 30
        self.version += 1
        tickets = {
            worker_id: f"ticket-{self.version}"
            for worker_id in request.workers
            if worker_id in self.allowed
        }
        for worker_id, ticket in tickets.items():
            self.tickets[request.step, worker_id, ticket] = self.now_s
        self.scheduler.advice.observe(
            request, tickets, TICKET_VALID_S, self.now_s
        )

    # What the workers do.

    def _make_run(self, order, now_s):
        behavior = self.behaviors[order.task.partition(".")[0]]
        return _worker_model.ModelRun(
            order.task,
            order.run_id,
            now_s,
            behavior.duration_s,
            behavior.fails,
        )

    def _advance_gangs(self):
        """Ends members that wait too long, and those without the others."""
        gangs = {}
        for model in self.models.values():
            for run in model.runs.values():
                if self.spec_of(run.task).gang:
                    step, _, _ = run.task.rpartition(".")
                    gangs.setdefault(step, []).append((model, run))
        for step in list(self.gangs_incomplete_s):
            if step not in gangs:
                del self.gangs_incomplete_s[step]
        for step, members in gangs.items():
            if len(members) == self.spec_of(members[0][1].task).task_count:
                self.gangs_incomplete_s.pop(step, None)
                continue
            since_s = self.gangs_incomplete_s.setdefault(step, self.now_s)
            if self.now_s - since_s > GANG_TIMEOUT_S:
                for model, run in members:
                    model._end(run, "alone")

    def on_start(self, worker, run, now_s):
        """Required by the model workers."""

    def on_end(self, worker, entry):
        """Required by the model workers."""

    def on_acknowledgement(self, entry):
        """Required by the model workers."""

    # What could run.

    def spec_of(self, task):
        job_id, _, step, _ = task.split(".")
        return self.scheduler.jobs[job_id].spec.steps[int(step)]

    def _observe_waits(self, job):
        running = {
            name for model in self.models.values() for name in model.runs
        }
        for tasks in job.steps.values():
            waiting = [
                task
                for task in tasks
                if not task.done and task.name not in running
            ]
            could_run = bool(waiting) and self._fits_twice(tasks)
            for task in tasks:
                if task not in waiting or not could_run or job.final:
                    self.waited_s[task.name] = 0.0
                    continue
                waited_s = self.waited_s.get(task.name, 0.0) + TIME_STEP_S
                self.waited_s[task.name] = waited_s
                self.longest_wait_s = max(self.longest_wait_s, waited_s)

    def _fits_twice(self, tasks):
        """Returns whether there is room for twice what a task needs.

        Less than half of the pool may be in use.
        """
        usable = [
            model for model in self.models.values() if not model.record.draining
        ]
        capacity = sum(model.record.cpu_milli for model in usable)
        used = sum(self._used(model)[0] for model in usable)
        if 2 * used >= capacity:
            return False
        count = len(tasks) if tasks[0].spec.gang else 1
        slots = sum(self._slots(model, tasks[0]) for model in usable)
        return slots >= 2 * count

    def _used(self, model):
        """Returns the CPU and the memory that runs on a worker take."""
        specs = [self.spec_of(name) for name in model.runs]
        return (
            sum(spec.cpu_milli for spec in specs if not spec.fills),
            sum(spec.memory_mb for spec in specs),
        )

    def _slots(self, model, task):
        """Returns how many tasks of a step a worker has room for."""
        spec, record = task.spec, model.record
        allowed = self.allowed is None or record.worker_id in self.allowed
        if not allowed or (
            spec.required_label and spec.required_label not in record.labels
        ):
            return 0
        cpu_used, memory_used = self._used(model)
        slots = (record.memory_mb - memory_used) // max(1, spec.memory_mb)
        if not spec.fills:
            slots = min(slots, (record.cpu_milli - cpu_used) // spec.cpu_milli)
        elif cpu_used > record.cpu_milli:
            slots = 0
        if spec.max_per_worker:
            same = sum(
                name.startswith(f"{task.step_name}.") for name in model.runs
            )
            slots = min(slots, spec.max_per_worker - same)
        return max(0, slots)

    def waiting_tasks(self):
        """Returns the names of the tasks that wait although their turn came."""
        return [
            task.name
            for job in self.scheduler.active.values()
            for task in job.tasks()
            if not task.done and task.run is None
        ]


class ScalingFleet(CalmFleet):
    """A fleet whose leader moves machines from and to standby.

    Args:
        records: The workers at the start, each with its machine.
        allowed: As for any fleet.
        standby_count: Number of machines in standby.
    """

    def __init__(self, records, allowed=None, standby_count=0):
        super().__init__(records, allowed)
        self.template = attrs.evolve(records[0], draining=False)
        # Pool, worker and end of the move of each machine.
        self.machines = {
            record.machine: (record.pool, record.worker_id, 0.0)
            for record in records
        }
        for number in range(standby_count):
            self.machines[f"s{number}"] = (STANDBY, "", 0.0)
        self.next_list_s = 0.0

    def lose(self, worker_id):
        """Ends a worker and its machine for good."""
        if worker_id not in self.models:
            return
        del self.machines[self.models[worker_id].record.machine]
        super().lose(worker_id)

    def _step(self):
        self._finish_moves()
        if self.now_s >= self.next_list_s:
            self.next_list_s = self.now_s + LIST_INTERVAL_S
            self.scheduler.maintenance.observe_machines(
                self._list_machines(), self.now_s, is_complete=True
            )
        # Decides with the shortages that the last planning pass has found.
        for move in self.scheduler.autoscaler.plan(self.now_s):
            self._move(move)
        super()._step()

    def _list_machines(self):
        return tuple(
            scheduling.MachineRecord(
                machine,
                pool,
                scheduling.MachineState.MOVING
                if end_s > self.now_s
                else scheduling.MachineState.UP,
                "z",
                worker_id,
            )
            for machine, (pool, worker_id, end_s) in self.machines.items()
        )

    def _move(self, move):
        _, worker_id, _ = self.machines[move.machine]
        if worker_id:
            del self.models[worker_id]
            self.scheduler.observe_unlisted(worker_id)
        self.machines[move.machine] = (move.pool, "", self.now_s + MOVE_S)
        self.scheduler.autoscaler.observe_order(move, "accepted")

    def _finish_moves(self):
        """Starts workers on the machines that have arrived in a pool."""
        for machine, (pool, worker_id, end_s) in list(self.machines.items()):
            if pool == STANDBY or worker_id or end_s > self.now_s:
                continue
            self.version += 1
            record = attrs.evolve(
                self.template,
                worker_id=f"{machine}-{self.version}",
                machine=machine,
            )
            self.machines[machine] = (pool, record.worker_id, 0.0)
            self.models[record.worker_id] = _worker_model.ModelWorker(
                record, self.now_s, 1.0, self._make_run, self
            )
            self.listed_s = -math.inf
