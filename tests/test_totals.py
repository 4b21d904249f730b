"""Tests of the totals at the end of a test run."""

import pathlib
import runpy

ROOT = pathlib.Path(__file__).parents[1]
REPORT = """<testsuite>
<testcase classname="budget" name="reboots"><failure message="4 are out">
Assertion: {'unavailable': 4}
</failure></testcase>
<testcase classname="budget" name="moves"/>
</testsuite>"""


class TestTotals:

    def load_totals(self, tmp_path):
        (tmp_path / "report.xml").write_text(REPORT)
        totals = runpy.run_path(str(ROOT / "scripts" / "totals.py"))
        return totals, totals["read_cases"](tmp_path)

    def test_failed_test_is_described_with_its_report(self, tmp_path):
        totals, cases = self.load_totals(tmp_path)
        (failure,) = totals["failures"](cases)

        assert failure.splitlines()[0] == "budget: reboots"
        assert "4 are out" in failure
        assert "{'unavailable': 4}" in failure

    def test_counts_passed_and_failed_tests(self, tmp_path):
        totals, cases = self.load_totals(tmp_path)
        assert totals["count"](cases) == (1, 1, 0)
