"""Request handlers that the entry adds to the control port."""

from baobabdoor import observability
from baobabdoor import operator_api
from baobabdoor import timeline


class TimelineHandler(operator_api.OperatorHandler):
    """Serves `GET /v1/timeline` to operators."""

    recorder: timeline.EventRecorder

    def get(self) -> None:
        """Returns the recorded events, oldest first."""
        events = [event.to_json() for event in self.recorder.snapshot()]
        self.finish({"events": events})


def make_routes(
    metrics: observability.Metrics,
    recorder: timeline.EventRecorder,
    operator_token: str,
) -> list:
    """Returns the routes of the handlers in this module."""
    return [
        ("/metrics", observability.MetricsHandler, {"metrics": metrics}),
        (
            "/v1/timeline",
            TimelineHandler,
            {"recorder": recorder, "token": operator_token},
        ),
    ]
