"""Prints results as tables or as JSON."""

from collections.abc import Sequence
import json
from typing import Any


def print_json(value: Any) -> None:
    """Prints a value as JSON on one line."""
    print(json.dumps(value, ensure_ascii=False, sort_keys=True))


def print_table(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Prints rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [
        max(len(cell) for cell in column) for column in zip(*cells, strict=True)
    ]
    for row in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print("  ".join(padded).rstrip())
