"""Messages that entries exchange, and their size-limited JSON form."""

import json
from typing import Any

import attrs

from baobabdoor import base
from baobabdoor.membership import _peers

STEP = "membership.parse"
NAME_PATTERN = r"[A-Za-z0-9._-]{1,64}"
ADDRESS_PATTERN = r"[0-9A-Fa-f.:\[\]]{3,53}"
MAX_INTEGER = 2**53
MAX_ZONES = 128
MAX_ENTRIES = 64
MAX_LEAVING_NOTICES = 256
MAX_EXTRAS = 16
MAX_VMS = 4096
# A view of 600 VMs takes 150 KB; a message without a view takes a few
# kilobytes.
MAX_MESSAGE_BYTES = 1_048_576

_validators = attrs.validators


def _reject_bool(instance: Any, attribute: attrs.Attribute, value: Any) -> None:
    if isinstance(value, bool):
        raise ValueError(f"{attribute.name}: expected an integer, found a bool")


_NAME = _validators.and_(
    _validators.instance_of(str), _validators.matches_re(NAME_PATTERN)
)
_COUNT = _validators.and_(
    _validators.instance_of(int),
    _reject_bool,
    _validators.ge(0),
    _validators.le(MAX_INTEGER),
)


def _mapping(key: Any, value: Any, max_length: int) -> Any:
    return _validators.and_(
        _validators.instance_of(dict),
        _validators.max_len(max_length),
        _validators.deep_mapping(key, value),
    )


def _sequence(member: Any, max_length: int) -> Any:
    return _validators.and_(
        _validators.max_len(max_length),
        _validators.deep_iterable(member, _validators.instance_of(tuple)),
    )


@attrs.frozen(kw_only=True)
class PeerEntry:
    """Address of an entry in a message."""

    entry_id: str = attrs.field(validator=_NAME)
    availability_zone: str = attrs.field(validator=_NAME)
    control: str = attrs.field(
        validator=_validators.and_(
            _validators.instance_of(str),
            _validators.matches_re(ADDRESS_PATTERN),
        )
    )

    def address(self) -> _peers.PeerAddress:
        """Returns the address in the form of the peer table."""
        return _peers.PeerAddress(**attrs.asdict(self))


@attrs.frozen(kw_only=True)
class LeavingNotice:
    """Notice that a VM is about to leave service in its current boot."""

    vm_id: str = attrs.field(validator=_NAME)
    boot_id: str = attrs.field(validator=_NAME)


@attrs.frozen(kw_only=True)
class ZoneRows:
    """VM rows of a zone, for a peer that cannot read them from the store.

    Attributes:
        version: View version; the rows are at least as recent.
        rows: Stored form of each row, by VM.
    """

    version: int = attrs.field(validator=_COUNT)
    rows: dict[str, dict[str, Any]] = attrs.field(
        validator=_mapping(_NAME, _validators.instance_of(dict), MAX_VMS)
    )


@attrs.frozen(kw_only=True)
class Exchange:
    """State of an entry, sent to a peer in a request or a response.

    Attributes:
        entry: Address of the sender.
        is_registered: Whether the row of the sender is in the store.
        generation: Generation of the active configuration.
        clock: Hybrid logical clock in text form.
        views: Confirmed view version of each zone.
        entries: Addresses of some known entries.
        leaving: VMs that are about to leave service.
        wants_lease: In a request: asks for a lease on the receiver's zone.
        granted: In a response: view version of the granted lease; 0 if none is
            granted.
        zone_rows: In a response: rows of the zone of the responding entry, if
            the requesting entry has an older view.
        extras: Payloads of exchange providers, by name.
    """

    entry: PeerEntry = attrs.field(validator=_validators.instance_of(PeerEntry))
    is_registered: bool = attrs.field(validator=_validators.instance_of(bool))
    generation: int = attrs.field(validator=_COUNT)
    clock: str = attrs.field(
        validator=_validators.and_(
            _validators.instance_of(str),
            _validators.matches_re(r"[0-9]{1,16}\.[0-9]{1,16}"),
        )
    )
    views: dict[str, int] = attrs.field(
        factory=dict, validator=_mapping(_NAME, _COUNT, MAX_ZONES)
    )
    entries: tuple[PeerEntry, ...] = attrs.field(
        default=(),
        validator=_sequence(_validators.instance_of(PeerEntry), MAX_ENTRIES),
    )
    leaving: tuple[LeavingNotice, ...] = attrs.field(
        default=(),
        validator=_sequence(
            _validators.instance_of(LeavingNotice), MAX_LEAVING_NOTICES
        ),
    )
    wants_lease: bool = attrs.field(
        default=False, validator=_validators.instance_of(bool)
    )
    granted: int = attrs.field(default=0, validator=_COUNT)
    zone_rows: ZoneRows | None = attrs.field(
        default=None,
        validator=_validators.optional(_validators.instance_of(ZoneRows)),
    )
    extras: dict[str, dict[str, Any]] = attrs.field(
        factory=dict,
        validator=_mapping(_NAME, _validators.instance_of(dict), MAX_EXTRAS),
    )

    def to_bytes(self) -> bytes:
        """Returns the JSON form."""
        value = attrs.asdict(self)
        return json.dumps(value, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, content: bytes) -> "Exchange | base.Refusal":
        """Parses the JSON form; refuses unknown and malformed fields."""
        if len(content) > MAX_MESSAGE_BYTES:
            detail = f"{len(content)} bytes, at most {MAX_MESSAGE_BYTES}"
            return base.Refusal(base.Reason.TOO_LARGE, STEP, detail=detail)
        try:
            return _from_json(json.loads(content))
        except (TypeError, ValueError, RecursionError) as error:
            detail = str(error)[:200]
            return base.Refusal(base.Reason.BAD_REQUEST, STEP, detail=detail)


def _from_json(value: Any) -> Exchange:
    fields = dict(_require_object(value))
    fields["entry"] = PeerEntry(**_require_object(fields.get("entry")))
    for name, kind in (("entries", PeerEntry), ("leaving", LeavingNotice)):
        members = fields.get(name, [])
        if not isinstance(members, list):
            raise ValueError(f"{name}: expected a list")
        fields[name] = tuple(
            kind(**_require_object(member)) for member in members
        )
    if fields.get("zone_rows") is not None:
        fields["zone_rows"] = ZoneRows(**_require_object(fields["zone_rows"]))
    return Exchange(**fields)


def _require_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"expected an object, found {type(value).__name__}")
    return value
