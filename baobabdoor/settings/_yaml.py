"""Reads YAML into plain values and remembers the line of every field."""

from typing import Any

import attrs
import yaml

from baobabdoor.settings import _errors

Path = tuple[str | int, ...]


@attrs.frozen
class Document:
    """A parsed YAML text.

    Attributes:
        value: Plain value of the whole text.
        lines: Line, from 1, of each field by its path.
    """

    value: Any
    lines: dict[Path, int]

    def line(self, path: Path) -> int:
        """Returns the line of a field or of its nearest parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


class _Builder:
    """Walks YAML nodes and collects lines and duplicate keys."""

    def __init__(self):
        self.loader = yaml.SafeLoader("")
        self.lines: dict[Path, int] = {}
        self.problems: list[_errors.SettingsProblem] = []

    def build(self, node: yaml.Node, path: Path) -> Any:
        """Returns the plain value of a node."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if isinstance(node, yaml.MappingNode):
            return self._mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self.build(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        return self.loader.construct_object(node)

    def _mapping(self, node: yaml.MappingNode, path: Path) -> dict:
        result: dict[str, Any] = {}
        for key_node, value_node in node.value:
            key = str(key_node.value)
            line = key_node.start_mark.line + 1
            if key in result:
                self._report_duplicate((*path, key), line)
            self.lines[(*path, key)] = line
            result[key] = self.build(value_node, (*path, key))
        return result

    def _report_duplicate(self, path: Path, line: int) -> None:
        problem = _errors.SettingsProblem(
            field_name(path), "the key once", "the key a second time", line
        )
        self.problems.append(problem)


def field_name(path: Path) -> str:
    """Returns the dotted form of a path."""
    return ".".join(str(part) for part in path)


def parse(text: str, source: str) -> Document:
    """Parses a YAML text.

    Args:
        text: The YAML text.
        source: Name of its origin for errors.

    Raises:
        SettingsError: The text is not one YAML mapping, or repeats a key.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
        builder = _Builder()
        value = builder.build(node, ()) if node is not None else None
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
    if builder.problems:
        raise _errors.SettingsError(source, builder.problems)
    return Document(value, builder.lines)
