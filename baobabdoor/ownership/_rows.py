"""Table rows of VMs, entries and budgets, and their keys."""

from typing import Any
from typing import TypeVar

import attrs
import cattrs

from baobabdoor.ownership import _fleet

VM_PREFIX = "vm/"
VIEW_PREFIX = "view/"
ENTRY_PREFIX = "entry/"
BUDGET_PREFIX = "budget/"
# The VM list may lag and show an earlier boot again. A VM does not boot more
# often than this within the lag.
MAX_PREVIOUS_BOOTS = 4

_CONVERTER = cattrs.Converter(forbid_extra_keys=True)
_RowType = TypeVar("_RowType")


def vm_key(availability_zone: str, vm_id: str) -> str:
    """Returns the key of a VM's row."""
    return f"{VM_PREFIX}{availability_zone}/{vm_id}"


def view_key(availability_zone: str) -> str:
    """Returns the key of the row that versions the VM rows of a zone."""
    return f"{VIEW_PREFIX}{availability_zone}"


def entry_key(entry_id: str) -> str:
    """Returns the key of an entry's row."""
    return f"{ENTRY_PREFIX}{entry_id}"


def budget_key(pool: str) -> str:
    """Returns the key of a pool's budget row."""
    return f"{BUDGET_PREFIX}{pool}"


def control_key(region: str) -> str:
    """Returns the key of a region's control lease.

    The version of its row is the control epoch.
    """
    return f"control/{region}"


def control_heartbeat_key(region: str) -> str:
    """Returns the key of the heartbeat row of the control lease."""
    return f"control-beat/{region}"


@attrs.frozen
class VmRow:
    """The stored state of a VM.

    Attributes:
        pool: Pool that the VM belongs to.
        phase: Phase of the VM.
        boot_id: Boot to which the row applies.
        rack: Rack of the VM.
        address: IP address and port of the backend server, as `host:port`.
        target_pool: Pool that the VM moves to; equal to `pool` for
            maintenance; empty while serving.
        transaction: Identifier of the transaction that wrote the row.
        intent: Identifier of the planned operation; empty if none.
        view: Version of the zone's view that was written with this row.
        last_maintained_ms: Wall time of the last maintenance reboot.
        phase_since_ms: Wall time at which the phase began.
        previous_boots: Latest earlier boots, which a stale VM list may show.
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
        """Whether the planned operation moves the VM to another pool."""
        return self.target_pool not in ("", self.pool)


@attrs.frozen
class EntryRow:
    """Stored registration and heartbeat of an entry.

    Attributes:
        incarnation: Incarnation number; increases with each process start.
        availability_zone: Zone of the entry.
        control: IP address and port for control requests, as `host:port`.
        boot_id: Boot of the entry's VM; empty if unknown.
        beat: Heartbeat counter.
        generation: Generation of the configuration in force.
        views: Acknowledged view version by zone.
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
    """Planned operations charged to the availability budget of a pool.

    Attributes:
        charges: Intent by VM.
    """

    charges: dict[str, str] = attrs.field(factory=dict)


def to_json(row: VmRow | EntryRow | BudgetRow) -> dict[str, Any]:
    """Returns a row as stored."""
    return _CONVERTER.unstructure(row)


def from_json(value: Any, row_type: type[_RowType]) -> _RowType | None:
    """Parses a stored row; returns None if it is malformed."""
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
