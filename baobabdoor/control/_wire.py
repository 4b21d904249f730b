"""JSON forms used on the control port."""

from typing import Any

from baobabdoor import base


def refusal_to_json(refusal: base.Refusal) -> dict[str, Any]:
    """Returns the form in which a refusal is sent."""
    return {
        "reason": refusal.reason.value,
        "step": refusal.step,
        "peer": refusal.peer,
        "detail": refusal.detail,
    }
