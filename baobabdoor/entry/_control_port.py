"""Handlers that the entry adds to the control port."""

import hmac

from tornado import web

from baobabdoor import observability
from baobabdoor import timeline


class TimelineHandler(web.RequestHandler):
    """Serves `GET /v1/timeline` to operators."""

    def initialize(self, recorder: timeline.EventRecorder, token: str) -> None:
        """Stores the recorder and the operators' token."""
        self.recorder = recorder
        self.token = token

    def get(self) -> None:
        """Returns the events kept, oldest first."""
        given = self.request.headers.get("Authorization", "")
        expected = f"Bearer {self.token}"
        if not hmac.compare_digest(given.encode(), expected.encode()):
            self.send_error(401)
            return
        events = [event.to_json() for event in self.recorder.snapshot()]
        self.finish({"events": events})


def routes(
    metrics: observability.Metrics,
    recorder: timeline.EventRecorder,
    operator_token: str,
) -> list:
    """Returns the entry's own routes of the control port."""
    return [
        ("/metrics", observability.MetricsHandler, {"metrics": metrics}),
        (
            "/v1/timeline",
            TimelineHandler,
            {"recorder": recorder, "token": operator_token},
        ),
    ]
