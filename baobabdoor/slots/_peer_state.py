"""State that an owner of workers keeps for one peer."""

import attrs


@attrs.frozen
class Grant:
    """Credits granted by one payload.

    Attributes:
        number: Sequence number of the payload.
        counts: Number of credits by worker.
        expires_s: Time on the owner's clock at which they expire.
    """

    number: int
    counts: dict[str, int]
    expires_s: float


@attrs.define
class PeerState:
    """Grants to one peer and the latest report of that peer.

    The owner must honor a grant until the peer has confirmed a later payload or
    the grant has expired, because payloads may be lost or reordered.

    Attributes:
        grants: Grants that the peer may still use, oldest first.
        in_use: Reported requests in progress by worker.
        demand: Reported demand by pool.
        received_number: Sequence number of the latest payload from the peer; -1
            before the first.
        received_s: Time of receipt of that payload.
        view: Digest of the view under which the peer made it.
        view_start_number: Sequence number of the first payload to the peer
            under the present view. Once the peer confirms this or a later
            payload, it knows its credits under this view.
        view_confirmed: Whether the peer has confirmed such a payload.
    """

    grants: list[Grant] = attrs.field(factory=list)
    in_use: dict[str, int] = attrs.field(factory=dict)
    demand: dict[str, int] = attrs.field(factory=dict)
    received_number: int = -1
    received_s: float = float("-inf")
    view: int = -1
    view_start_number: int = 1
    view_confirmed: bool = False

    def change_view(self, last_number: int) -> None:
        """Requires the confirmation of a payload after `last_number`."""
        self.view_start_number = last_number + 1
        self.view_confirmed = False

    def confirm(self, number: int) -> None:
        """Removes the grants that a confirmed payload has replaced."""
        self.view_confirmed = (
            self.view_confirmed or number >= self.view_start_number
        )
        self.grants = [grant for grant in self.grants if grant.number >= number]

    def expire(self, now_s: float, grace_s: float) -> None:
        """Removes the grants that expired at least `grace_s` ago.

        A request that was started under a credit may run beyond the expiry of
        the credit, and the latest report may be older than its start.
        """
        oldest_s = now_s - grace_s
        self.grants = [
            grant for grant in self.grants if grant.expires_s > oldest_s
        ]

    def committed(self, worker_id: str) -> int:
        """Returns how many slots of a worker the peer may be using."""
        granted = [grant.counts.get(worker_id, 0) for grant in self.grants]
        return max(granted, default=0)
