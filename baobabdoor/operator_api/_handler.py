"""Checks operators' tokens, reads JSON bodies and sends refusals."""

import hmac
import json
from typing import Any

from tornado import web

from baobabdoor import base


class OperatorHandler(web.RequestHandler):
    """Base of the operators' handlers.

    Routes give the bearer token as `token`, or None where the port is open to
    callers, and further parts that become attributes of the handler.
    """

    def initialize(self, token: str | None, **parts: Any) -> None:
        """Stores the token and the parts that the handler serves."""
        self.token = token
        for name, part in parts.items():
            setattr(self, name, part)

    def prepare(self) -> None:
        """Refuses a request without the operator's token."""
        if self.token is None:
            return
        expected = f"Bearer {self.token}".encode()
        found = self.request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(expected, found):
            self.refuse(401, "operator.authorize", "a valid bearer token")

    def read_json(self) -> dict[str, Any] | None:
        """Returns the body; None after a refusal has been sent."""
        try:
            body = json.loads(self.request.body)
        except (ValueError, RecursionError) as error:
            self.refuse(400, "operator.parse", f"a JSON object: {error}")
            return None
        if not isinstance(body, dict):
            self.refuse(400, "operator.parse", "a JSON object")
            return None
        return body

    def refuse(self, status: int, step: str, expected: str) -> None:
        """Ends the request because of bad input."""
        refusal = base.Refusal(
            base.Reason.BAD_REQUEST, step, detail=f"expected {expected}"
        )
        self.send_refusal(status, refusal)

    def send_refusal(self, status: int, refusal: base.Refusal) -> None:
        """Ends the request with a refusal."""
        self.set_status(status)
        self.finish({"refusal": refusal.to_json()})
