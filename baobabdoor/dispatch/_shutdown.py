"""Planned stop of a daemon."""

from baobabdoor import observability
from baobabdoor import platform

# Maximum open requests of a server that are named in the log.
MAX_LOGGED_REQUESTS = 20
LOG = observability.get_logger("daemon")


def log_open_requests(servers, now_s: float) -> None:
    """Logs the requests that are open when a process ends.

    Args:
        servers: Servers of the process.
        now_s: Time of the event loop in seconds.
    """
    for server in servers:
        open_requests = [
            (stream, usage)
            for stream, usage in server.budget.usages_.items()
            if usage.phase.value != "idle"
        ]
        if not open_requests and not server.in_progress:
            continue
        LOG.warning(
            "requests_open_at_exit",
            server=server.name,
            count=len(open_requests),
            handled=server.in_progress,
        )
        for stream, usage in open_requests[:MAX_LOGGED_REQUESTS]:
            _log_request(server.name, stream, usage, now_s)


def _log_request(server_name: str, stream, usage, now_s: float) -> None:
    request = stream.exchange_.request_ if stream.exchange_ else None
    headers = request.headers if request else {}
    LOG.warning(
        "request_open_at_exit",
        server=server_name,
        phase=usage.phase.value,
        phase_ms=round((now_s - usage.since_s) * 1000),
        method=request.method if request else "",
        path=request.path if request else "",
        request=headers.get(platform.REQUEST_ID_HEADER, ""),
        deadline_ms=headers.get(platform.DEADLINE_HEADER, ""),
    )
