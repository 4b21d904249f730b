"""Rows of the platform's table that hold configurations."""

from typing import Any

import attrs

CURRENT_KEY = "config/current"
# Value of a change row that makes sure that the change never applies.
ABANDONED = "abandoned"


def change_key(change_id: str) -> str:
    """Returns the key of the row of one change."""
    return f"config/change/{change_id}"


def history_key(generation: int) -> str:
    """Returns the key of a history row; keys sort by generation."""
    return f"config/history/{generation:012d}"


@attrs.frozen
class CurrentRow:
    """The configuration in force.

    Attributes:
        generation: Number of the configuration.
        manifest: Hash of the manifest of its document.
        preset: Name of the preset in force.
        change_id: Change that made it.
        operator: Who made the change.
    """

    generation: int
    manifest: str
    preset: str
    change_id: str
    operator: str

    def to_json(self) -> dict[str, Any]:
        """Returns the stored form."""
        return attrs.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "CurrentRow":
        """Reads the stored form.

        Raises:
            ValueError: The value is not such a row.
        """
        try:
            row = cls(**value)
        except TypeError as error:
            raise ValueError(f"malformed configuration row: {error}") from error
        texts = (row.manifest, row.preset, row.change_id, row.operator)
        if not isinstance(row.generation, int) or not all(
            isinstance(text, str) for text in texts
        ):
            raise ValueError(f"malformed configuration row: {value!r}")
        return row


@attrs.frozen
class HistoryRow:
    """One accepted change.

    Attributes:
        generation: Generation that the change made.
        change_id: Identifier of the change.
        operator: Who made it.
        kind: `apply` or `switch`.
        preset: Preset in force after it.
        manifest: Hash of the manifest after it.
        wall_ms: Wall-clock time in milliseconds.
    """

    generation: int
    change_id: str
    operator: str
    kind: str
    preset: str
    manifest: str
    wall_ms: int

    def to_json(self) -> dict[str, Any]:
        """Returns the stored form."""
        return attrs.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "HistoryRow":
        """Reads the stored form."""
        return cls(**value)
