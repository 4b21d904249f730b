"""Tests of the rows, transactions and phases of moves and maintenance."""

import attrs
import pytest

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor import ownership
from baobabdoor import settings

Phase = ownership.Phase


def make_row(**changes):
    row = ownership.VmRow(
        pool="p", phase=Phase.SERVING, boot_id="b1", rack="r", address="x:1"
    )
    return attrs.evolve(row, **changes)


def make_table(**rows):
    table = ownership.FleetTable("luzon", epoch=7)
    table.views["a"] = 10
    for vm_id, row in rows.items():
        table.vms[vm_id] = ownership.StoredVm("a", row, 3)
    return table


def make_record(state=fleet_api.VmListState.LIVE, boot_id="b1", **changes):
    return fleet_api.VmRecord("v1", "x:1", state, boot_id, "a", "r", **changes)


def make_preset(minimum=1, budget=1, maximum=10):
    promise = settings.PoolPromise(
        min_workers=minimum, availability_budget=budget, max_workers=maximum
    )
    return settings.Preset(
        pools={"p": promise, "q": promise},
        maintenance=settings.MaintenancePolicy(enabled=True),
    )


def row_of(transaction, vm_id="v1"):
    writes = {write.key: write.value for write in transaction.writes}
    return ownership.from_json(writes[f"vm/a/{vm_id}"], ownership.VmRow)


class TestRows:

    @pytest.mark.parametrize(
        "row",
        [
            make_row(previous_boots=["b0"]),
            ownership.EntryRow(5, "a", "x:1", views={"a": 3}),
            ownership.BudgetRow({"v1": "move.v1"}),
        ],
    )
    def test_round_trip(self, row):
        """Guards against fields that are lost when a row is stored."""
        stored = ownership.to_json(row)
        assert ownership.from_json(stored, type(row)) == row

    @pytest.mark.parametrize("value", [None, 3, {}, {"pool": "p"}, []])
    def test_malformed_is_none(self, value):
        """Guards against an exception in a control round."""
        assert ownership.from_json(value, ownership.VmRow) is None


class TestStartOperation:

    def test_conditions_cover_every_row_read(self):
        """Guards against a start that ignores a concurrent change."""
        table = make_table(v1=make_row(), v2=make_row())
        transaction = ownership.start_operation(
            table, "v1", "q", make_preset(), 5
        )
        conditions = {c.key: c.version for c in transaction.conditions}
        assert conditions == {
            "control/luzon": 7,
            "vm/a/v1": 3,
            "view/a": 10,
            "budget/p": 0,
        }
        row = row_of(transaction)
        assert (row.phase, row.pool, row.target_pool, row.view) == (
            Phase.LEAVING,
            "p",
            "q",
            11,
        )
        charges = {write.key: write.value for write in transaction.writes}
        assert charges["budget/p"] == {"charges": {"v1": row.intent}}

    @pytest.mark.parametrize(
        ("other", "target", "preset", "reason"),
        [
            (make_row(), "q", make_preset(minimum=2), "no-capacity"),
            (make_row(), "x", make_preset(), "unknown-pool"),
            (make_row(pool="q"), "q", make_preset(0, 1, 1), "quota-exceeded"),
            (
                make_row(phase=Phase.FAILED),
                "p",
                make_preset(0),
                "budget-exhausted",
            ),
        ],
    )
    def test_refusals(self, other, target, preset, reason):
        """Guards against a planner that exceeds a limit."""
        table = make_table(v1=make_row(), v2=other)
        refusal = ownership.start_operation(table, "v1", target, preset, 5)
        assert isinstance(refusal, base.Refusal)
        assert refusal.reason.value == reason

    def test_charge_without_row_counts(self):
        """Guards against ignoring a charge for a VM without a row."""
        table = make_table(v1=make_row(), v2=make_row())
        charged = ownership.BudgetRow({"v9": "move.v9"})
        table.budgets["p"] = ownership.StoredBudget(charged, 1)
        refusal = ownership.start_operation(table, "v1", "q", make_preset(), 5)
        assert refusal.reason is base.Reason.BUDGET_EXHAUSTED

    def test_terminated_vms_count_against_the_budget(self):
        """Guards against exceeding the budget after an unplanned loss."""
        table = make_table(v1=make_row(), v2=make_row())
        terminated = make_record(fleet_api.VmListState.TERMINATED)
        table.listed["v2"] = attrs.evolve(terminated, vm_id="v2")
        refusal = ownership.start_operation(table, "v1", "q", make_preset(0), 5)
        assert refusal.reason is base.Reason.BUDGET_EXHAUSTED


