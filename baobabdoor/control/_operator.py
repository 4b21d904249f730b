"""Operators' HTTP interface to entries, pools and VMs."""

from collections.abc import Callable
from typing import Any

from baobabdoor import operator_api


class ReportHandler(operator_api.OperatorHandler):
    """Sends a JSON report to an operator."""

    report: Callable[[], dict[str, Any]]

    def get(self) -> None:
        """Sends the report."""
        self.finish(self.report())
