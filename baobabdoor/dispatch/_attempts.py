"""Attempts of followers' requests that a leader has settled as never run."""

import collections
from collections.abc import Iterable

import attrs

from baobabdoor import platform
from baobabdoor.dispatch import _outcomes

# How long an attempt is remembered, in seconds: longer than the deadlines of
# typical requests, within which a follower asks for it.
KEPT_S = 10.0
# Maximum number of attempts that are remembered: those of 800 refusals a second
# for `KEPT_S`, in some 2 MB.
MAX_KEPT = 8192
# Maximum earlier attempts that one request may ask for.
MAX_ASKED = 64
# Kinds of outcomes that promise that an attempt had no effect.
SETTLED_KINDS = frozenset(
    [
        "forbidden",
        "invalid",
        "no-queue",
        "not-holder",
        "refused",
        "rejected",
        "unauthenticated",
        "unavailable",
        "uncertain",
    ]
)


class SettledAttempts:
    """Remembers attempts that had no effect and never will have one.

    An attempt is sent at most once, so that one which is settled cannot run
    later. One that the leader has not handled is never listed: it may still be
    under way on a connection.

    Example:
        >>> attempts = SettledAttempts()
        >>> message = {"attempt": "a1"}
        >>> attempts.observe(message, _outcomes.Outcome("refused"))
        >>> attempts.among(["a0", "a1"])
        ['a1']
    """

    def __init__(self):
        # Times of settlement, the earliest first.
        self.settled_s_: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def observe(self, message: dict, outcome: _outcomes.Outcome) -> None:
        """Observes the outcome of a follower's request."""
        # Requests of older daemons have none.
        attempt = message.get("attempt")
        if not attempt or outcome.kind not in SETTLED_KINDS:
            return
        now_s = platform.boot_time_s()
        self.settled_s_[attempt] = now_s
        while (
            len(self.settled_s_) > MAX_KEPT
            or next(iter(self.settled_s_.values())) < now_s - KEPT_S
        ):
            self.settled_s_.popitem(last=False)

    def among(self, attempts: Iterable[str]) -> list[str]:
        """Returns those of some attempts that are settled."""
        return [name for name in attempts if name in self.settled_s_]

    def answer(
        self, message: dict, outcome: _outcomes.Outcome
    ) -> _outcomes.Outcome:
        """Returns an outcome with the settled ones of earlier attempts."""
        self.observe(message, outcome)
        settled = self.among(message.get("earlier", ())[:MAX_ASKED])
        return attrs.evolve(outcome, settled=settled) if settled else outcome
