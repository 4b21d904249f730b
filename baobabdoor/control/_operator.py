"""Operators' HTTP interface to entries, pools and VMs."""

from collections.abc import Callable
import hmac
from typing import Any

from tornado import web

from baobabdoor import base
from baobabdoor.control import _wire


class ReportHandler(web.RequestHandler):
    """Sends a JSON report to an operator with the bearer token."""

    def initialize(
        self, token: str, report: Callable[[], dict[str, Any]]
    ) -> None:
        """Stores the token and the function that makes the report."""
        self.token = token
        self.report = report

    def get(self) -> None:
        """Sends the report."""
        expected = f"Bearer {self.token}".encode()
        found = self.request.headers.get("Authorization", "").encode()
        if hmac.compare_digest(expected, found):
            self.finish(self.report())
            return
        refusal = base.Refusal(
            base.Reason.BAD_REQUEST,
            "operator.authorize",
            detail="expected a valid bearer token",
        )
        self.set_status(401)
        self.finish({"refusal": _wire.refusal_to_json(refusal)})
