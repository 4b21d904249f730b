"""Static split: each entry has an equal share of each worker."""

from baobabdoor.slots import _base


class StaticSplit(_base.BaseSlotPolicy):
    """Divides the slots of each worker evenly over the zone's entries.

    The remainder goes to consecutive entries, for each worker beginning after
    the last one of the previous worker, so that it is spread evenly as well.

    Args:
        entry_id: Identifier of this entry.
    """

    def view_changed(self) -> None:
        """Computes this entry's share of each worker."""
        count = len(self.entries_)
        own = self.entries_.index(self.entry_id)
        self.shares_ = {}
        start = 0
        for worker in self.workers_.values():
            share, remainder = divmod(worker.slots, count)
            position = (own - start) % count
            self.shares_[worker.worker_id] = share + (position < remainder)
            start = (start + remainder) % count

    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns this entry's share of the worker."""
        return self.shares_[worker_id]
