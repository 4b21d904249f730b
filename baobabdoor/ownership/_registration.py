"""Rules for registering entries and for ignoring terminated ones."""

from collections.abc import Mapping

from baobabdoor import base
from baobabdoor import fleet_api
from baobabdoor.ownership import _rows

STEP = "ownership.register"


def check_registration(
    existing: _rows.EntryRow | None,
    own: _rows.EntryRow,
    record: fleet_api.VmRecord | None,
) -> base.Refusal | None:
    """Returns a refusal if an entry must not write its row, or None.

    The row of another incarnation may be replaced only if that process has
    ended: either it used the control address that this process has bound, or
    the platform lists its boot as terminated.

    Args:
        existing: Stored row of the entry; None if absent.
        own: Row to write.
        record: The platform's record of the entry's VM; None if not listed.
    """
    if existing is None:
        return None
    if existing.control == own.control or is_terminated(existing, record):
        return None
    detail = (
        f"registered with {existing.control} and not known to be terminated"
    )
    return base.Refusal(base.Reason.CONFLICT, STEP, existing.control, detail)


def is_terminated(
    row: _rows.EntryRow, record: fleet_api.VmRecord | None
) -> bool:
    """Returns whether the platform lists the boot of an entry as terminated."""
    if record is None or not row.boot_id or record.boot_id != row.boot_id:
        return False
    return record.state is fleet_api.VmListState.TERMINATED


class ExpiredEntries:
    """Tracks terminated entries until all view leases they granted expired.

    A terminated entry may have granted a view lease just before its end, so its
    acknowledgement is required until that lease has expired at every holder.

    Args:
        hold_s: Longest time for which a granted lease may be used, in seconds.
    """

    PARAMETER_CONSTRAINTS = {"hold_s": base.Interval(0)}

    def __init__(self, hold_s: float):
        self.hold_s = hold_s
        self.terminated_since_s_: dict[tuple[str, int], float] | None = None

    def observe(
        self,
        entries: Mapping[str, _rows.EntryRow | None],
        listed: Mapping[str, fleet_api.VmRecord],
        now_s: float,
    ) -> frozenset[str]:
        """Updates and returns the entries that need not acknowledge a view."""
        if self.terminated_since_s_ is None:
            base.validate(self)
            self.terminated_since_s_ = {}
        terminated_since_s = {}
        for entry_id, row in entries.items():
            if row is None or not is_terminated(row, listed.get(entry_id)):
                continue
            key = (entry_id, row.incarnation)
            terminated_since_s[key] = self.terminated_since_s_.get(key, now_s)
        self.terminated_since_s_ = terminated_since_s
        return frozenset(
            entry_id
            for (entry_id, _), since_s in terminated_since_s.items()
            if now_s - since_s >= self.hold_s
        )
