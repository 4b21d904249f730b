"""Event of the timeline and its JSON form."""

from typing import Any

import attrs

from baobabdoor import base


@attrs.frozen
class Event:
    """Event recorded by one process.

    Attributes:
        time: Hybrid logical time.
        process: Identifier of the process that recorded it.
        kind: Dotted name, for example `ownership.move-started`.
        peer: Entry, VM or platform concerned; empty if none.
        cause: Correlation identifier: that of a change, intent, job or request.
        fields: Additional values of JSON types.
    """

    time: base.HybridTime
    process: str
    kind: str
    peer: str = ""
    cause: str = ""
    fields: dict[str, Any] = attrs.field(factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Returns the JSON object sent to operators."""
        return {
            "time": str(self.time),
            "process": self.process,
            "kind": self.kind,
            "peer": self.peer,
            "cause": self.cause,
            "fields": self.fields,
        }

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "Event":
        """Creates an event from the output of `to_json`."""
        return cls(
            time=base.HybridTime.parse(data["time"]),
            process=data["process"],
            kind=data["kind"],
            peer=data["peer"],
            cause=data["cause"],
            fields=data["fields"],
        )
