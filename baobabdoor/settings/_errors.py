"""Errors that report the file, line and field of an invalid setting."""

import attrs


@attrs.frozen
class SettingsProblem:
    """One problem in a settings file.

    Attributes:
        field: Dotted path of the field; empty for the whole file.
        expected: Description of the expected value.
        found: Description of the actual value.
        line: 1-based line in the file; 0 if unknown.
    """

    field: str
    expected: str
    found: str
    line: int = 0

    def __str__(self) -> str:
        location = self.field or "document"
        return f"{location}: expected {self.expected}, found {self.found}"


class SettingsError(Exception):
    """A settings file is invalid; none of its settings is applied.

    Attributes:
        source: File name, or another name of the origin of the text.
        problems: All problems in the order of their lines.
    """

    def __init__(self, source: str, problems: list[SettingsProblem]):
        self.source = source
        self.problems = sorted(problems, key=lambda problem: problem.line)
        super().__init__("\n".join(self.describe()))

    def describe(self) -> list[str]:
        """Returns one line per problem: `file:line: field: expected, found`."""
        return [
            f"{self.source}:{problem.line}: {problem}"
            for problem in self.problems
        ]


class FieldError(ValueError):
    """The value of a field of a settings class is invalid.

    Attributes:
        field: Name of the field.
        expected: Description of the expected value.
        found: `repr` of the actual value.
    """

    def __init__(self, field: str, expected: str, found: object):
        super().__init__(f"{field}: expected {expected}, found {found!r}")
        self.field = field
        self.expected = expected
        self.found = repr(found)
