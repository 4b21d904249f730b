"""Base class of the handlers that inject faults; used in tests only."""

import json
from typing import Any

from tornado import web


class AdminHandler(web.RequestHandler):
    """Reads and returns JSON; invalid input gets status 400."""

    def arguments(self) -> dict[str, Any]:
        """Returns the JSON object in the request body."""
        try:
            value = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise web.HTTPError(400, f"expected JSON: {error}") from error
        if not isinstance(value, dict):
            raise web.HTTPError(400, "expected a JSON object")
        return value

    def respond(self, content: Any) -> None:
        """Finishes the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(content) + "\n")

    def write_error(self, status_code: int, **options: Any) -> None:
        """Sends the error message as JSON."""
        error = options.get("exc_info", (None, None, None))[1]
        if isinstance(error, TypeError | ValueError | KeyError):
            self.set_status(400)
        self.respond({"error": str(error)})

    def log_exception(self, *args: Any) -> None:
        """Logs nothing, because the response contains the error."""
