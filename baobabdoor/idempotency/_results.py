"""JSON encoding of results, for claim rows and messages between entries."""

import base64
import binascii
from typing import Any

from baobabdoor import base
from baobabdoor import requests

Result = requests.Response | requests.Failure
STEP = "idempotency.stored"


def to_json(result: Result) -> dict[str, Any]:
    """Returns a result as JSON-compatible values."""
    if isinstance(result, requests.Response):
        return {
            "outcome": result.outcome.value,
            "status": result.status,
            "reason": result.reason,
            "headers": [list(pair) for pair in result.headers],
            "body": base64.b64encode(result.body).decode(),
        }
    refusal = result.refusal
    return {
        "outcome": result.outcome.value,
        "reason": refusal.reason.value,
        "step": refusal.step,
        "peer": refusal.peer,
        "detail": refusal.detail,
    }


def from_json(data: Any) -> Result:
    """Returns the decoded result; an unknown outcome if malformed."""
    try:
        outcome = requests.Outcome(data["outcome"])
        if outcome is requests.Outcome.DONE:
            return requests.Response(
                status=int(data["status"]),
                reason=str(data["reason"]),
                headers=[(str(n), str(v)) for n, v in data["headers"]],
                body=base64.b64decode(data["body"], validate=True),
            )
        refusal = base.Refusal(
            base.Reason(data["reason"]),
            str(data["step"]),
            str(data["peer"]),
            str(data["detail"]),
        )
        return requests.Failure(outcome, refusal)
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        detail = f"malformed result: {type(error).__name__}"
        return unknown(base.Reason.UNKNOWN_RESULT, detail)


def unknown(
    reason: base.Reason, detail: str = "", peer: str = "", step: str = STEP
) -> requests.Failure:
    """Returns a failure of a request that may have run."""
    refusal = base.Refusal(reason, step, peer, detail)
    return requests.Failure(requests.Outcome.UNKNOWN, refusal)


def not_run(
    reason: base.Reason, detail: str = "", peer: str = "", step: str = STEP
) -> requests.Failure:
    """Returns a failure of a request that has certainly not run."""
    refusal = base.Refusal(reason, step, peer, detail)
    return requests.Failure(requests.Outcome.NOT_RUN, refusal)
