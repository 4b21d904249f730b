"""Requests that another entry runs because it has issued their ticket."""

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
from baobabdoor.entry import _work

PATH = "/peer/v1/request"
STEP = "entry.peer"
WAY_BACK_S = 1.0


async def forward(
    control: Any, peer_id: str, work: _work.Work, now_s: float
) -> _work.Result:
    """Sends a request to a peer and returns the result that it gives."""
    left_ms = max(0, int((work.info.deadline_s - now_s) * 1000))
    message = {
        "method": work.method,
        "target": work.target,
        "headers": list(work.headers.get_all()),
        "left_ms": left_ms,
        "body": base64.b64encode(work.body).decode(),
    }
    answer = await control.post_peer(
        peer_id,
        PATH,
        {"Content-Type": "application/json"},
        json.dumps(message).encode(),
        # The peer answers by the deadline; the rest is for the way back.
        timeout_s=left_ms / 1000.0 + WAY_BACK_S,
    )
    if not isinstance(answer, bytes):
        # The peer may have started the ticket earlier, so even a refusal to
        # connect does not show that the request was not run.
        return _unknown(peer_id, str(answer))
    try:
        return idempotency.from_json(json.loads(answer))
    except ValueError:
        return _unknown(peer_id, "malformed answer")


def _unknown(peer_id: str, detail: str) -> requests.Failure:
    refusal = base.Refusal(base.Reason.PEER_GONE, STEP, peer_id, detail)
    return requests.Failure(requests.Outcome.UNKNOWN, refusal)


class PeerReceiver:
    """Runs requests that peers send because this entry issued their ticket.

    Args:
        make_work: Queues a request; returns a failure if it does not.
        settle: Settles the key of a request whose body is whole.
    """

    def __init__(
        self,
        make_work: Callable[..., _work.Work | requests.Failure],
        settle: Callable[[_work.Work], None],
    ):
        self.make_work = make_work
        self.settle = settle

    async def answer(self, sender: str, incarnation: int, body: bytes) -> bytes:
        """Runs the request of a verified message; returns its result."""
        finished = asyncio.get_running_loop().create_future()

        def finish(result: _work.Result) -> None:
            if not finished.done():
                finished.set_result(result)

        try:
            message = json.loads(body)
            headers = httputil.HTTPHeaders()
            for name, value in message["headers"]:
                headers.add(name, value)
            headers["Baobabdoor-Deadline-Ms"] = str(int(message["left_ms"]))
            content = base64.b64decode(message["body"], validate=True)
            work = self.make_work(
                str(message["method"]), str(message["target"]), headers, finish
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
            work = requests.Failure(requests.Outcome.NOT_RUN, refusal)
        if isinstance(work, requests.Failure):
            finish(work)
        else:
            work.body = content
            self.settle(work)
        return json.dumps(idempotency.to_json(await finished)).encode()
