"""Region controller: moves and maintains VMs while it holds the lease."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import fleet_api as platform_lib
from baobabdoor import maintenance
from baobabdoor import membership
from baobabdoor import ownership
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.control import _lease

STEP = "control.act"
# VM rows created by one transaction; bounds its size to about 20 KB.
CREATE_BATCH_SIZE = 64
# Immediate retries of a transaction with an unknown result; after these, it is
# retried once in each round.
MAX_RETRIES = 2
# Maximum number of phase changes of one VM in a round.
MAX_PHASES_PER_ROUND = 4


class Configuration:
    """The part of `configuration.ConfigurationStore` that is used here."""

    generation: int
    deployment: settings.Deployment | None
    preset_name: str


@attrs.define
class Planners:
    """Sources of planned operations.

    Attributes:
        make_capacity_policy: Returns the capacity policy with a given name.
        maintenance: Plans maintenance reboots; None if there are none.
        demand: Returns the demand on each pool, summed over all entries.
    """

    make_capacity_policy: Callable[[str], capacity.CapacityPolicy | None]
    maintenance: maintenance.MaintenancePolicy | None
    demand: Callable[[], Mapping[str, capacity.PoolDemand]]


@attrs.frozen
class ControlRound:
    """Input of a controller extension in one round.

    Attributes:
        epoch: Version of the control row; every write must be conditional on
            it.
        snapshot: VMs of the region.
        deployment: Active deployment settings.
        preset: Active preset.
        is_acting: Must return true immediately before each write or operation.
    """

    epoch: int
    snapshot: ownership.FleetSnapshot
    deployment: settings.Deployment
    preset: settings.Preset
    is_acting: Callable[[], bool]


class Controller:
    """Controls the VMs of a region while its entry holds the control lease.

    Args:
        platform: Client of the platform.
        timers: Timer service.
        lease: Control lease.
        configuration: Active configuration.
        listed_vms: Returns the last VM list of the platform, by identifier.
        planners: Sources of planned operations.
        recorder: Event timeline of the process.
        forget_failed_s: Seconds after which the row of a failed VM that did not
            come back is deleted. Default: 3,600.
    """

    PARAMETER_CONSTRAINTS = {"forget_failed_s": base.Interval(0)}

    def __init__(
        self,
        platform: platform_lib.Platform,
        timers: base.TimerService,
        lease: _lease.ControlLease,
        configuration: Configuration,
        listed_vms: Callable[[], Mapping[str, platform_lib.VmRecord]],
        planners: Planners,
        recorder: timeline.EventRecorder,
        forget_failed_s: float = ownership.FORGET_FAILED_S,
    ):
        self.platform = platform
        self.timers = timers
        self.lease = lease
        self.configuration = configuration
        self.listed_vms = listed_vms
        self.planners = planners
        self.recorder = recorder
        self.forget_failed_s = forget_failed_s
        self.gone = ownership.ExpiredEntries(membership.GRANT_HOLD_S)
        self.table_: ownership.FleetTable | None = None
        self.pending_step_: ownership.Transaction | None = None
        self.policy_name_ = ""
        self.policy_: capacity.CapacityPolicy | None = None
        self.extensions_: list[Callable[[ControlRound], Any]] = []
        self.refusals_: dict[str, base.Refusal] = {}

    def add_extension(self, extension: Callable[[ControlRound], Any]) -> None:
        """Adds a coroutine function for `run_extensions` to call."""
        self.extensions_.append(extension)

    def is_acting(self) -> bool:
        """Returns whether this entry may write and start operations now."""
        return self.lease.is_acting(self.timers.now_s())

    async def run_round(self) -> None:
        """Runs one round of the control loop."""
        if not self.is_acting():
            self.table_ = None
            return
        if not await self._resolve_pending():
            return
        table = await self._read_table()
        deployment = self.configuration.deployment
        if table is None or deployment is None:
            return
        if not await self._create_vms(table, deployment):
            return
        for vm_id in sorted(table.vms):
            if not await self._advance_vm(table, vm_id, deployment):
                return
        # New operations start last: the entry rows that allow a VM to drain
        # must be read after the row with phase LEAVING is written, that is, in
        # a later round.
        await self._start_operations(table, deployment)

    # Reading.

    async def _read_table(self) -> ownership.FleetTable | None:
        """Reads the entry rows; caches the rows that only this epoch writes."""
        table = self.table_
        if table is None or table.epoch != self.lease.epoch_:
            base.validate(self)
            table = ownership.FleetTable(
                self.lease.region,
                epoch=self.lease.epoch_,
                forget_failed_s=self.forget_failed_s,
            )
            prefixes = (
                ownership.VIEW_PREFIX,
                ownership.VM_PREFIX,
                ownership.BUDGET_PREFIX,
            )
            for prefix in prefixes:
                rows = await self.platform.scan(prefix)
                if isinstance(rows, base.Refusal):
                    return None
                table.observe_rows(rows)
        rows = await self.platform.scan(ownership.ENTRY_PREFIX)
        if isinstance(rows, base.Refusal):
            return None
        if table.epoch != self.lease.epoch_:
            return None
        table.entries = {}
        table.observe_rows(rows)
        table.listed = dict(self.listed_vms())
        table.expired_entries = self.gone.observe(
            table.entries, table.listed, self.timers.now_s()
        )
        self.table_ = table
        return table

    # Writing.

    async def _resolve_pending(self) -> bool:
        """Retries a transaction whose result is unknown.

        Returns:
            Whether no transaction has an unknown result.
        """
        step = self.pending_step_
        if step is None:
            return True
        epoch_key = ownership.control_key(self.lease.region)
        epoch = platform_lib.Condition(epoch_key, self.lease.epoch_)
        if epoch not in step.conditions:
            # Its condition on an earlier epoch can never hold again.
            self.pending_step_ = None
            return True
        result = await self._transact(step)
        if isinstance(result, platform_lib.Unknown | base.Refusal):
            return False
        self.pending_step_ = None
        self.table_ = None
        self._record(step, repeated=True)
        return True

    async def _commit(
        self, table: ownership.FleetTable, step: ownership.Transaction
    ) -> bool:
        """Commits a transaction; returns whether it is known to be applied.

        Otherwise all rows are read again in the next round.
        """
        result = None
        for _ in range(1 + MAX_RETRIES):
            if not self.is_acting():
                return False
            result = await self._transact(step)
            if isinstance(result, platform_lib.Unknown):
                self.pending_step_ = step
            elif not isinstance(result, base.Refusal):
                break
        if isinstance(result, platform_lib.Committed):
            self.pending_step_ = None
            ownership.apply_transaction(table, step, result.versions)
            self._record(step)
            return True
        if isinstance(result, platform_lib.Conflict):
            self.pending_step_ = None
        self.table_ = None
        return False

    async def _transact(
        self, step: ownership.Transaction
    ) -> platform_lib.TransactionResult:
        return await self.platform.transact(step.conditions, step.writes)

    def _record(
        self, step: ownership.Transaction, repeated: bool = False
    ) -> None:
        self.recorder.record(
            step.kind,
            step.vm_id,
            step.intent,
            transaction=step.transaction_id,
            repeated=repeated,
        )

    # VMs.

    async def _create_vms(
        self, table: ownership.FleetTable, deployment: settings.Deployment
    ) -> bool:
        by_zone: dict[str, list[platform_lib.VmRecord]] = {}
        for vm_id, record in sorted(table.listed.items()):
            is_live = record.state is platform_lib.VmListState.LIVE
            if vm_id in table.vms or not is_live or not record.pool_hint:
                continue
            if record.pool_hint not in deployment.pools:
                record = attrs.evolve(record, pool_hint=deployment.spare_pool)
            by_zone.setdefault(record.availability_zone, []).append(record)
        for zone, records in by_zone.items():
            for start in range(0, len(records), CREATE_BATCH_SIZE):
                batch = records[start : start + CREATE_BATCH_SIZE]
                if not await self._create_batch(table, zone, batch):
                    return False
        return True

    async def _create_batch(
        self,
        table: ownership.FleetTable,
        zone: str,
        records: Sequence[platform_lib.VmRecord],
    ) -> bool:
        keys = [ownership.vm_key(zone, record.vm_id) for record in records]
        rows = await self.platform.read(keys)
        if isinstance(rows, base.Refusal):
            return False
        # A VM whose row exists but is not in `table.vms` has a malformed row.
        versions = {
            key: row.version for key, row in rows.items() if row.value is None
        }
        records = [
            record
            for record in records
            if ownership.vm_key(zone, record.vm_id) in versions
        ]
        if not records:
            return True
        step = ownership.create_vms(
            table, zone, records, versions, self.timers.wall_ms()
        )
        return await self._commit(table, step)

    async def _advance_vm(
        self,
        table: ownership.FleetTable,
        vm_id: str,
        deployment: settings.Deployment,
    ) -> bool:
        """Advances a VM through its phases as far as possible.

        Returns:
            Whether the round may continue with the next VM.
        """
        pool = deployment.pools.get(table.vms[vm_id].row.pool)
        reboot_s = pool.reboot_s if pool is not None else 0.0
        for _ in range(MAX_PHASES_PER_ROUND):
            action = ownership.next_action(
                table, vm_id, reboot_s, self.timers.wall_ms()
            )
            if isinstance(action, ownership.Operation):
                action = await self._execute(table, action)
            if action is None:
                return True
            if not await self._commit(table, action):
                return False
            if vm_id not in table.vms:
                return True
            if table.vms[vm_id].row.phase is ownership.Phase.LEAVING:
                # The acknowledgements must be read after this write.
                return True
        return True

    async def _execute(
        self, table: ownership.FleetTable, operation: ownership.Operation
    ) -> ownership.Transaction | None:
        if not self.is_acting():
            return None
        calls = {
            ownership.OperationKind.DRAIN: self.platform.drain_vm,
            ownership.OperationKind.UNDRAIN: self.platform.undrain_vm,
            ownership.OperationKind.REBOOT: self.platform.reboot_vm,
        }
        call = calls[operation.kind]
        record = await call(operation.vm_id, operation.boot_id)
        if not isinstance(record, platform_lib.VmRecord):
            return None
        return ownership.handle_operation_result(
            table, operation, record, self.timers.wall_ms()
        )

    # Planning.

    async def _start_operations(
        self,
        table: ownership.FleetTable,
        deployment: settings.Deployment,
    ) -> None:
        self.refusals_ = {}
        planned = self.plan(table, deployment, self._preset())
        for vm_id, target_pool in planned:
            # The active preset may have changed since the round began.
            preset = self._preset()
            step = ownership.start_operation(
                table, vm_id, target_pool, preset, self.timers.wall_ms()
            )
            if isinstance(step, base.Refusal):
                self.refusals_[vm_id] = step
            elif not await self._commit(table, step):
                return

    def plan(
        self,
        table: ownership.FleetTable,
        deployment: settings.Deployment,
        preset: settings.Preset,
    ) -> list[tuple[str, str]]:
        """Returns the VMs to take out of service and their target pools."""
        snapshot = table.snapshot()
        planned = []
        policy = self._policy(preset.capacity_policy)
        if policy is not None:
            moves = policy.plan(
                snapshot,
                self.planners.demand(),
                deployment,
                preset,
                self.timers.now_s(),
            )
            for move in moves:
                vm = snapshot.vms.get(move.vm_id)
                if vm is not None and vm.pool == move.from_pool != move.to_pool:
                    planned.append((move.vm_id, move.to_pool))
        if preset.maintenance.enabled and self.planners.maintenance is not None:
            starts = self.planners.maintenance.plan(
                snapshot, deployment, preset, self.timers.wall_ms()
            )
            for start in starts:
                vm = snapshot.vms.get(start.vm_id)
                if vm is not None and vm.pool == start.pool:
                    planned.append((start.vm_id, vm.pool))
        return planned

    def _policy(self, name: str) -> capacity.CapacityPolicy | None:
        if name != self.policy_name_:
            self.policy_ = self.planners.make_capacity_policy(name)
            self.policy_name_ = name
        return self.policy_

    def _preset(self) -> settings.Preset:
        deployment = self.configuration.deployment
        return deployment.presets[self.configuration.preset_name]

    async def run_extensions(self) -> None:
        """Runs the extensions on the rows of the last round.

        It runs concurrently with `run_round`, so that slow extensions do not
        delay operations on VMs.
        """
        for extension in self.extensions_:
            table = self.table_
            if table is None or not self.is_acting():
                return
            if table.epoch != self.lease.epoch_:
                return
            await extension(
                ControlRound(
                    table.epoch,
                    table.snapshot(),
                    self.configuration.deployment,
                    self._preset(),
                    self.is_acting,
                )
            )
