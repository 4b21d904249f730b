"""Table rows of the configuration, and their keys."""

from typing import Any

import attrs

CURRENT_KEY = "config/current"
# State of a change row that prevents the change from ever being applied.
ABANDONED = "abandoned"


def change_key(change_id: str) -> str:
    """Returns the key of a change row."""
    return f"config/change/{change_id}"


def history_key(generation: int) -> str:
    """Returns the key of a history row; keys sort by generation."""
    return f"config/history/{generation:012d}"


@attrs.frozen
class CurrentRow:
    """The configuration in force.

    Attributes:
        generation: Number of the configuration, from 1.
        manifest: Hash of the manifest of its document.
        preset: Name of the preset in force.
        change_id: Identifier of the change that created it.
        operator: Operator who requested the change.
    """

    generation: int
    manifest: str
    preset: str
    change_id: str
    operator: str

    def to_json(self) -> dict[str, Any]:
        """Returns the row as stored."""
        return attrs.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "CurrentRow":
        """Parses a stored row.

        Raises:
            ValueError: The value is not a valid row.
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
    """An accepted change.

    Attributes:
        generation: Generation that the change created.
        change_id: Identifier of the change.
        operator: Operator who requested it.
        kind: `apply` or `switch`.
        preset: Name of the preset in force after the change.
        manifest: Hash of the manifest after the change.
        wall_ms: Wall-clock time of the commit in milliseconds.
    """

    generation: int
    change_id: str
    operator: str
    kind: str
    preset: str
    manifest: str
    wall_ms: int

    def to_json(self) -> dict[str, Any]:
        """Returns the row as stored."""
        return attrs.asdict(self)

    @classmethod
    def from_json(cls, value: dict[str, Any]) -> "HistoryRow":
        """Parses a stored row."""
        return cls(**value)
