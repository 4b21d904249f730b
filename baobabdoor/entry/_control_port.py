"""Request handlers that the entry adds to the control port, and their end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import operator_api
from baobabdoor import requests
from baobabdoor import timeline
from baobabdoor import transport

# Requests of peers have signed replies, which end with the requests themselves.
PEER_PATHS = "/peer/"


class TimelineHandler(operator_api.OperatorHandler):
    """Serves `GET /v1/timeline` to operators."""

    recorder: timeline.EventRecorder

    def get(self) -> None:
        """Returns the recorded events, oldest first."""
        events = [event.to_json() for event in self.recorder.snapshot()]
        self.finish({"events": events})


class InterruptibleHandler:
    """Handles requests until it is told to answer those that are left.

    Args:
        serve: Returns the reply to a request. It is not cancelled, since the
            operation of an operator may have begun.
    """

    def __init__(
        self, serve: Callable[[transport.Request], Awaitable[transport.Reply]]
    ):
        self.serve = serve
        self.interrupted = asyncio.get_running_loop().create_future()

    async def handle(self, request: transport.Request) -> transport.Reply:
        """Returns the reply, or a refusal after an interruption."""
        if request.path.startswith(PEER_PATHS):
            return await self.serve(request)
        if self.interrupted.done():
            return _encode(requests.Outcome.NOT_RUN, self.interrupted.result())
        serving = asyncio.ensure_future(self.serve(request))
        await asyncio.wait(
            (serving, self.interrupted), return_when=asyncio.FIRST_COMPLETED
        )
        if serving.done():
            return serving.result()
        return _encode(requests.Outcome.UNKNOWN, self.interrupted.result())

    def interrupt(self, refusal: base.Refusal) -> None:
        """Answers requests in progress, whose result is unknown, and others."""
        if not self.interrupted.done():
            self.interrupted.set_result(refusal)


def _encode(
    outcome: requests.Outcome, refusal: base.Refusal
) -> transport.Reply:
    failure = requests.Failure(outcome, refusal)
    return transport.Reply(
        failure.status,
        failure.body(),
        f"{requests.OUTCOME_HEADER}: {outcome.value}\r\n",
    )


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
