"""Adds up JUnit reports and prints `N passed, N failed, N skipped`."""

import pathlib
import sys
from xml.etree import ElementTree


def count(report: pathlib.Path) -> tuple[int, int, int]:
    """Returns passed, failed and skipped tests of all reports below a path."""
    passed = failed = skipped = 0
    for path in sorted(report.rglob("*.xml")):
        for case in ElementTree.parse(path).iter("testcase"):
            if (
                case.find("failure") is not None
                or case.find("error") is not None
            ):
                failed += 1
            elif case.find("skipped") is not None:
                skipped += 1
            else:
                passed += 1
    return passed, failed, skipped


def main() -> int:
    """Prints the totals; fails if a test failed or none ran."""
    passed, failed, skipped = count(pathlib.Path(sys.argv[1]))
    suffix = f", {skipped} skipped" if skipped else ""
    print(f"{passed} passed, {failed} failed{suffix}")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
