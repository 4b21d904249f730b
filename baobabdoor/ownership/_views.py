"""Zone views of an entry, and when it may acknowledge them."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from baobabdoor.ownership import _fleet
from baobabdoor.ownership import _rows


@attrs.frozen
class ZoneView:
    """VM rows of a zone that are at least as new as a view version.

    Attributes:
        version: Version of the view.
        rows: VM rows by VM.
    """

    version: int
    rows: Mapping[str, _rows.VmRow]


class ZoneViews:
    """Holds the newest view of each zone and tracks which one is confirmed.

    A view is confirmed when no request is being sent any more to a VM that an
    older view allowed and this view does not.

    Args:
        is_sending: Returns whether a request is being sent to a VM now.
    """

    def __init__(self, is_sending: Callable[[str], bool]):
        self.is_sending = is_sending
        self.held_: dict[str, ZoneView] = {}
        self.confirmed_: dict[str, int] = {}
        self.withdrawn_: dict[str, set[str]] = {}

    def adopt(self, availability_zone: str, view: ZoneView) -> bool:
        """Replaces the held view of a zone by a newer one.

        Returns:
            Whether `view` was newer.
        """
        old = self.held_.get(availability_zone, ZoneView(0, {}))
        if view.version <= old.version:
            return False
        withdrawn = self.withdrawn_.setdefault(availability_zone, set())
        withdrawn.update(
            vm_id
            for vm_id, row in old.rows.items()
            if _is_withdrawn(row, view.rows.get(vm_id))
        )
        self.held_[availability_zone] = view
        return True

    def version(self, availability_zone: str) -> int:
        """Returns the version of the held view; 0 if there is none."""
        return self.held_.get(availability_zone, ZoneView(0, {})).version

    def confirmed(self, availability_zone: str) -> int:
        """Returns the newest confirmed version; 0 if there is none."""
        withdrawn = self.withdrawn_.get(availability_zone, set())
        withdrawn = {vm_id for vm_id in withdrawn if self.is_sending(vm_id)}
        self.withdrawn_[availability_zone] = withdrawn
        if not withdrawn:
            held = self.version(availability_zone)
            self.confirmed_[availability_zone] = held
        return self.confirmed_.get(availability_zone, 0)

    def find(self, vm_id: str) -> tuple[str, _rows.VmRow] | None:
        """Returns the zone and the row of a VM; None if it is unknown."""
        for availability_zone, view in self.held_.items():
            row = view.rows.get(vm_id)
            if row is not None:
                return availability_zone, row
        return None


def _is_withdrawn(old: _rows.VmRow, new: _rows.VmRow | None) -> bool:
    if old.phase is not _fleet.Phase.SERVING:
        return False
    if new is None or new.phase is not _fleet.Phase.SERVING:
        return True
    return new.pool != old.pool
