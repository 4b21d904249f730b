"""Runs maintenance waves during a leader's term."""

import asyncio
from collections.abc import Awaitable

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling

# Interval between two reads of the list of machines.
LIST_INTERVAL_S = 0.5
LOG = observability.get_logger("waves")


class WaveRunner:
    """Polls the list of machines, sends orders and reports wave states.

    Args:
        daemon: Provides the clients and the requested waves.
        controller: The controller of the term.
    """

    def __init__(self, daemon, controller):
        self.daemon = daemon
        self.controller = controller
        self.maintenance = controller.scheduler.maintenance
        # Whether a wave was reported as completed, and the version of the row
        # with its state; 0 if it is not known.
        self.reported: dict[int, bool] = {}
        self.status_versions: dict[int, int] = {}
        # Waves whose stored plan cannot be read.
        self.unreadable: set[int] = set()

    async def run(self) -> None:
        """Polls machines and reports waves until it is cancelled."""
        while True:
            self._observe_waves()
            await self._list_machines()
            await self._report()
            await asyncio.sleep(LIST_INTERVAL_S)

    def _observe_waves(self) -> None:
        for number, wave in self.daemon.waves.items():
            if number in self.maintenance.plans or number in self.unreadable:
                continue
            document = self.controller.committer.wave_document(number)
            try:
                self.maintenance.observe_wave(wave, document.content)
            except Exception as error:
                # The plan says which machines may be down. Without it, further
                # orders could exceed the maximum, so there are none.
                self.unreadable.add(number)
                row = platform.StoredRow(
                    document.table, "", document.key, document.content
                )
                self.controller.faults.observe_row(
                    "wave_row_ignored", row, error, "wave"
                )

    async def _list_machines(self) -> None:
        asked_s = platform.boot_time_s()
        client = self.daemon.machine_client
        ignored = client.entries_ignored_
        try:
            answer = await client.list_machines()
        except Exception as error:
            self.controller.faults.observe_call(
                "machines", "", error, "machine"
            )
            return
        if isinstance(answer, base.Refusal):
            LOG.warning("machines_not_listed", reason=str(answer))
            return
        is_complete = client.entries_ignored_ == ignored
        self.maintenance.observe_machines(answer, asked_s, is_complete)
        self.controller.request_plan()

    def plan(self, now_s: float) -> None:
        """Sends the maintenance and move orders that are due."""
        for plan, due, order in self.maintenance.plan(now_s):
            self.controller.spawn(self._order_maintenance(plan, due, order))
        for move in self.controller.scheduler.autoscaler.plan(now_s):
            self.controller.spawn(self._order_move(move))
        if self.maintenance.plans:
            self.controller.committer.write_requested.set()

    async def _order_maintenance(
        self,
        plan: scheduling.WavePlan,
        due: scheduling.MaintenanceTarget,
        order: scheduling.MaintenanceOrder,
    ) -> None:
        outcome = await self._call_machine(
            order.machine,
            self.daemon.machine_client.start_maintenance(
                order.machine,
                order.wave,
                self.controller.leader.token,
                self.controller.may_send,
            ),
        )
        LOG.info(
            "upkeep_ordered",
            machine=order.machine,
            wave=order.wave,
            worker=due.worker_id,
            outcome=outcome.value,
        )
        self.maintenance.observe_order(
            plan, due, outcome.value, platform.boot_time_s()
        )
        if outcome is platform.MachineOutcome.FENCED:
            self.controller.end(f"fenced at machine {order.machine}")
        self.controller.request_plan()

    async def _order_move(self, move: scheduling.Move) -> None:
        outcome = await self._call_machine(
            move.machine,
            self.daemon.machine_client.move(
                move.machine,
                move.pool,
                self.controller.leader.token,
                self.controller.may_send,
            ),
        )
        LOG.info(
            "move_ordered",
            machine=move.machine,
            pool=move.pool,
            worker=move.worker_id,
            outcome=outcome.value,
        )
        self.controller.scheduler.autoscaler.observe_order(move, outcome.value)
        if outcome is platform.MachineOutcome.FENCED:
            self.controller.end(f"fenced at machine {move.machine}")

    async def _call_machine(
        self, machine: str, call: Awaitable[platform.MachineOutcome]
    ) -> platform.MachineOutcome:
        """Awaits an order; after an error it may have arrived."""
        try:
            return await call
        except Exception as error:
            self.controller.faults.observe_call(
                "machine", machine, error, "machine"
            )
            return platform.MachineOutcome.UNKNOWN

    async def _report(self) -> None:
        for number, plan in self.maintenance.plans.items():
            changed = self.reported.get(number) != plan.completed
            if changed and self.controller.recently_confirmed():
                await self._report_wave(number, plan)

    async def _report_wave(
        self, number: int, plan: scheduling.WavePlan
    ) -> None:
        """Writes the state of a wave unless its row has changed.

        A write without an answer may be applied after a later one of this or
        the next leader. It must not replace that.
        """
        completed = plan.completed
        key = f"{platform.WAVE_KEY_PREFIX}{number}"
        row = platform.StoredRow(
            platform.STATUS_TABLE,
            "",
            key,
            platform.encode_wave_state(plan.wave, completed),
        )
        version = self.status_versions.get(number, 0)
        expected = platform.StoredRow(
            platform.STATUS_TABLE, "", key, version=version
        )
        answer = await self.daemon.store.transact([row], (), [expected])
        if isinstance(answer, platform.Commit):
            self.status_versions[number] = answer.version
            self.reported[number] = completed
            LOG.info("wave_reported", wave=number, done=completed)
        elif isinstance(answer, platform.Conflict):
            # The next write is conditional on the row that it replaces.
            self.status_versions[number] = max(
                (row.version for row in answer.rows), default=0
            )
            LOG.info(
                "wave_row_changed",
                wave=number,
                known=version,
                version=self.status_versions[number],
            )
        else:
            LOG.warning("wave_not_reported", wave=number, reason=str(answer))
