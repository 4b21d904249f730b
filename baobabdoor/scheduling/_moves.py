"""Moves of machines between pools."""

import enum

import attrs


class MovePhase(enum.Enum):
    """Phase of a move."""

    ORDERED = "ordered"
    ACCEPTED = "accepted"


@attrs.define(eq=False)
class Move:
    """A move of a machine to another pool.

    Attributes:
        machine: Name of the machine.
        pool: Destination pool.
        worker_id: Worker on the machine before the move; empty for none.
        since_s: Time of the order.
        phase: Phase of the move.
    """

    machine: str
    pool: str
    worker_id: str
    since_s: float
    phase: MovePhase = MovePhase.ORDERED
