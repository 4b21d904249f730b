"""Static split: each entry has the same part of each worker."""

from baobabdoor.slots import _base


class StaticSplit(_base.EntrySlots):
    """Divides the slots of each worker evenly over the zone's entries.

    The remainder goes to consecutive entries, starting at another one for each
    worker, so that it is spread evenly as well.

    Args:
        entry_id: Identifier of the own entry.
    """

    def view_changed(self) -> None:
        """Computes the own part of each worker."""
        count = len(self.entries_)
        own = self.entries_.index(self.entry_id)
        self.parts_ = {}
        start = 0
        for worker in self.workers_.values():
            part, remainder = divmod(worker.slots, count)
            position = (own - start) % count
            self.parts_[worker.worker_id] = part + (position < remainder)
            start = (start + remainder) % count

    def usable(self, worker_id: str, now_s: float) -> int:
        """Returns the own part of the worker."""
        return self.parts_[worker_id]
