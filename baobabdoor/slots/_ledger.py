"""What the owner of a worker has promised to one peer."""

import attrs


@attrs.frozen
class Promise:
    """Credits that one payload granted.

    Attributes:
        number: Number of the payload.
        counts: Credits by worker.
        expires_s: Time on the owner's clock at which they have expired.
    """

    number: int
    counts: dict[str, int]
    expires_s: float


@attrs.define
class Ledger:
    """Promises to one peer and what the peer last reported.

    A promise binds the owner until the peer has confirmed a later payload or
    the promise has expired, because payloads are lost and overtake each other.

    Attributes:
        promises: Promises that may still be used, oldest first.
        in_use: Reported requests in progress by worker.
        wanted: Reported demand by pool.
        heard_number: Number of the latest payload; -1 before the first.
        heard_s: Time of its receipt.
        view: Digest of the view under which it was made.
        settled_from: Number from which on a confirmed payload shows that the
            peer knows its credits under the present view.
        settled: Whether the peer has confirmed such a payload.
    """

    promises: list[Promise] = attrs.field(factory=list)
    in_use: dict[str, int] = attrs.field(factory=dict)
    wanted: dict[str, int] = attrs.field(factory=dict)
    heard_number: int = -1
    heard_s: float = float("-inf")
    view: int = -1
    settled_from: int = 1
    settled: bool = False

    def change_view(self, last_number: int) -> None:
        """Awaits the confirmation of a payload after `last_number`."""
        self.settled_from = last_number + 1
        self.settled = False

    def confirm(self, number: int) -> None:
        """Drops the promises that a confirmed payload has replaced."""
        self.settled = self.settled or number >= self.settled_from
        self.promises = [
            promise for promise in self.promises if promise.number >= number
        ]

    def expire(self, now_s: float, run_out_s: float) -> None:
        """Drops the promises that expired at least `run_out_s` ago.

        A request that was started under a credit runs on after the credit has
        expired, and the last report may be older than its start.
        """
        oldest_s = now_s - run_out_s
        self.promises = [
            promise for promise in self.promises if promise.expires_s > oldest_s
        ]

    def committed(self, worker_id: str) -> int:
        """Returns how many slots the peer may be using."""
        promised = [
            promise.counts.get(worker_id, 0) for promise in self.promises
        ]
        return max(promised, default=0)
