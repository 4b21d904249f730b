"""Structures parsed YAML into settings classes and collects all problems."""

from collections.abc import Iterator
import difflib
from typing import Any
from typing import TypeVar

import cattrs
from cattrs import errors as cattrs_errors

from baobabdoor.settings import _errors
from baobabdoor.settings import _yaml

T = TypeVar("T")

_TYPE_DESCRIPTIONS = {
    int: "an integer",
    float: "a number",
    str: "a text",
    bool: "true or false",
}


class _TypeMismatchError(ValueError):
    """A scalar has the wrong type."""

    def __init__(self, expected: str, found: Any):
        super().__init__(expected)
        self.expected = expected
        self.found = repr(found)


def _structure_scalar(value: Any, scalar_type: type) -> Any:
    accepted = (int, float) if scalar_type is float else scalar_type
    is_bool = isinstance(value, bool)
    if not isinstance(value, accepted) or (is_bool and scalar_type is not bool):
        raise _TypeMismatchError(_TYPE_DESCRIPTIONS[scalar_type], value)
    return scalar_type(value)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        forbid_extra_keys=True, detailed_validation=True
    )
    for scalar_type in _TYPE_DESCRIPTIONS:
        converter.register_structure_hook(scalar_type, _structure_scalar)
    return converter


CONVERTER = _make_converter()


def structure(
    document: _yaml.Document, settings_class: type[T], source: str
) -> T:
    """Builds a settings object.

    Args:
        document: Parsed settings.
        settings_class: Class of the object.
        source: Name of the origin, used in errors.

    Raises:
        SettingsError: The document is invalid; lists every problem with its
            line and field.
    """
    try:
        return CONVERTER.structure(document.value, settings_class)
    except Exception as error:  # cattrs propagates any exception of a hook.
        problems = [
            _problem(document, path, leaf)
            for path, leaf in _leaf_errors(error, ())
        ]
        raise _errors.SettingsError(source, problems) from error


def _leaf_errors(
    error: BaseException, path: _yaml.FieldPath
) -> Iterator[tuple[_yaml.FieldPath, BaseException]]:
    """Yields the leaf errors of cattrs' exception groups with their paths."""
    if not isinstance(error, cattrs_errors.BaseValidationError):
        yield path, error
        return
    with_notes, without_notes = error.group_exceptions()
    for child, note in with_notes:
        attribute = getattr(note, "name", None)
        key = attribute if attribute is not None else note.index
        yield from _leaf_errors(child, (*path, key))
    for child in without_notes:
        yield from _leaf_errors(child, path)


def _problem(
    document: _yaml.Document, path: _yaml.FieldPath, error: BaseException
) -> _errors.SettingsProblem:
    if isinstance(error, cattrs_errors.ForbiddenExtraKeysError):
        return _extra_key_problem(document, path, error)
    if isinstance(error, _errors.FieldError):
        path = (*path, error.field)
    name = _yaml.format_path(path)
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
    path: _yaml.FieldPath,
    error: cattrs_errors.ForbiddenExtraKeysError,
) -> _errors.SettingsProblem:
    known_keys = [field.name for field in error.cl.__attrs_attrs__]
    unknown_key = sorted(error.extra_fields)[0]
    close_matches = difflib.get_close_matches(unknown_key, known_keys, 1)
    expected = (
        f"a key like {close_matches[0]}" if close_matches else "a known key"
    )
    key_path = (*path, unknown_key)
    return _errors.SettingsProblem(
        _yaml.format_path(key_path),
        expected,
        f"unknown key {unknown_key}",
        document.line(key_path),
    )


def _value_at(value: Any, path: _yaml.FieldPath) -> Any:
    for part in path:
        try:
            value = value[part]
        except (KeyError, IndexError, TypeError):
            return value
    return value
