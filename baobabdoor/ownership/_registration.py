"""When an entry may take its row, and when its row no longer counts."""

from collections.abc import Mapping

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.ownership import _rows

STEP = "ownership.register"


def check_registration(
    found: _rows.EntryRow | None,
    own: _rows.EntryRow,
    record: fleet_api.VmRecord | None,
) -> base.Refusal | None:
    """Returns why an entry must not write its row, or None.

    The row of another start may be replaced if that process is dead: either
    it had the control address that this process has bound, or the platform
    lists its boot as terminated.

    Args:
        found: Row of the same entry as read; None if absent.
        own: Row to write.
        record: The platform's record of the entry's VM, if listed.
    """
    if found is None:
        return None
    if found.control == own.control or is_terminated(found, record):
        return None
    detail = f"registered with {found.control} and not known to be terminated"
    return base.Refusal(base.Reason.CONFLICT, STEP, found.control, detail)


def is_terminated(
    row: _rows.EntryRow, record: fleet_api.VmRecord | None
) -> bool:
    """Returns whether the platform lists the boot of an entry as terminated."""
    if record is None or not row.boot_id or record.boot_id != row.boot_id:
        return False
    return record.state is fleet_api.VmListState.TERMINATED


class GoneEntries:
    """Decides which terminated entries no longer count.

    A terminated entry may have granted view leases just before its end, so it
    counts until they have expired on every holder.

    Args:
        hold_s: Time for which a grant may be in use, in seconds.
    """

    PARAMETER_CONSTRAINTS = {"hold_s": base.Interval(0)}

    def __init__(self, hold_s: float):
        self.hold_s = hold_s
        self.seen_s_: dict[tuple[str, int], float] | None = None

    def observe(
        self,
        entries: Mapping[str, _rows.EntryRow | None],
        listed: Mapping[str, fleet_api.VmRecord],
        now_s: float,
    ) -> frozenset[str]:
        """Returns the entries that do not count any more."""
        if self.seen_s_ is None:
            base.validate(self)
            self.seen_s_ = {}
        seen_s = {}
        for entry_id, row in entries.items():
            if row is None or not is_terminated(row, listed.get(entry_id)):
                continue
            key = (entry_id, row.incarnation)
            seen_s[key] = self.seen_s_.get(key, now_s)
        self.seen_s_ = seen_s
        return frozenset(
            entry_id
            for (entry_id, _), since_s in seen_s.items()
            if now_s - since_s >= self.hold_s
        )
