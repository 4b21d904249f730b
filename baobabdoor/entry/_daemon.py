"""Composition root of the entry daemon, and its life from start to stop."""

import asyncio
import secrets
import signal

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import configuration
from baobabdoor import control
from baobabdoor import idempotency
from baobabdoor import jobs
from baobabdoor import maintenance
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor import timeline
from baobabdoor.entry import _entry_server
from baobabdoor.entry import _job_part
from baobabdoor.entry import _slot_sharing

EXIT_DONE = 0
SECRET_BYTES = 32
SALT_BITS = 32


def build(entry_settings: settings.EntrySettings) -> _entry_server.EntryServer:
    """Builds an entry out of its parts; opens nothing yet."""
    timers = observability.LoopTimerService()
    clock = base.HybridClock(timers.wall_ms)
    recorder = timeline.EventRecorder(
        entry_settings.entry_id, clock, sink=_log_event
    )
    metrics = observability.Metrics()
    service = platform.HttpPlatform(entry_settings.platform.url)
    store = configuration.ConfigurationStore(service, recorder)
    committer = configuration.ChangeCommitter(service, timers.wall_ms)
    control_service = control.ControlService(
        entry_settings,
        service,
        timers,
        recorder,
        metrics,
        store,
        make_capacity=capacity.make_policy,
        maintenance_policy=maintenance.WavePlanner(),
    )
    job_service = jobs.JobService(
        service, recorder, timers.wall_ms, lambda: store.deployment
    )
    _control_jobs(entry_settings, service, timers, recorder, control_service)
    token = entry_settings.operator_token
    queue = admission.FairShareQueue({}, salt=secrets.randbits(SALT_BITS))
    store.subscribe(lambda change: queue.set_callers(change.deployment.callers))
    incarnation = str(control_service.incarnation)
    return _entry_server.EntryServer(
        _entry_server.Parts(
            entry_settings=entry_settings,
            timers=timers,
            control=control_service,
            admission_policy=queue,
            slot_sharing=_slot_sharing.SlotSharing(
                entry_settings.entry_id,
                entry_settings.availability_zone,
                slots.make_policy,
            ),
            tickets=idempotency.Tickets(
                entry_settings.entry_id,
                incarnation,
                secrets.token_bytes(SECRET_BYTES),
            ),
            claims=idempotency.Claims(
                service, timers, entry_settings.entry_id, incarnation
            ),
            recorder=recorder,
            metrics=metrics,
            jobs=jobs.make_routes(job_service, None),
            operator_routes=[
                *configuration.make_routes(store, committer, token),
                *jobs.make_routes(job_service, token),
            ],
            seed=secrets.randbits(SALT_BITS),
        )
    )


def _control_jobs(
    entry_settings: settings.EntrySettings,
    service: platform.Platform,
    timers: base.TimerService,
    recorder: timeline.EventRecorder,
    control_service: control.ControlService,
) -> None:
    """Adds the job controller to the rounds of control."""
    controller = jobs.JobController(
        service, jobs.PriorityPlanner(), recorder, timers.wall_ms
    )
    part = _job_part.JobPart(controller, entry_settings.region, timers)
    control_service.add_control_part(part.act)


def _log_event(event: timeline.Event) -> None:
    """Writes an event of the time line to the log."""
    observability.get_logger("timeline").info(
        event.kind, peer=event.peer, cause=event.cause, **event.fields
    )


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
