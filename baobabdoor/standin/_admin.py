"""Base of the handlers that switch faults; not part of any product path."""

import json
from typing import Any

from tornado import web


class AdminHandler(web.RequestHandler):
    """Reads and answers JSON; a wrong input is answered with status 400."""

    def arguments(self) -> dict[str, Any]:
        """Returns the members of the JSON object in the body."""
        try:
            plain = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise web.HTTPError(400, f"expected JSON: {error}") from error
        if not isinstance(plain, dict):
            raise web.HTTPError(400, "expected a JSON object")
        return plain

    def answer(self, value: Any) -> None:
        """Finishes with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value) + "\n")

    def write_error(self, status_code: int, **options: Any) -> None:
        """Answers with the text of the error."""
        error = options.get("exc_info", (None, None, None))[1]
        if isinstance(error, TypeError | ValueError | KeyError):
            self.set_status(400)
        self.answer({"error": str(error)})

    def log_exception(self, *args: Any) -> None:
        """Leaves the error to the answer."""
