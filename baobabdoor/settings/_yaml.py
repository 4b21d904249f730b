"""Parses YAML and records the line of every field."""

from typing import Any

import attrs
import yaml

from baobabdoor.settings import _errors

FieldPath = tuple[str | int, ...]


@attrs.frozen
class Document:
    """A parsed YAML document.

    Attributes:
        value: Value of the document: dictionaries, lists and scalars.
        lines: 1-based line of each field by its path.
    """

    value: Any
    lines: dict[FieldPath, int]

    def line(self, path: FieldPath) -> int:
        """Returns the line of a field or of its nearest known ancestor."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _Constructor:
    """Constructs values from YAML nodes; collects lines and duplicate keys."""

    def __init__(self):
        self.loader = yaml.SafeLoader("")
        self.lines: dict[FieldPath, int] = {}
        self.problems: list[_errors.SettingsProblem] = []

    def construct(self, node: yaml.Node, path: FieldPath) -> Any:
        """Returns the value of a node."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._construct_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.construct(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        return self.loader.construct_object(node)

    def _construct_mapping(
        self, node: yaml.MappingNode, path: FieldPath
    ) -> dict:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            line = key_node.start_mark.line + 1
            if key in result:
                self._report_duplicate((*path, key), line)
            self.lines[(*path, key)] = line
            result[key] = self.construct(value_node, (*path, key))
        return result

    def _report_duplicate(self, path: FieldPath, line: int) -> None:
        problem = _errors.SettingsProblem(
            format_path(path), "the key once", "the key a second time", line
        )
        self.problems.append(problem)


def format_path(path: FieldPath) -> str:
    """Returns the path in dotted notation."""
    return ".".join(str(part) for part in path)


def parse(text: str, source: str) -> Document:
    """Parses a YAML text.

    Args:
        text: The YAML text.
        source: Name of its origin, used in errors.

    Raises:
        SettingsError: The text is not a single YAML mapping or has duplicate
            keys.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        constructor = _Constructor()
        value = constructor.construct(node, ()) if node is not None else None
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        problem = _errors.SettingsProblem(
            "", "well-formed YAML", str(error.problem), line
        )
        raise _errors.SettingsError(source, [problem]) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        found = str(error).splitlines()[0]
        problem = _errors.SettingsProblem("", "well-formed YAML", found, 1)
        raise _errors.SettingsError(source, [problem]) from error
    if not isinstance(value, dict):
        found = "an empty file" if value is None else type(value).__name__
        problem = _errors.SettingsProblem("", "a mapping", found, 1)
        raise _errors.SettingsError(source, [problem])
    if constructor.problems:
        raise _errors.SettingsError(source, constructor.problems)
    return Document(value, constructor.lines)
