"""Authenticates operators, parses JSON bodies and sends refusals."""

import hmac
import json
from typing import Any

from tornado import web

from baobabdoor import base


class OperatorHandler(web.RequestHandler):
    """Base class of the operators' request handlers.

    A route passes the bearer token as `token`, or None on a port that is open
    to callers. Its other arguments become attributes of the handler.
    """

    def initialize(self, token: str | None, **components: Any) -> None:
        """Stores the token and the components that the handler uses."""
        self.token = token
        for name, component in components.items():
            setattr(self, name, component)

    def prepare(self) -> None:
        """Refuses a request without the operators' bearer token."""
        if self.token is None:
            return
        expected = f"Bearer {self.token}".encode()
        found = self.request.headers.get("Authorization", "").encode()
        if not hmac.compare_digest(expected, found):
            self.refuse(401, "operator.authorize", "a valid bearer token")

    def read_json(self) -> dict[str, Any] | None:
        """Returns the parsed body; None if it is invalid and was refused."""
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
        """Sends a refusal with the reason `bad-request`."""
        refusal = base.Refusal(
            base.Reason.BAD_REQUEST, step, detail=f"expected {expected}"
        )
        self.send_refusal(status, refusal)

    def send_refusal(self, status: int, refusal: base.Refusal) -> None:
        """Sends a refusal as the response."""
        self.set_status(status)
        self.finish({"refusal": refusal.to_json()})
