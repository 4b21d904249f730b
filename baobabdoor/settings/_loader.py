"""Builds validated settings objects from YAML files, YAML text and values."""

import pathlib
from typing import Any

import attrs

from baobabdoor.settings import _checks
from baobabdoor.settings import _deployment
from baobabdoor.settings import _entry
from baobabdoor.settings import _errors
from baobabdoor.settings import _structure
from baobabdoor.settings import _yaml


def load_deployment(path: str) -> _deployment.Deployment:
    """Loads and validates a deployment file.

    Raises:
        SettingsError: The file is unreadable or invalid.
    """
    return parse_deployment(_read_file(path), path)


def load_entry(path: str) -> _entry.EntrySettings:
    """Loads and validates the settings file of an entry process.

    Raises:
        SettingsError: The file is unreadable or invalid.
    """
    return parse_entry(_read_file(path), path)


def parse_deployment(text: str, source: str) -> _deployment.Deployment:
    """Parses and validates the YAML text of a deployment.

    Raises:
        SettingsError: The text is invalid.
    """
    document = _yaml.parse(text, source)
    return _build_deployment(document, source)


def structure_deployment(
    value: dict[str, Any], source: str
) -> _deployment.Deployment:
    """Builds and validates a deployment from unstructured values.

    Raises:
        SettingsError: The values are invalid; line numbers are unknown.
    """
    return _build_deployment(_yaml.Document(value, {}), source)


def parse_entry(text: str, source: str) -> _entry.EntrySettings:
    """Parses and validates the YAML text of an entry's settings.

    Raises:
        SettingsError: The text is invalid.
    """
    document = _yaml.parse(text, source)
    return _structure.structure(document, _entry.EntrySettings, source)


def unstructure(settings: Any) -> dict[str, Any]:
    """Returns a settings object as dictionaries, lists and scalars."""
    return _structure.CONVERTER.unstructure(settings)


def _build_deployment(
    document: _yaml.Document, source: str
) -> _deployment.Deployment:
    deployment = _structure.structure(document, _deployment.Deployment, source)
    problems = [
        attrs.evolve(problem, line=document.line(_parse_path(problem.field)))
        for problem in _checks.check_deployment(deployment)
    ]
    if problems:
        raise _errors.SettingsError(source, problems)
    return deployment


def _parse_path(field: str) -> _yaml.FieldPath:
    return tuple(
        int(part) if part.isdigit() else part for part in field.split(".")
    )


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        problem = _errors.SettingsProblem("", "UTF-8 text", str(error), 1)
        raise _errors.SettingsError(path, [problem]) from error
    except OSError as error:
        found = error.strerror or str(error)
        problem = _errors.SettingsProblem("", "a readable file", found)
        raise _errors.SettingsError(path, [problem]) from error
