"""Types of the values in decoded messages."""

import math

# Largest integer in a message: milliseconds since 1970 are far below it, and
# every product of two such integers is a finite `float`.
MAX_INTEGER = 2**53


class MessageError(ValueError):
    """A message that does not conform to the published format."""


def is_integer(value: object) -> bool:
    """Returns whether a value is an integer that arithmetic can use."""
    return (
        isinstance(value, int)
        and not isinstance(value, bool)
        and abs(value) <= MAX_INTEGER
    )


def has_type(value: object, kind: type) -> bool:
    """Returns whether a decoded value has a type; an integer is a `float`.

    Numbers that are not finite or too large for arithmetic have no type.
    """
    if kind in (int, float) and is_integer(value):
        return True
    if kind is float:
        return isinstance(value, float) and math.isfinite(value)
    return kind is not int and isinstance(value, kind)