class TestNextAction:

    def table_with_leaving_vm(self):
        table = make_table(
            v1=make_row(
                phase=Phase.LEAVING, target_pool="q", view=10, intent="i"
            )
        )
        entry = ownership.EntryRow(1, "a", "x:2", views={"a": 10})
        table.entries["e1"] = entry
        return table

    def test_waits_for_every_entry_of_the_zone(self):
        """Guards against draining a VM to which an entry still sends."""
        table = self.table_with_leaving_vm()
        table.entries["e2"] = ownership.EntryRow(1, "a", "x:3", views={"a": 9})
        assert ownership.next_action(table, "v1", 90, 0) is None
        table.entries["e2"] = None
        assert ownership.next_action(table, "v1", 90, 0) is None
        table.expired_entries = frozenset(["e2"])
        transaction = ownership.next_action(table, "v1", 90, 0)
        assert row_of(transaction).phase is Phase.DRAINING

    def test_entries_of_other_zones_need_not_acknowledge(self):
        """Guards against waiting for entries that only have view leases."""
        table = self.table_with_leaving_vm()
        table.entries["f1"] = ownership.EntryRow(1, "b", "x:3")
        assert ownership.next_action(table, "v1", 90, 0) is not None

    def test_pool_changes_when_serving_again(self):
        """Guards against a VM that belongs to two pools or to none."""
        table = self.table_with_leaving_vm()
        row = table.vms["v1"].row
        table.vms["v1"] = ownership.StoredVm(
            "a", attrs.evolve(row, phase=Phase.DRAINING), 4
        )
        operation = ownership.next_action(table, "v1", 90, 0)
        assert operation.kind is ownership.OperationKind.DRAIN
        busy = make_record()
        assert (
            ownership.handle_operation_result(table, operation, busy, 0) is None
        )
        idle = make_record(idle=True)
        transaction = ownership.handle_operation_result(
            table, operation, idle, 0
        )
        joining = row_of(transaction)
        assert (joining.phase, joining.pool) == (Phase.JOINING, "p")
        table.vms["v1"] = ownership.StoredVm("a", joining, 5)
        operation = ownership.next_action(table, "v1", 90, 0)
        transaction = ownership.handle_operation_result(
            table, operation, busy, 0
        )
        serving = row_of(transaction)
        assert (serving.phase, serving.pool) == (Phase.SERVING, "q")
        assert (serving.target_pool, serving.intent) == ("", "")

    def test_result_for_another_boot_is_ignored(self):
        """Guards against continuing after the VM has rebooted."""
        table = make_table(v1=make_row(phase=Phase.DRAINING, target_pool="q"))
        operation = ownership.next_action(table, "v1", 90, 0)
        record = make_record(boot_id="b2", idle=True)
        assert (
            ownership.handle_operation_result(table, operation, record, 0)
            is None
        )

    def test_new_boot_ends_maintenance(self):
        """Guards against releasing the charge before the VM serves again."""
        row = make_row(phase=Phase.REBOOTING, target_pool="p", intent="i")
        table = make_table(v1=row)
        table.listed["v1"] = make_record(fleet_api.VmListState.TERMINATED)
        operation = ownership.next_action(table, "v1", 90, 0)
        assert operation.kind is ownership.OperationKind.REBOOT
        table.listed["v1"] = make_record(boot_id="b2")
        back = row_of(ownership.next_action(table, "v1", 90, 500))
        assert (back.phase, back.boot_id) == (Phase.JOINING, "b2")
        assert (back.last_maintained_ms, back.intent) == (500, "i")

    def test_earlier_boot_in_a_stale_list_is_ignored(self):
        """Guards against a stale list that reverts a row to an earlier boot."""
        table = make_table(v1=make_row(boot_id="b2", previous_boots=["b1"]))
        table.listed["v1"] = make_record(boot_id="b1")
        assert ownership.next_action(table, "v1", 90, 0) is None

    def test_overdue_reboot_fails(self):
        """Guards against maintenance that never notices a failed reboot."""
        row = make_row(phase=Phase.REBOOTING, target_pool="p", intent="i")
        table = make_table(v1=row)
        failed = row_of(ownership.next_action(table, "v1", 90, 360_001))
        assert (failed.phase, failed.intent) == (Phase.FAILED, "i")

    def test_failed_vm_is_deleted_after_all_acknowledged(self):
        """Guards against a failed VM that occupies the budget forever."""
        table = self.table_with_leaving_vm()
        row = make_row(phase=Phase.FAILED, view=11, intent="i")
        table.vms["v1"] = ownership.StoredVm("a", row, 4)
        table.listed["v1"] = make_record(fleet_api.VmListState.TERMINATED)
        assert ownership.next_action(table, "v1", 90, 3_600_000) is None
        table.entries["e1"] = ownership.EntryRow(1, "a", "x", views={"a": 11})
        assert ownership.next_action(table, "v1", 90, 3_599_000) is None
        transaction = ownership.next_action(table, "v1", 90, 3_600_000)
        values = {write.key: write.value for write in transaction.writes}
        assert values["vm/a/v1"] is None
        assert values["budget/p"] == {"charges": {}}

    def test_late_drain_is_undone(self):
        """Guards against a serving VM that a delayed call leaves drained."""
        table = make_table(v1=make_row())
        table.listed["v1"] = make_record(idle=True)
        operation = ownership.next_action(table, "v1", 90, 0)
        assert operation.kind is ownership.OperationKind.UNDRAIN


class TestRegistration:

    def check(self, record=None, **changes):
        own = ownership.EntryRow(6, "a", "x:1", "boot2")
        existing = ownership.EntryRow(5, "a", "x:2", "boot1")
        existing = attrs.evolve(existing, **changes)
        return ownership.check_registration(existing, own, record)

    def test_replaces_only_rows_of_ended_processes(self):
        """Guards against replacing the row of a live process."""
        assert self.check() is not None
        assert self.check(control="x:1") is None
        terminated = make_record(fleet_api.VmListState.TERMINATED, "boot1")
        assert self.check(terminated) is None
        assert self.check(make_record(boot_id="boot1")) is not None
        assert self.check(terminated, boot_id="boot0") is not None
        assert self.check(terminated, boot_id="") is not None
