"""Changes that operators ask for, and their results."""

import enum
import functools
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor import settings
from baobabdoor.configuration import _rows


class ChangeKind(enum.Enum):
    """What a change does."""

    APPLY = "apply"
    SWITCH = "switch"


@attrs.frozen
class Change:
    """A change that an operator asks for.

    Attributes:
        change_id: Chosen by the operator's command; never used twice.
        operator: Who asks.
        kind: What the change does.
        deployment: New settings; only for `APPLY`.
        preset: New preset; only for `SWITCH`.
        expected_generation: Generation that the operator has seen; the change
            is refused if another one is in force. None: the one in force.
        repeated: Whether the change may have been submitted before.
    """

    change_id: str
    operator: str
    kind: ChangeKind
    deployment: settings.Deployment | None = None
    preset: str = ""
    expected_generation: int | None = None
    repeated: bool = False


@attrs.frozen
class Applied:
    """The change is in force.

    Attributes:
        generation: Generation that it made.
    """

    generation: int


@attrs.frozen
class Superseded:
    """The change was in force and a later one has replaced it.

    Attributes:
        generation: Generation that it made.
        current: The configuration in force now.
    """

    generation: int
    current: _rows.CurrentRow


@attrs.frozen
class NotApplied:
    """The change was not applied and never will be.

    Attributes:
        refusal: Why.
        winner: The configuration that won, if another operator was faster.
    """

    refusal: base.Refusal
    winner: _rows.CurrentRow | None = None


@attrs.frozen
class OutcomeUnknown:
    """The change may have been applied; ask again with its identifier.

    Attributes:
        refusal: What went wrong.
    """

    refusal: base.Refusal


ChangeResult = Applied | Superseded | NotApplied | OutcomeUnknown


@functools.singledispatch
def result_to_json(result: ChangeResult) -> dict[str, Any]:
    """Returns the form of a result that operators see."""
    raise TypeError(f"not a change result: {result!r}")


@result_to_json.register
def _(result: Applied) -> dict[str, Any]:
    return {"result": "applied", "generation": result.generation}


@result_to_json.register
def _(result: Superseded) -> dict[str, Any]:
    return {
        "result": "superseded",
        "generation": result.generation,
        "current": result.current.to_json(),
    }


@result_to_json.register
def _(result: NotApplied) -> dict[str, Any]:
    winner = result.winner.to_json() if result.winner else None
    return {
        "result": "not-applied",
        "refusal": result.refusal.to_json(),
        "winner": winner,
    }


@result_to_json.register
def _(result: OutcomeUnknown) -> dict[str, Any]:
    return {
        "result": "unknown",
        "refusal": result.refusal.to_json(),
    }
