"""The shared validation step for parameters stored by constructors."""

import abc
import numbers
from typing import Any

import attrs


class InvalidParameterError(ValueError):
    """A parameter does not meet its declared constraint."""


class Constraint(abc.ABC):
    """What a parameter value must satisfy."""

    @abc.abstractmethod
    def accepts(self, value: Any) -> bool:
        """Returns whether `value` is allowed."""

    @abc.abstractmethod
    def describe(self) -> str:
        """Returns what is expected, for error messages."""


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
        kind = numbers.Integral if self.integer else numbers.Real
        if isinstance(value, bool) or not isinstance(value, kind):
            return False
        return self.low <= value <= self.high

    def describe(self) -> str:
        """Returns the interval as text."""
        kind = "an integer" if self.integer else "a number"
        return f"{kind} in [{self.low}, {self.high}]"


@attrs.frozen
class OneOf(Constraint):
    """One value out of a fixed set.

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
    """Checks the parameters of `instance` against its declared constraints.

    The class declares them in `PARAMETER_CONSTRAINTS`, a mapping from attribute
    name to `Constraint`.

    Args:
        instance: Any object whose class declares constraints.

    Raises:
        InvalidParameterError: A parameter is not allowed; names the class, the
            parameter, what was expected and what was found.
    """
    for name, constraint in type(instance).PARAMETER_CONSTRAINTS.items():
        value = getattr(instance, name)
        if not constraint.accepts(value):
            raise InvalidParameterError(
                f"{type(instance).__name__}.{name}: expected"
                f" {constraint.describe()}, found {value!r}"
            )
