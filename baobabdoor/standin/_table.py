"""Table of versioned rows with atomic conditional transactions."""

import bisect
from collections.abc import Sequence
import json

import attrs

from baobabdoor import base
from baobabdoor import fleet_api


@attrs.define
class _StoredRow:
    version: int = 0
    # Encoded as JSON, so that callers share no mutable value with the table.
    # None for a deleted row, which is kept for its version.
    content: str | None = None


class Table:
    """Stores rows in memory; a deleted row keeps its version.

    Attributes:
        rows_: Rows by key, including deleted rows.
        keys_: Sorted keys of these rows, for scans.
    """

    def __init__(self):
        self.rows_: dict[str, _StoredRow] = {}
        self.keys_: list[str] = []

    def read(self, keys: Sequence[str]) -> dict[str, fleet_api.Row]:
        """Returns the rows of all `keys`, including absent ones."""
        return {key: self._row(key) for key in keys}

    def scan(self, prefix: str) -> list[fleet_api.Row]:
        """Returns the existing rows whose key starts with `prefix`, sorted."""
        found = []
        for index in range(
            bisect.bisect_left(self.keys_, prefix), len(self.keys_)
        ):
            key = self.keys_[index]
            if not key.startswith(prefix):
                break
            if self.rows_[key].content is not None:
                found.append(self._row(key))
        return found

    def transact(
        self,
        conditions: Sequence[fleet_api.Condition],
        writes: Sequence[fleet_api.Write],
    ) -> fleet_api.Committed | fleet_api.Conflict | base.Refusal:
        """Applies all writes if all conditions hold, or none."""
        keys = [write.key for write in writes]
        if len(set(keys)) != len(keys):
            return base.Refusal(
                base.Reason.BAD_REQUEST,
                "platform.transact",
                detail="a key is written twice",
            )
        for condition in conditions:
            row = self._row(condition.key)
            if row.version != condition.version:
                return fleet_api.Conflict(row)
        contents = [_encode(write) for write in writes]
        versions = {}
        for key, content in zip(keys, contents, strict=True):
            versions[key] = self._store(key, content)
        return fleet_api.Committed(versions)

    def _row(self, key: str) -> fleet_api.Row:
        stored = self.rows_.get(key)
        if stored is None:
            return fleet_api.Row(key, 0, None)
        value = None if stored.content is None else json.loads(stored.content)
        return fleet_api.Row(key, stored.version, value)

    def _store(self, key: str, content: str | None) -> int:
        stored = self.rows_.get(key)
        if stored is None:
            stored = self.rows_[key] = _StoredRow()
            bisect.insort(self.keys_, key)
        stored.version += 1
        stored.content = content
        return stored.version


def _encode(write: fleet_api.Write) -> str | None:
    if write.value is None:
        return None
    return json.dumps(write.value, separators=(",", ":"))
