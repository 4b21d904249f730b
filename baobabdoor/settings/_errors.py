"""Errors that name the file, line and field of a bad setting."""

import attrs


@attrs.frozen
class SettingsProblem:
    """One thing wrong in a settings file.

    Attributes:
        field: Dotted path of the field; empty for the whole file.
        expected: What the field should hold.
        found: What it holds.
        line: Line in the file, from 1; 0 if unknown.
    """

    field: str
    expected: str
    found: str
    line: int = 0

    def __str__(self) -> str:
        place = self.field or "document"
        return f"{place}: expected {self.expected}, found {self.found}"


class SettingsError(Exception):
    """A settings file has problems; nothing of it is used.

    Attributes:
        source: File name, or another name of the text's origin.
        problems: All problems found, in the order of the file.
    """

    def __init__(self, source: str, problems: list[SettingsProblem]):
        self.source = source
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(self.describe()))

    def describe(self) -> list[str]:
        """Returns one line a problem: `file:line: field: expected, found`."""
        return [
            f"{self.source}:{problem.line}: {problem}"
            for problem in self.problems
        ]


class FieldError(ValueError):
    """A value of one field of a settings class is not allowed.

    Attributes:
        field: Name of the field.
        expected: What the field should hold.
        found: What it holds.
    """

    def __init__(self, field: str, expected: str, found: object):
        super().__init__(f"{field}: expected {expected}, found {found!r}")
        self.field = field
        self.expected = expected
        self.found = repr(found)
