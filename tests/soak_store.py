"""Row store of the simulated platform of soak tests."""

import bisect
import json

from baobabdoor import platform
from baobabdoor.standin import _row_store


class Store(_row_store.MemoryRowStore):
    """Row store that also tracks removed rows for feeds."""

    def __init__(self):
        super().__init__()
        self.removed_versions: dict[tuple[str, str, str], int] = {}
        self.history_start = 0
        # Sorted keys of each part of a table: queues may keep many jobs.
        self.keys: dict[tuple[str, str], list[str]] = {}
        # Version of the last change of each table.
        self.table_versions: dict[str, int] = {}

    def _apply(self, puts, removes, expected):
        result = super()._apply(puts, removes, expected)
        if isinstance(result, platform.Commit):
            for row in [*puts, *removes]:
                self.table_versions[row.table] = self.version
            for row in puts:
                self.removed_versions.pop((row.table, row.part, row.key), None)
                self._index(row, exists=True)
            for row in removes:
                self._index(row, exists=False)
                self.removed_versions[row.table, row.part, row.key] = (
                    self.version
                )
        return result

    def _index(self, row: platform.StoredRow, exists: bool) -> None:
        keys = self.keys.setdefault((row.table, row.part), [])
        place = bisect.bisect_left(keys, row.key)
        found = keys[place : place + 1] == [row.key]
        if exists and not found:
            keys.insert(place, row.key)
        elif found and not exists:
            del keys[place]

    def write(self, table: str, key: str, content: dict) -> None:
        """Writes a row on behalf of the operator or a worker."""
        self.write_bytes(table, key, json.dumps(content).encode())

    def write_bytes(self, table: str, key: str, value: bytes) -> None:
        """Writes a row that may be unreadable."""
        self._apply([platform.StoredRow(table, "", key, value)], [], [])

    def remove(self, table: str, key: str) -> None:
        """Removes a row."""
        self._apply([], [platform.StoredRow(table, "", key)], [])

    async def read(self, table, part="", start="", timeout_s=1.0, limit=500):
        """Returns a page of the rows of a part, starting at a key."""
        del timeout_s
        keys = self.keys.get((table, part), [])
        first = bisect.bisect_left(keys, start)
        # Tests may have removed rows.
        rows = tuple(
            row
            for key in keys[first : first + limit]
            if (row := self.rows.get((table, part, key)))
        )
        more = len(keys) > first + limit
        return platform.RowSet(rows, self.version, self.time_ms, more)

    def changes(self, table: str, after: int) -> list[platform.StoredRow]:
        """Returns the rows of a table changed after a version, in order."""
        # Waiting feeds ask often.
        if self.table_versions.get(table, 0) <= after:
            return []
        rows = [
            row
            for (name, part), keys in self.keys.items()
            if name == table
            for key in keys
            if (row := self.rows.get((table, part, key)))
            and row.version > after
        ]
        rows += [
            platform.StoredRow(*key, version=version, removed=True)
            for key, version in self.removed_versions.items()
            if key[0] == table and version > after
        ]
        return sorted(rows, key=lambda row: row.version)
