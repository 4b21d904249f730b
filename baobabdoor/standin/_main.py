"""Command line of `baobabdoor-standin`."""

import asyncio
import signal
import sys
from typing import Any

from absl import app
from absl import flags
import attrs
from tornado import httpserver
from tornado import netutil
from tornado import web

from baobabdoor import observability
from baobabdoor import settings
from baobabdoor.standin import _backend
from baobabdoor.standin import _backend_server
from baobabdoor.standin import _core
from baobabdoor.standin import _layout
from baobabdoor.standin import _platform_server
from baobabdoor.standin import _vms

FLAGS = flags.FLAGS
ROLES = ("platform", "backend")
USAGE = "usage: baobabdoor-standin platform|backend --deployment=FILE [flags]"
EXIT_USAGE = 2
MAX_PORT = 65_535


def define_flags() -> None:
    """Defines the flags; called once before they are parsed."""
    flags.DEFINE_string("deployment", None, "Deployment file.", required=True)
    flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
    _define_port_flag("admin_port", 21190, "Port for fault injection.")
    flags.DEFINE_string("vm_host", "127.0.0.1", "IP address of all workers.")
    _define_port_flag(
        "vm_base_port",
        21100,
        "Port of the first worker; other workers use the next ports.",
    )
    flags.DEFINE_enum(
        "log_level", "info", ["debug", "info", "warning", "error"], "Log level."
    )
    flags.DEFINE_multi_integer(
        "port",
        [21000],
        "platform: ports, each with separate faults.",
        lower_bound=1,
        upper_bound=MAX_PORT,
    )
    flags.DEFINE_string(
        "backend_admin", "", "platform: admin URL of the backend stand-in."
    )
    flags.DEFINE_list(
        "entry_vms", [], "platform: VMs of entries, each as ID=ZONE."
    )
    flags.DEFINE_float(
        "reboot_s", 0.0, "platform: reboot time; 0 for that of the deployment."
    )
    flags.DEFINE_float("list_lag_s", 1.0, "platform: delay of the VM list.")
    flags.DEFINE_float("usage_lag_s", 5.0, "platform: delay of task usage.")
    flags.DEFINE_float("work_ms", 5.0, "backend: run time of a request.")


def _define_port_flag(name: str, default: int, text: str) -> None:
    # The operating system would use a larger port number modulo 65,536.
    flags.DEFINE_integer(
        name, default, text, lower_bound=1, upper_bound=MAX_PORT
    )


def _worker_specs(deployment: settings.Deployment) -> list[_vms.VmSpec]:
    host, base_port = FLAGS.vm_host, FLAGS.vm_base_port
    return _layout.lay_out(
        deployment, lambda index: f"{host}:{base_port + index}"
    )


def _entry_vm_spec(text: str) -> _vms.VmSpec:
    vm_id, _, zone = text.partition("=")
    return _vms.VmSpec(vm_id, "", zone, f"{zone}-entries")


def make_platform(
    deployment: settings.Deployment,
) -> _platform_server.PlatformServer:
    """Returns the simulated platform configured by the flags."""
    timers = observability.LoopTimerService()
    core = _core.PlatformCore(timers, FLAGS.list_lag_s, FLAGS.usage_lag_s)
    specs = _worker_specs(deployment)
    specs += [_entry_vm_spec(text) for text in FLAGS.entry_vms]
    for spec in specs:
        if FLAGS.reboot_s > 0:
            spec = attrs.evolve(spec, reboot_s=FLAGS.reboot_s)
        core.vms.add(spec, listed_at_once=True)
    backend_client = _platform_server.BackendClient(FLAGS.backend_admin, core)
    return _platform_server.PlatformServer(
        core, FLAGS.host, FLAGS.port, backend_client
    )


def make_backend(
    deployment: settings.Deployment,
) -> _backend_server.BackendServer:
    """Returns the simulated backend servers configured by the flags."""
    vms = []
    for spec in _worker_specs(deployment):
        pool = deployment.pools[spec.pool_hint]
        vms.append(
            _backend.BackendVm(
                spec.vm_id,
                spec.address,
                spec.pool_hint,
                pool.slots,
                pool.connections,
            )
        )
    return _backend_server.BackendServer(vms, FLAGS.work_ms / 1000)


async def _serve(role: str, deployment: settings.Deployment) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    # Shells start background processes of scripts with SIGINT ignored. This
    # process then survives an interrupt, because the entries still need it
    # while they stop.
    if signal.getsignal(signal.SIGINT) is not signal.SIG_IGN:
        loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    server: Any
    if role == "platform":
        server = make_platform(deployment)
        await server.start()
    else:
        server = make_backend(deployment)
        server.start()
    # The admin port is opened last, so that a response from it means that all
    # other ports are ready.
    admin = httpserver.HTTPServer(
        web.Application(
            server.admin_routes(), log_function=lambda handler: None
        )
    )
    admin.add_sockets(netutil.bind_sockets(FLAGS.admin_port, FLAGS.host))
    observability.get_logger(role).info("ready", admin_port=FLAGS.admin_port)
    await stop_requested.wait()
    admin.stop()
    await server.stop()


def _run(argv: list[str]) -> int:
    if len(argv) != 2 or argv[1] not in ROLES:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    observability.configure_logs(f"standin-{argv[1]}", FLAGS.log_level)
    try:
        deployment = settings.load_deployment(FLAGS.deployment)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    asyncio.run(_serve(argv[1], deployment))
    return 0


def main() -> None:
    """Entry point of `baobabdoor-standin`."""
    define_flags()
    app.run(_run, flags_parser=_parse_flags)


def _parse_flags(argv: list[str]) -> list[str]:
    try:
        return FLAGS(argv)
    except flags.Error as error:
        print(f"{error}\n{USAGE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
