"""Entry server without peers and platform, for measurements of its cost."""

import pathlib
from typing import Any

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor import timeline
from baobabdoor.entry import _entry_server
from baobabdoor.entry import _slot_sharing

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "federation.yaml"
ENTRY_ID = "entry-1"
ZONE = "taal"


class StaticView:
    """Fleet view that never changes, so that no subscriber is notified."""

    def __init__(self, view: Any):
        self.workers = view.workers
        self.permit = view.permit

    def subscribe(self, callback: base.Callback) -> None:
        """Ignores the subscription."""


class StubControl:
    """Stub of the control service with a fixed view and configuration."""

    def __init__(self, view: Any):
        self.view = StaticView(view)
        self.deployment = settings.load_deployment(str(EXAMPLE))
        self.preset_name = self.deployment.initial_preset
        self.generation = 1

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def ready(self) -> None:
        """Returns None, because the stub is always ready."""

    def routes(self) -> list:
        """Returns no routes."""
        return []

    def add_exchange_provider(self, name: str, provider: Any) -> None:
        """Ignores the provider, because there are no peers."""

    def add_peer_endpoint(self, path: str, function: Any) -> None:
        """Ignores the function, because there are no peers."""

    def set_load_source(self, source: Any) -> None:
        """Ignores the source."""

    def set_sending_check(self, check: Any) -> None:
        """Ignores the check."""


def build(port: int, view: Any) -> _entry_server.EntryServer:
    """Returns an entry server; its control port is `port + 1`."""
    timers = observability.LoopTimerService()
    control = StubControl(view)
    loopback = "127.0.0.1"
    entry_settings = settings.EntrySettings(
        entry_id=ENTRY_ID,
        region=control.deployment.region,
        availability_zone=ZONE,
        caller=settings.Address(host=loopback, port=port),
        control=settings.Address(host=loopback, port=port + 1),
        platform=settings.Address(host=loopback, port=1),
        peer_key="0" * 32,
        operator_token="0" * 16,
    )
    return _entry_server.EntryServer(
        _entry_server.Components(
            entry_settings=entry_settings,
            timers=timers,
            control=control,
            admission_policy=admission.FairShareQueue({}),
            slot_sharing=_slot_sharing.SlotSharing(
                ENTRY_ID, ZONE, slots.make_policy
            ),
            tickets=idempotency.Tickets(ENTRY_ID, "1", bytes(16)),
            claims=idempotency.Claims(None, timers, ENTRY_ID, "1"),
            recorder=timeline.EventRecorder(
                ENTRY_ID, base.HybridClock(timers.wall_ms)
            ),
            metrics=observability.Metrics(),
        )
    )
