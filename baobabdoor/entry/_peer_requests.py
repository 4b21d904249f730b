"""Forwards requests to the entry that issued their ticket."""

import asyncio
import base64
import binascii
from collections.abc import Callable
import json
from typing import Any

from tornado import httputil

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import requests
from baobabdoor.entry import _pending_request

PATH = "/peer/v1/request"
STEP = "entry.peer"
RETURN_MARGIN_S = 1.0


async def forward(
    control: Any,
    peer_id: str,
    request: _pending_request.PendingRequest,
    now_s: float,
) -> _pending_request.Result:
    """Sends a request to a peer and returns the result."""
    remaining_ms = max(0, int((request.info.deadline_s - now_s) * 1000))
    message = {
        "method": request.method,
        "target": request.target,
        "headers": list(request.headers.get_all()),
        "left_ms": remaining_ms,
        "body": base64.b64encode(request.body).decode(),
    }
    response = await control.post_peer(
        peer_id,
        PATH,
        {"Content-Type": "application/json"},
        json.dumps(message).encode(),
        # The peer responds by the deadline; the margin covers the return path.
        timeout_s=remaining_ms / 1000.0 + RETURN_MARGIN_S,
    )
    if not isinstance(response, bytes):
        # An earlier request with the ticket may have run at the peer, so even
        # a failure to connect does not prove that the request was not run.
        return _unknown_result(peer_id, str(response))
    try:
        return idempotency.from_json(json.loads(response))
    except ValueError:
        return _unknown_result(peer_id, "malformed answer")


def _unknown_result(peer_id: str, detail: str) -> requests.Failure:
    refusal = base.Refusal(base.Reason.PEER_GONE, STEP, peer_id, detail)
    return requests.Failure(requests.Outcome.UNKNOWN, refusal)


class PeerRequestHandler:
    """Runs requests from peers whose ticket was issued by this entry.

    Args:
        queue_request: Queues a request, or returns why it is refused.
        resolve_key: Resolves the key of a request whose body is complete.
    """

    def __init__(
        self,
        queue_request: Callable[
            ..., _pending_request.PendingRequest | requests.Failure
        ],
        resolve_key: Callable[[_pending_request.PendingRequest], None],
    ):
        self.queue_request = queue_request
        self.resolve_key = resolve_key

    async def handle(self, sender: str, incarnation: int, body: bytes) -> bytes:
        """Runs the request in a verified message and returns its result."""
        result_future = asyncio.get_running_loop().create_future()

        def on_result(result: _pending_request.Result) -> None:
            if not result_future.done():
                result_future.set_result(result)

        try:
            message = json.loads(body)
            headers = httputil.HTTPHeaders()
            for name, value in message["headers"]:
                headers.add(name, value)
            headers["Baobabdoor-Deadline-Ms"] = str(int(message["left_ms"]))
            request_body = base64.b64decode(message["body"], validate=True)
            request = self.queue_request(
                str(message["method"]),
                str(message["target"]),
                headers,
                on_result,
            )
        except (
            KeyError,
            TypeError,
            ValueError,
            binascii.Error,
            httputil.HTTPInputError,
        ) as error:
            refusal = base.Refusal(
                base.Reason.BAD_REQUEST, STEP, detail=type(error).__name__
            )
            request = requests.Failure(requests.Outcome.NOT_RUN, refusal)
        if isinstance(request, requests.Failure):
            on_result(request)
        else:
            request.body = request_body
            self.resolve_key(request)
        return json.dumps(idempotency.to_json(await result_future)).encode()
