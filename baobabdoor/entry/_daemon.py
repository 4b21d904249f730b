"""Composition root of the entry daemon, its startup and its shutdown."""

import asyncio
import logging
import secrets
import signal
import sys

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import capacity
from baobabdoor import configuration
from baobabdoor import control
from baobabdoor import fleet_api
from baobabdoor import idempotency
from baobabdoor import jobs
from baobabdoor import maintenance
from baobabdoor import observability
from baobabdoor import settings
from baobabdoor import slots
from baobabdoor import timeline
from baobabdoor.entry import _entry_server
from baobabdoor.entry import _job_adapter
from baobabdoor.entry import _slot_sharing

EXIT_SUCCESS = 0
EXIT_START_FAILED = 1
# SIGHUP would otherwise end the process at once; it reads no settings again.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
SECRET_BYTES = 32
SEED_BITS = 32


def build(
    entry_settings: settings.EntrySettings, service: fleet_api.Platform
) -> _entry_server.EntryServer:
    """Builds an entry server from its components without starting it."""
    entry_id = entry_settings.entry_id
    timers = observability.LoopTimerService()
    recorder = timeline.EventRecorder(
        entry_id, base.HybridClock(timers.wall_ms), sink=_log_event
    )
    metrics = observability.Metrics()
    store = configuration.ConfigurationStore(service, recorder)
    control_service = control.ControlService(
        entry_settings,
        service,
        timers,
        recorder,
        metrics,
        store,
        make_capacity_policy=capacity.make_policy,
        maintenance_policy=maintenance.WavePlanner(),
    )
    job_controller = jobs.JobController(
        service, jobs.PriorityPlanner(), recorder, timers.wall_ms
    )
    job_adapter = _job_adapter.JobControllerAdapter(
        job_controller, entry_settings.region, timers
    )
    control_service.add_controller_extension(job_adapter.run_round)
    job_service = jobs.JobService(
        service, recorder, timers.wall_ms, lambda: control_service.deployment
    )
    committer = configuration.ChangeCommitter(service, timers.wall_ms)
    token = entry_settings.operator_token
    incarnation = str(control_service.incarnation)
    return _entry_server.EntryServer(
        _entry_server.Components(
            entry_settings=entry_settings,
            timers=timers,
            control=control_service,
            admission_policy=admission.FairShareQueue(
                {}, salt=secrets.randbits(SEED_BITS)
            ),
            slot_sharing=_slot_sharing.SlotSharing(
                entry_id, entry_settings.availability_zone, slots.make_policy
            ),
            tickets=idempotency.Tickets(
                entry_id, incarnation, secrets.token_bytes(SECRET_BYTES)
            ),
            claims=idempotency.Claims(service, timers, entry_id, incarnation),
            recorder=recorder,
            metrics=metrics,
            job_routes=jobs.make_routes(job_service, None),
            operator_routes=[
                *configuration.make_routes(store, committer, token),
                *jobs.make_routes(job_service, token),
            ],
            seed=secrets.randbits(SEED_BITS),
        )
    )


def _log_event(event: timeline.Event) -> None:
    """Writes a timeline event to the log."""
    observability.get_logger("timeline").info(
        event.kind, peer=event.peer, cause=event.cause, **event.fields
    )


async def run(entry_settings: settings.EntrySettings) -> int:
    """Serves until a stop signal; returns the exit code."""
    # A reader of the log that stops reading must not stop the process.
    observability.configure_logs(
        entry_settings.entry_id,
        entry_settings.log_level,
        observability.BoundedWriter(sys.stderr.fileno()),
    )
    # Tornado logs a line for each malformed message, so that a flood of invalid
    # input would flood the log.
    logging.getLogger("tornado").setLevel(logging.ERROR)
    service = fleet_api.HttpPlatform(entry_settings.platform.url)
    try:
        return await serve(build(entry_settings, service))
    finally:
        service.close()
        # A further signal would end the process as if it had failed, because
        # the interpreter restores the default handlers when it exits.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


async def serve(server: _entry_server.EntryServer) -> int:
    """Starts a server, waits for a signal, and shuts down gracefully."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop(number: int, frame: object) -> None:
        # Called between two instructions, also while the event loop is busy for
        # long, which notices the signal only later.
        del number, frame
        server.observe_signal()
        loop.call_soon_threadsafe(stop_requested.set)

    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, request_stop)
    try:
        await server.start()
    except OSError as error:
        log = observability.get_logger("entry")
        log.error("not-started", detail=str(error))
        return EXIT_START_FAILED
    await stop_requested.wait()
    await server.stop()
    return EXIT_SUCCESS
