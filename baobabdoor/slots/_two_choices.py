"""Slot policy for the power of two choices, with loads reported by peers."""

from typing import Any

import attrs

from baobabdoor.slots import _base

# An older report is not a useful estimate of the peer's present load.
REPORT_TTL_S = 3.0


@attrs.frozen
class Report:
    """Slots of each worker that a peer uses.

    Attributes:
        in_use: Requests in progress by worker.
        received_s: Time of receipt.
    """

    in_use: dict[str, int]
    received_s: float


class TwoChoices(_base.BaseSlotPolicy):
    """Allows an entry to use every slot that its peers did not report as used.

    The code that calls `available` compares two random workers and selects the
    one with more available slots (Mitzenmacher, "The Power of Two Choices in
    Randomized Load Balancing", 2001). Reports are up to a second old, so that
    two entries may use the same slot; only `connection_limit` bounds this.

    Args:
        entry_id: Identifier of this entry.
    """

    def __init__(self, entry_id: str):
        self.reports_: dict[str, Report] = {}
        super().__init__(entry_id)

    def view_changed(self) -> None:
        """Removes the reports of entries that are no longer listed."""
        for peer_id in set(self.reports_) - set(self.entries_):
            del self.reports_[peer_id]

    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns the number of slots that no peer reported as used."""
        used = sum(
            report.in_use.get(worker_id, 0)
            for report in self.reports_.values()
            if now_s - report.received_s <= REPORT_TTL_S
        )
        return max(0, self.workers_[worker_id].slots - used)

    def exchange(self, peer_id: str, now_s: float) -> dict[str, Any]:
        """Reports this entry's requests in progress by worker."""
        counts = [self.in_use_.get(worker, 0) for worker in self.workers_]
        return {"v": self.view_digest_, "u": counts}

    def receive(
        self, peer_id: str, payload: dict[str, Any], now_s: float
    ) -> None:
        """Stores a report that was made under the same view."""
        if payload.get("v") != self.view_digest_:
            return
        counts = _base.read_counts(payload, "u", len(self.workers_))
        if counts:
            in_use = dict(zip(self.workers_, counts, strict=True))
            self.reports_[peer_id] = Report(in_use, now_s)
