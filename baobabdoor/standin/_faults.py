"""Faults of the platform's service as one of its clients sees them."""

from typing import Any

import attrs

ALL = -1


def _switch() -> Any:
    return attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


def _count() -> Any:
    return attrs.field(
        default=0,
        validator=[
            attrs.validators.instance_of(int),
            attrs.validators.ge(ALL),
        ],
    )


def _duration_s(default: float) -> Any:
    return attrs.field(
        default=default,
        validator=[
            attrs.validators.instance_of((int, float)),
            attrs.validators.ge(0),
        ],
    )


@attrs.define
class PlatformFaults:
    """Which faults are switched on; may be changed at any time.

    Attributes:
        down: Every call is refused at once and has no effect.
        silent: Every call gets no answer and has no effect, as in a network
            partition.
        slow_s: Time in seconds that every call takes. A change applies after
            half of it.
        lose_answers: Number of further changes that apply at once and get no
            answer; -1 for all.
        delay_writes: Number of further changes that apply after `delay_s` and
            get no answer; -1 for all.
        delay_s: Delay of such changes in seconds.
        stale_list: The VM list stays as it was last read.
    """

    down: bool = _switch()
    silent: bool = _switch()
    slow_s: float = _duration_s(0.0)
    lose_answers: int = _count()
    delay_writes: int = _count()
    delay_s: float = _duration_s(5.0)
    stale_list: bool = _switch()

    def take(self, name: str) -> bool:
        """Returns whether a counted fault hits this call, and counts it."""
        left = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left != 0

    def update(self, changes: dict[str, Any]) -> None:
        """Changes some switches, or none if any name or value is wrong.

        Raises:
            TypeError: A name is unknown or a value has the wrong type.
            ValueError: A value is out of range.
        """
        checked = attrs.evolve(self, **changes)
        for name, value in attrs.asdict(checked).items():
            setattr(self, name, value)
