"""Validation of constructor parameters against declared constraints."""

import abc
import numbers
from typing import Any

import attrs


class InvalidParameterError(ValueError):
    """A parameter violates its declared constraint."""


class Constraint(abc.ABC):
    """Condition that a parameter value must satisfy."""

    @abc.abstractmethod
    def accepts(self, value: Any) -> bool:
        """Returns whether `value` satisfies the constraint."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Returns the expected values as text, for error messages."""


@attrs.frozen
class Interval(Constraint):
    """A number in the closed interval [low, high].

    Attributes:
        low: Lower bound, included. Default: no bound.
        high: Upper bound, included. Default: no bound.
        integer: Whether only integers are allowed. Default: False.
    """

    low: float = float("-inf")
    high: float = float("inf")
    integer: bool = False

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is a number inside the interval."""
        number_type = numbers.Integral if self.integer else numbers.Real
        if isinstance(value, bool) or not isinstance(value, number_type):
            return False
        return self.low <= value <= self.high

    def describe(self) -> str:
        """Returns the interval as text."""
        kind = "an integer" if self.integer else "a number"
        return f"{kind} in [{self.low}, {self.high}]"


@attrs.frozen
class OneOf(Constraint):
    """One value of a fixed set.

    Attributes:
        options: The allowed values.
    """

    options: tuple

    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is one of the options."""
        return value in self.options

    def describe(self) -> str:
        """Returns the options as text."""
        return "one of " + ", ".join(repr(option) for option in self.options)


def validate(instance: Any) -> None:
    """Validates the parameters of `instance` against its constraints.

    The class declares them in `PARAMETER_CONSTRAINTS`, a mapping from attribute
    name to `Constraint`.

    Args:
        instance: Object whose class declares constraints.

    Raises:
        InvalidParameterError: A parameter is invalid; names the class, the
            parameter, the expected and the actual value.
    """
    for name, constraint in type(instance).PARAMETER_CONSTRAINTS.items():
        value = getattr(instance, name)
        if not constraint.accepts(value):
            raise InvalidParameterError(
                f"{type(instance).__name__}.{name}: expected"
                f" {constraint.describe()}, found {value!r}"
            )
