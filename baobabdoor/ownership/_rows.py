"""Rows of the platform's table that hold VMs, entries and budgets."""

from typing import Any
from typing import TypeVar

import attrs
import cattrs

from baobabdoor.ownership import _fleet

VM_PREFIX = "vm/"
VIEW_PREFIX = "view/"
ENTRY_PREFIX = "entry/"
BUDGET_PREFIX = "budget/"
# The list may show boots in the wrong order for its lag; a VM does not boot
# more often than this in that time.
MAX_PREVIOUS_BOOTS = 4

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_RowType = TypeVar("_RowType")


def vm_key(availability_zone: str, vm_id: str) -> str:
    """Returns the key of a VM's row."""
    return f"{VM_PREFIX}{availability_zone}/{vm_id}"


def view_key(availability_zone: str) -> str:
    """Returns the key of the row that counts the changes of a zone's VMs."""
    return f"{VIEW_PREFIX}{availability_zone}"


def entry_key(entry_id: str) -> str:
    """Returns the key of an entry's row."""
    return f"{ENTRY_PREFIX}{entry_id}"


def budget_key(pool: str) -> str:
    """Returns the key of the row of a pool's planned operations."""
    return f"{BUDGET_PREFIX}{pool}"


def control_key(region: str) -> str:
    """Returns the key of a region's control lease; its version is the epoch."""
    return f"control/{region}"


def control_beat_key(region: str) -> str:
    """Returns the key of the heartbeat of the control lease's holder."""
    return f"control-beat/{region}"


@attrs.frozen
class VmRow:
    """The stored state of a VM.

    Attributes:
        pool: Pool that the VM belongs to.
        phase: Phase of the VM.
        boot_id: Boot that the row was written for.
        rack: Rack of the VM.
        address: IP number and port of its server, as `host:port`.
        target_pool: Pool that it moves to; equal to `pool` for maintenance.
        transaction: Identifier of the transaction that wrote the row.
        intent: Planned operation; empty if none.
        view: Version of the zone's view that this row came with.
        last_maintained_ms: Wall time of the last maintenance reboot.
        phase_since_ms: Wall time at which the phase began.
        previous_boots: Earlier boots, which a late list may still show.
    """

    pool: str
    phase: _fleet.Phase
    boot_id: str
    rack: str
    address: str
    target_pool: str = ""
    transaction: str = ""
    intent: str = ""
    view: int = 0
    last_maintained_ms: int = 0
    phase_since_ms: int = 0
    previous_boots: list[str] = attrs.field(factory=list)

    @property
    def is_move(self) -> bool:
        """Whether the planned operation takes the VM to another pool."""
        return self.target_pool not in ("", self.pool)


@attrs.frozen
class EntryRow:
    """The registration of an entry.

    Attributes:
        incarnation: Start of the process.
        availability_zone: Zone of the entry.
        control: IP number and port of the control port, as `host:port`.
        boot_id: Boot of the entry's VM; empty if the entry does not know it.
        beat: Number of heartbeats.
        generation: Configuration in force.
        views: Acknowledged view version of each zone.
    """

    incarnation: int
    availability_zone: str
    control: str
    boot_id: str = ""
    beat: int = 0
    generation: int = 0
    views: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class BudgetRow:
    """The VMs of a pool that are out for planned reasons.

    Attributes:
        charges: Intent for each VM.
    """

    charges: dict[str, str] = attrs.field(factory=dict)


def to_json(row: VmRow | EntryRow | BudgetRow) -> dict[str, Any]:
    """Returns the stored form of a row."""
    return _CONVERTER.unstructure(row)


def from_json(value: Any, row_type: type[_RowType]) -> _RowType | None:
    """Returns the row of a stored form; None if it is malformed."""
    if not isinstance(value, dict):
        return None
    try:
        return _CONVERTER.structure(value, row_type)
    except (
        cattrs.BaseValidationError,
        AttributeError,
        TypeError,
        ValueError,
    ):
        return None
