"""Tests of the checks shared by the scenarios."""

import pathlib
import runpy

import pytest

from baobabdoor import settings

ROOT = pathlib.Path(__file__).parents[1]
PROMISES = {"desk": settings.PoolPromise(min_workers=2, availability_budget=1)}


class TestBudgetCheck:

    def check(self, vms, rows):
        harness = runpy.run_path(str(ROOT / "features" / "harness.py"))
        state = {"vms": vms, "rows": rows}
        harness["check_budgets"](state, PROMISES)

    def vm(self, vm_id, state="live", boot=1):
        return {"vm_id": vm_id, "state": state, "boot_id": f"{vm_id}.{boot}"}

    def rows(self, *phases):
        return {
            f"vm/taal/v{index}": {
                "pool": "desk",
                "phase": phase,
                "boot_id": f"v{index}.1",
            }
            for index, phase in enumerate(phases)
        } | {"view/taal": {}}

    def test_one_unavailable_vm_is_within_the_budget(self):
        vms = [self.vm(f"v{index}") for index in range(3)]

        self.check(vms, self.rows("serving", "serving", "rebooting"))

    def test_two_unavailable_rows_exceed_the_budget(self):
        vms = [self.vm(f"v{index}") for index in range(4)]
        rows = self.rows("serving", "serving", "rebooting", "leaving")

        with pytest.raises(AssertionError):
            self.check(vms, rows)

    @pytest.mark.parametrize("change", [{"state": "terminated"}, {"boot": 2}])
    def test_a_vm_that_is_down_is_unavailable_despite_a_serving_row(
        self, change
    ):
        vms = [self.vm(f"v{index}") for index in range(3)]
        vms.append(self.vm("v3", **change))
        rows = self.rows("serving", "serving", "rebooting", "serving")

        with pytest.raises(AssertionError):
            self.check(vms, rows)

    def test_a_pool_below_its_promised_size_fails(self):
        vms = [self.vm(f"v{index}") for index in range(2)]

        with pytest.raises(AssertionError):
            self.check(vms, self.rows("serving", "rebooting"))
