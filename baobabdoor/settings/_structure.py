"""Turns plain values into settings classes and collects all problems."""

from collections.abc import Iterator
import difflib
from typing import Any
from typing import TypeVar

import cattrs
from cattrs import errors as cattrs_errors

from baobabdoor.settings import _errors
from baobabdoor.settings import _yaml

T = TypeVar("T")

_TYPE_TEXT = {
    int: "an integer",
    float: "a number",
    str: "a text",
    bool: "true or false",
}


class _TypeMismatchError(ValueError):
    """A plain value has the wrong type."""

    def __init__(self, expected: str, found: Any):
        super().__init__(expected)
        self.expected = expected
        self.found = repr(found)


def _structure_scalar(value: Any, kind: type) -> Any:
    accepted = (int, float) if kind is float else kind
    is_bool = isinstance(value, bool)
    if not isinstance(value, accepted) or (is_bool and kind is not bool):
        raise _TypeMismatchError(_TYPE_TEXT[kind], value)
    return kind(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for kind in _TYPE_TEXT:
        converter.register_structure_hook(kind, _structure_scalar)
    return converter


CONVERTER = _make_converter()


def structure(document: _yaml.Document, kind: type[T], source: str) -> T:
    """Builds a settings object.

    Args:
        document: Parsed settings.
        kind: Settings class.
        source: Name of the origin for errors.

    Raises:
        SettingsError: Lists every problem with its line and field.
    """
    try:
        return CONVERTER.structure(document.value, kind)
    except Exception as error:  # cattrs passes on whatever a hook raises.
        problems = [
            _problem(document, path, leaf) for path, leaf in _leaves(error, ())
        ]
        raise _errors.SettingsError(source, problems) from error


def _leaves(
    error: BaseException, path: _yaml.Path
) -> Iterator[tuple[_yaml.Path, BaseException]]:
    """Yields the single errors inside cattrs' nested error groups."""
    if not isinstance(error, cattrs_errors.BaseValidationError):
        yield path, error
        return
    with_notes, without_notes = error.group_exceptions()
    for child, note in with_notes:
        part = getattr(note, "name", None)
        key = part if part is not None else note.index
        yield from _leaves(child, (*path, key))
    for child in without_notes:
        yield from _leaves(child, path)


def _problem(
    document: _yaml.Document, path: _yaml.Path, error: BaseException
) -> _errors.SettingsProblem:
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        return _extra_key_problem(document, path, error)
    if isinstance(error, _errors.FieldError):
        path = (*path, error.field)
    name = _yaml.field_name(path)
    line = document.line(path)
    if isinstance(error, _TypeMismatchError | _errors.FieldError):
        return _errors.SettingsProblem(name, error.expected, error.found, line)
    if isinstance(error, KeyError):
        return _errors.SettingsProblem(name, "a value", "nothing", line)
    found = _value_at(document.value, path)
    return _errors.SettingsProblem(
        name, "a list or mapping of settings", repr(found), line
    )


def _extra_key_problem(
    document: _yaml.Document,
    path: _yaml.Path,
    error: cattrs_errors.ForbiddenExtraKeysError,
) -> _errors.SettingsProblem:
    known = [field.name for field in error.cl.__attrs_attrs__]
    extra = sorted(error.extra_fields)[0]
    close = difflib.get_close_matches(extra, known, 1)
    expected = f"a key like {close[0]}" if close else "a known key"
    extra_path = (*path, extra)
    return _errors.SettingsProblem(
        _yaml.field_name(extra_path),
        expected,
        f"unknown key {extra}",
        document.line(extra_path),
    )


def _value_at(value: Any, path: _yaml.Path) -> Any:
    for part in path:
        try:
            value = value[part]
        except (KeyError, IndexError, TypeError):
            return value
    return value
