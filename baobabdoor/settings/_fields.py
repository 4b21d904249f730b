"""attrs fields whose validators say what was expected."""

from collections.abc import Callable
import ipaddress
import re
from typing import Any

import attrs

from baobabdoor.settings import _errors

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_TEXT = "a name of lower-case letters, digits and hyphens (1 to 63)"


def _checked(
    accepts: Callable[[Any], bool], expected: str, **options: Any
) -> Any:
    def check(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
        if not accepts(value):
            # Keys and tokens are left out of errors, as they are of `repr`.
            found = value if attribute.repr else "a text that is not shown"
            raise _errors.FieldError(attribute.name, expected, found)

    return attrs.field(validator=check, **options)


def number(
    low: float = 0,
    high: float = float("inf"),
    unit: str = "",
    **options: Any,
) -> Any:
    """Returns a field for a number in [low, high] of the given unit."""
    unit_text = f" of {unit}" if unit else ""
    top = "" if high == float("inf") else f" and at most {high:g}"
    expected = f"a number{unit_text}, at least {low:g}{top}"
    return _checked(lambda value: low <= value <= high, expected, **options)


def name(**options: Any) -> Any:
    """Returns a field for the name of a zone, pool, preset or process."""
    return _checked(
        lambda value: bool(NAME_PATTERN.fullmatch(value)), NAME_TEXT, **options
    )


def named(**options: Any) -> Any:
    """Returns a field for a mapping whose keys are names."""
    return _checked(
        lambda value: all(NAME_PATTERN.fullmatch(key) for key in value),
        f"keys that are each {NAME_TEXT}",
        **options,
    )


def one_of(*allowed: str, **options: Any) -> Any:
    """Returns a field for one of a few words."""
    expected = "one of " + ", ".join(allowed)
    return _checked(lambda value: value in allowed, expected, **options)


def ip_address(**options: Any) -> Any:
    """Returns a field for an IP number."""
    return _checked(_is_ip, "an IP number", **options)


def text(min_length: int, expected: str, **options: Any) -> Any:
    """Returns a field for a text of at least `min_length` characters."""
    return _checked(lambda value: len(value) >= min_length, expected, **options)


def _is_ip(value: str) -> bool:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True
