"""Carries out waves of upkeep under a tenure."""

import asyncio

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling

# Time between two readings of the list of machines.
LIST_INTERVAL_S = 0.5
LOG = observability.get_logger("waves")


class WaveRunner:
    """Reads the list of machines, gives orders and reports the waves' states.

    Args:
        daemon: The daemon with its clients and the waves asked for.
        controller: The controller of the tenure.
    """

    def __init__(self, daemon, controller):
        self.daemon = daemon
        self.controller = controller
        self.upkeep = controller.scheduler.maintenance
        self.reported: dict[int, bool] = {}

    async def run(self) -> None:
        """Follows the machines and reports until it is cancelled."""
        while True:
            self._observe_waves()
            await self._list_machines()
            await self._report()
            await asyncio.sleep(LIST_INTERVAL_S)

    def _observe_waves(self) -> None:
        for number, wave in self.daemon.waves.items():
            if number in self.upkeep.plans:
                continue
            self.upkeep.observe_wave(wave)
            content = self.controller.committer.wave_document(number).content
            if content:
                self.upkeep.plans[number].restore(content)

    async def _list_machines(self) -> None:
        asked_s = platform.boot_time_s()
        answer = await self.daemon.machine_client.list_machines()
        if isinstance(answer, base.Refusal):
            LOG.warning("machines_not_listed", reason=str(answer))
            return
        self.upkeep.observe_machines(answer, asked_s)
        self.controller.wake()

    def plan(self, now_s: float) -> None:
        """Gives the orders that are due."""
        for plan, due, order in self.upkeep.plan(now_s):
            self.controller.spawn(self._order(plan, due, order))
        for move in self.controller.scheduler.autoscaler.plan(now_s):
            self.controller.spawn(self._move(move))
        if self.upkeep.plans:
            self.controller.committer.wanted.set()

    async def _order(
        self,
        plan: scheduling.WavePlan,
        due: scheduling.MaintenanceTarget,
        order: scheduling.MaintenanceOrder,
    ) -> None:
        outcome = await self.daemon.machine_client.start_upkeep(
            order.machine, order.wave, self.controller.holder.token
        )
        LOG.info(
            "upkeep_ordered",
            machine=order.machine,
            wave=order.wave,
            worker=due.worker_id,
            outcome=outcome.value,
        )
        self.upkeep.observe_order(
            plan, due, outcome.value, platform.boot_time_s()
        )
        if outcome is platform.MachineOutcome.FENCED:
            self.controller.end(f"fenced at machine {order.machine}")
        self.controller.wake()

    async def _move(self, move: scheduling.Move) -> None:
        outcome = await self.daemon.machine_client.move(
            move.machine, move.pool, self.controller.holder.token
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

    async def _report(self) -> None:
        for number, plan in self.upkeep.plans.items():
            if self.reported.get(number) == plan.completed:
                continue
            row = platform.StoredRow(
                platform.STATUS_TABLE,
                "",
                f"{platform.WAVE_KEY_PREFIX}{number}",
                platform.encode_wave_state(plan.wave, plan.completed),
            )
            answer = await self.daemon.store.transact([row])
            if isinstance(answer, platform.Commit):
                self.reported[number] = plan.completed
                LOG.info("wave_reported", wave=number, done=plan.completed)
