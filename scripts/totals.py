"""Adds up JUnit reports and prints `N passed, N failed, N skipped`.

Prints each failed test with the start of its report before the totals, so that
the last lines of a run show why it failed.
"""

import pathlib
import sys
from xml.etree import ElementTree

# Maximum number of lines of a report; the first ones name step and failure.
MAX_REPORT_LINES = 12


def read_cases(report: pathlib.Path) -> list[ElementTree.Element]:
    """Returns the test cases of all reports in a directory tree."""
    return [
        case
        for path in sorted(report.rglob("*.xml"))
        for case in ElementTree.parse(path).iter("testcase")
    ]


def failures(cases: list[ElementTree.Element]) -> list[str]:
    """Returns the name and the start of the report of each failed test."""
    return [
        _describe(case, element)
        for case in cases
        for element in (case.find("failure"), case.find("error"))
        if element is not None
    ]


def _describe(case: ElementTree.Element, element: ElementTree.Element) -> str:
    name = f"{case.get('classname', '')}: {case.get('name', '')}"
    text = f"{element.get('message') or ''}\n{element.text or ''}"
    lines = [line for line in text.splitlines() if line.strip()]
    return "\n  ".join([name, *lines[:MAX_REPORT_LINES]])


def count(cases: list[ElementTree.Element]) -> tuple[int, int, int]:
    """Returns how many tests passed, failed and were skipped."""
    passed = failed = skipped = 0
    for case in cases:
        if case.find("failure") is not None or case.find("error") is not None:
            failed += 1
        elif case.find("skipped") is not None:
            skipped += 1
        else:
            passed += 1
    return passed, failed, skipped


def main() -> int:
    """Prints the totals; returns 1 if a test failed or none passed."""
    cases = read_cases(pathlib.Path(sys.argv[1]))
    for failure in failures(cases):
        print(failure)
    passed, failed, skipped = count(cases)
    suffix = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{suffix}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
