"""HTTP handler of status reports for operators."""

from collections.abc import Callable
from typing import Any

from baobabdoor import operator_api


class ReportHandler(operator_api.OperatorHandler):
    """Serves a JSON report to operators."""

    report: Callable[[], dict[str, Any]]

    def get(self) -> None:
        """Sends the report."""
        self.finish(self.report())
