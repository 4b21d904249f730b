"""Composition root of the entry daemon, and its life from start to stop."""

import asyncio
import importlib
import secrets
import signal
from typing import Any

from baobabdoor import base
from baobabdoor import idempotency
from baobabdoor import jobs
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import settings
from baobabdoor import timeline
from baobabdoor.entry import _entry_server
from baobabdoor.entry import _slot_sharing

EXIT_DONE = 0
SECRET_BYTES = 32


def build(entry_settings: settings.EntrySettings) -> _entry_server.EntryServer:
    """Builds an entry out of its parts; opens nothing yet."""
    # Loaded by name until these packages are in the same branch.
    control_package = importlib.import_module("baobabdoor.control")
    admission_package = importlib.import_module("baobabdoor.admission")
    slots_package = importlib.import_module("baobabdoor.slots")
    timers = observability.LoopTimerService()
    clock = base.HybridClock(timers.wall_ms)
    recorder = timeline.EventRecorder(entry_settings.entry_id, clock)
    metrics = observability.Metrics()
    service = platform.HttpPlatform(entry_settings.platform.url)
    control = control_package.ControlService(
        entry_settings, service, timers, recorder, metrics
    )
    return _entry_server.EntryServer(
        _entry_server.Parts(
            entry_settings=entry_settings,
            timers=timers,
            control=control,
            admission_policy=admission_package.FairShareQueue({}),
            slot_sharing=_slot_sharing.SlotSharing(
                entry_settings.entry_id,
                entry_settings.availability_zone,
                slots_package.make_policy,
            ),
            tickets=idempotency.Tickets(
                entry_settings.entry_id,
                str(control.incarnation),
                secrets.token_bytes(SECRET_BYTES),
            ),
            claims=idempotency.Claims(
                service,
                timers,
                entry_settings.entry_id,
                str(control.incarnation),
            ),
            recorder=recorder,
            metrics=metrics,
            jobs=_job_routes(service, recorder, timers, control),
            seed=secrets.randbits(32),
        )
    )


def _job_routes(
    service: platform.Platform,
    recorder: timeline.EventRecorder,
    timers: base.TimerService,
    control: Any,
) -> list[tuple]:
    job_service = jobs.JobService(
        service, recorder, timers.wall_ms, lambda: control.deployment
    )
    return jobs.make_routes(job_service, None)


async def run(entry_settings: settings.EntrySettings) -> int:
    """Serves until SIGTERM or SIGINT; returns the exit code."""
    observability.configure_logs(
        entry_settings.entry_id, entry_settings.log_level
    )
    server = build(entry_settings)
    return await serve(server)


async def serve(server: _entry_server.EntryServer) -> int:
    """Starts a server, waits for a signal, and shuts down gracefully."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    await server.start()
    await stopping.wait()
    await server.stop()
    return EXIT_DONE
