"""Polls the workers for their runs and extends their leases."""

import asyncio

import attrs

from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _leader_load

# How long a hold request (a long poll) waits for a run to end.
HOLD_WAIT_MS = 700
# Pause between two holds of one worker, so that ended runs are batched.
HOLD_PAUSE_S = 0.02
# Maximum delay of the next hold while ended runs are being stored.
COMMIT_WAIT_S = 0.1
# Delay before an unresponsive or lost worker is polled again.
UNRESPONSIVE_PAUSE_S = 0.15


class WorkerPoller:
    """Polls each worker of a term with hold requests.

    Args:
        controller: Controller of the term.
    """

    def __init__(self, controller):
        self.controller = controller
        self.tasks: dict[str, asyncio.Task] = {}
        # Workers with a call to the place of a refused entry under way.
        self.asking_later_lives: set[str] = set()

    def start(self) -> None:
        """Starts to poll the workers that are not polled yet."""
        for worker_id in self.controller.scheduler.workers:
            task = self.tasks.get(worker_id)
            if task is None or task.done():
                task = asyncio.ensure_future(self._hold_loop(worker_id))
                task.add_done_callback(self.controller.observe_task_end)
                self.tasks[worker_id] = task

    async def _hold_loop(self, worker_id: str) -> None:
        while True:
            worker = self.controller.scheduler.workers.get(worker_id)
            if worker is None:
                self.tasks.pop(worker_id, None)
                return
            if worker.retired:
                await asyncio.sleep(UNRESPONSIVE_PAUSE_S)
                continue
            try:
                await self.controller.load.run(
                    _leader_load.READING, self.hold(worker)
                )
            except Exception as error:
                # Each leader would call the same worker, so this must not end
                # the term. Its leases are not renewed, so its runs end.
                self.controller.faults.observe_call("hold", worker_id, error)
                self.controller.scheduler.observe_no_response(
                    worker_id, platform.boot_time_s()
                )
                await asyncio.sleep(UNRESPONSIVE_PAUSE_S)

    async def poll_worker(self, worker_id: str) -> None:
        """Fetches a worker's runs without a long poll."""
        worker = self.controller.scheduler.workers.get(worker_id)
        if worker is None:
            return
        now_s = platform.boot_time_s()
        order = self.controller.scheduler.hold_order(
            worker, 0, now_s, may_extend=False
        )
        try:
            result = await self.controller.worker_client.hold(order)
            if isinstance(result, scheduling.WorkerReport):
                self.controller.scheduler.observe_report(
                    worker_id, result, order.token, platform.boot_time_s()
                )
                self.controller.scheduler.release_acknowledgements()
                self.controller.request_plan()
        except Exception as error:
            self.controller.faults.observe_call("hold", worker_id, error)
            self.controller.scheduler.observe_no_response(
                worker_id, platform.boot_time_s()
            )

    async def hold(self, worker: scheduling.Worker) -> None:
        """Sends one hold request and applies its result."""
        unsaved = worker.processed > worker.acknowledged
        wait_ms = 0 if unsaved else HOLD_WAIT_MS
        processed = worker.processed
        order = self.controller.scheduler.hold_order(
            worker,
            wait_ms,
            platform.boot_time_s(),
            self.controller.may_extend(),
        )
        # A hold without a lease still lists ended runs.
        permit = self.controller.may_extend if order.until_ms else None
        result = await self.controller.worker_client.hold(order, permit)
        now_s = platform.boot_time_s()
        if isinstance(result, scheduling.WorkerReport):
            fenced = worker.fenced
            self.controller.scheduler.observe_report(
                worker.worker_id, result, order.token, now_s
            )
            enroll = self.controller.scheduler.awaits_enrollment(worker)
            if not fenced or worker.token_outdated or enroll:
                self.controller.committer.write_requested.set()
            self.controller.request_plan()
            if worker.processed > processed:
                self.controller.committer.write_requested.set()
                self.controller.scheduler.release_acknowledgements()
            if worker.processed > worker.acknowledged or worker.token_outdated:
                await self.controller.committer.wait_committed(COMMIT_WAIT_S)
            # A report has no effect before the next planning pass.
            pause_s = self.controller.pass_pacing.pause_s
            await asyncio.sleep(max(HOLD_PAUSE_S, pause_s))
            return
        if result.outcome is scheduling.OrderOutcome.FENCED:
            self.controller.scheduler.observe_fenced(order)
            if self.controller.scheduler.fenced_off:
                self.controller.end(f"fenced by {worker.worker_id}")
        elif result.outcome is scheduling.OrderOutcome.WRONG_WORKER:
            self.controller.scheduler.observe_wrong_worker(
                order.worker_id, order.address
            )
        elif result.outcome is not scheduling.OrderOutcome.WITHHELD:
            self.controller.scheduler.observe_no_response(
                worker.worker_id, now_s
            )
            self._ask_later_life(worker)
        await asyncio.sleep(UNRESPONSIVE_PAUSE_S)

    def _ask_later_life(self, worker: scheduling.Worker) -> None:
        """Starts a call to the place where a refused entry shows a worker.

        It does not delay the calls to the known place: any program may have
        written the entry, and calls to its address may not be answered.
        """
        later = worker.refused_record
        if later is None or worker.worker_id in self.asking_later_lives:
            return
        self.asking_later_lives.add(worker.worker_id)
        self.controller.spawn(self._hold_later_life(worker, later))

    async def _hold_later_life(
        self, worker: scheduling.Worker, later: scheduling.WorkerRecord
    ) -> None:
        """Applies the report of a later life of a silent worker, if any.

        A worker answers only orders that name it, so a report of this life
        shows that the one before has ended. No other result shows anything.
        """
        try:
            order = self.controller.scheduler.hold_order(
                worker, 0, platform.boot_time_s(), may_extend=False
            )
            order = attrs.evolve(order, address=later.address, last_seen=0)
            result = await self.controller.worker_client.hold(order)
            if (
                isinstance(result, scheduling.WorkerReport)
                and result.start_time_ms == later.start_time_ms
                and worker.refused_record is not None
                and worker.refused_record.address == later.address
            ):
                self.controller.scheduler.observe_report(
                    worker.worker_id,
                    result,
                    order.token,
                    platform.boot_time_s(),
                )
                self.controller.committer.write_requested.set()
                self.controller.request_plan()
        except Exception as error:
            self.controller.faults.observe_call("hold", worker.worker_id, error)
        finally:
            self.asking_later_lives.discard(worker.worker_id)
