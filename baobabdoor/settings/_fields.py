"""attrs fields whose validators describe the expected value."""

from collections.abc import Callable
import ipaddress
import re
from typing import Any

import attrs

from baobabdoor.settings import _errors

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_DESCRIPTION = "a name of lower-case letters, digits and hyphens (1 to 63)"


def _validated_field(
    is_valid: Callable[[Any], bool], expected: str, **options: Any
) -> Any:
    def validate(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not is_valid(value):
            # Secret fields have `repr=False`; errors must not show them either.
            found = value if attribute.repr else "a text that is not shown"
            raise _errors.FieldError(attribute.name, expected, found)

    return attrs.field(validator=validate, **options)


def number(
    low: float = 0,
    high: float = float("inf"),
    unit: str = "",
    **options: Any,
) -> Any:
    """Returns a field for a number in [low, high], in the given unit."""
    unit_text = f" of {unit}" if unit else ""
    upper_bound_text = "" if high == float("inf") else f" and at most {high:g}"
    expected = f"a number{unit_text}, at least {low:g}{upper_bound_text}"
    return _validated_field(
        lambda value: low <= value <= high, expected, **options
    )


def name(**options: Any) -> Any:
    """Returns a field for the name of a zone, pool, preset or process."""
    return _validated_field(
        lambda value: bool(NAME_PATTERN.fullmatch(value)),
        NAME_DESCRIPTION,
        **options,
    )


def mapping_by_name(**options: Any) -> Any:
    """Returns a field for a mapping with names as keys."""
    return _validated_field(
        lambda value: all(NAME_PATTERN.fullmatch(key) for key in value),
        f"keys that are each {NAME_DESCRIPTION}",
        **options,
    )


def one_of(*allowed: str, **options: Any) -> Any:
    """Returns a field for one of the allowed strings."""
    expected = "one of " + ", ".join(allowed)
    return _validated_field(lambda value: value in allowed, expected, **options)


def ip_address(**options: Any) -> Any:
    """Returns a field for an IP address."""
    return _validated_field(_is_ip_address, "an IP number", **options)


def string(min_length: int, expected: str, **options: Any) -> Any:
    """Returns a field for a string of at least `min_length` characters."""
    return _validated_field(
        lambda value: len(value) >= min_length, expected, **options
    )


def _is_ip_address(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True
