"""Faults of the platform's API as seen by one client."""

from typing import Any

import attrs

ALL = -1


def _flag_field() -> Any:
    return attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


def _count_field() -> Any:
    return attrs.field(
        default=0,
        validator=[
            attrs.validators.instance_of(int),
            attrs.validators.ge(ALL),
        ],
    )


def _duration_field(default: float) -> Any:
    return attrs.field(
        default=default,
        validator=[
            attrs.validators.instance_of((int, float)),
            attrs.validators.ge(0),
        ],
    )


@attrs.define
class PlatformFaults:
    """Active faults, which may be changed at any time.

    Attributes:
        down: Every call is refused immediately and has no effect.
        silent: Every call gets no response and has no effect, as in a network
            partition.
        slow_s: Latency of every call in seconds. A change is applied after
            half of it.
        lose_answers: Number of further changes that are applied immediately and
            get no response; -1 for all.
        delay_writes: Number of further changes that are applied after `delay_s`
            and get no response; -1 for all.
        delay_s: Delay of the changes counted by `delay_writes`, in seconds.
        stale_list: The VM list stays as it was last read.
    """

    down: bool = _flag_field()
    silent: bool = _flag_field()
    slow_s: float = _duration_field(0.0)
    lose_answers: int = _count_field()
    delay_writes: int = _count_field()
    delay_s: float = _duration_field(5.0)
    stale_list: bool = _flag_field()

    def consume(self, name: str) -> bool:
        """Returns whether a counted fault affects this call; counts it down."""
        remaining = getattr(self, name)
        if remaining > 0:
            setattr(self, name, remaining - 1)
        return remaining != 0

    def update(self, changes: dict[str, Any]) -> None:
        """Changes some faults, or none if any name or value is invalid.

        Raises:
            TypeError: A name is unknown or a value has the wrong type.
            ValueError: A value is out of range.
        """
        validated = attrs.evolve(self, **changes)
        for name, value in attrs.asdict(validated).items():
            setattr(self, name, value)
