"""Divides the memory and descriptors of an entry among its servers."""

import resource

import attrs

from baobabdoor import settings
from baobabdoor import transport

MEGABYTE = 1024 * 1024
# Resident memory of an idle entry, with its deployment and views.
PROCESS_BYTES = 50 * MEGABYTE
# Share of the remaining memory for connections, requests and responses. The
# rest is for copies in handlers, stored results of tickets and fragmentation.
POOL_SHARE = 0.6
# Memory that a connection costs by itself.
CONNECTION_BYTES = 10 * 1024
# Shares of the pool that callers may use, and that their connections may. The
# rest is for responses of backend servers and for the control port.
CALLER_SHARE = 0.75
CALLER_CONNECTION_SHARE = 0.6
# Share of the pool for responses of backend servers that are being received.
RESPONSE_SHARE = 0.5
# Headers of a request: two copies of their text, and their lines.
HEADER_BYTES = 128 * 1024
# What a message of another entry contains beside the body of a request.
MESSAGE_BYTES = 128 * 1024
# A growing buffer reserves an eighth more than it holds.
BUFFER_FACTOR = 1.125
# Descriptors for files, and shares of the others. The rest is for connections
# to backend servers, the platform and other entries.
FILE_DESCRIPTORS = 200
CALLER_DESCRIPTOR_SHARE = 0.4
CONTROL_DESCRIPTOR_SHARE = 0.15
MAX_CONTROL_CONNECTIONS = 128


@attrs.frozen
class EntryBounds:
    """Bounds of the parts of an entry.

    Attributes:
        pool_bytes: Memory that all of them share.
        callers: Bounds of the callers' port.
        control: Bounds of the control port.
        control_body_bytes: Maximum size of a request to the control port.
        response_bytes: Maximum memory of responses that are being received.
    """

    pool_bytes: int
    callers: transport.Bounds
    control: transport.Bounds
    control_body_bytes: int
    response_bytes: int


def divide(entry_settings: settings.EntrySettings) -> EntryBounds:
    """Returns the bounds that follow from the settings.

    The descriptors are also bounded by those that the system grants.
    """
    free_bytes = entry_settings.memory_mb * MEGABYTE - PROCESS_BYTES
    pool_bytes = int(POOL_SHARE * free_bytes)
    granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    sockets = min(entry_settings.max_descriptors, granted) - FILE_DESCRIPTORS
    control_body_bytes = entry_settings.max_body_bytes + MESSAGE_BYTES
    control_bytes = int(BUFFER_FACTOR * control_body_bytes) + HEADER_BYTES
    caller_bytes = max(
        int(CALLER_SHARE * pool_bytes),
        int(BUFFER_FACTOR * entry_settings.max_body_bytes) + HEADER_BYTES,
    )
    caller_connections = min(
        CALLER_DESCRIPTOR_SHARE * sockets,
        CALLER_CONNECTION_SHARE * pool_bytes / CONNECTION_BYTES,
    )
    control_connections = min(
        CONTROL_DESCRIPTOR_SHARE * sockets, MAX_CONTROL_CONNECTIONS
    )
    return EntryBounds(
        pool_bytes,
        transport.Bounds(
            caller_bytes,
            int(caller_connections),
            caller_bytes,
            CONNECTION_BYTES,
        ),
        transport.Bounds(
            control_bytes + int(control_connections) * CONNECTION_BYTES,
            int(control_connections),
            control_bytes,
            CONNECTION_BYTES,
        ),
        control_body_bytes,
        int(RESPONSE_SHARE * pool_bytes),
    )


def min_memory_mb(max_body_bytes: int) -> float:
    """Returns the memory with which one request of the maximum size is served.

    The request is kept until its response, which may have the same size, is
    complete.

    Example:
        >>> round(min_memory_mb(4_194_304), 1)
        63.5
    """
    needed_bytes = 2 * max_body_bytes + HEADER_BYTES
    return (PROCESS_BYTES + needed_bytes / POOL_SHARE) / MEGABYTE


def check(entry_settings: settings.EntrySettings, source: str) -> None:
    """Checks limits that depend on each other.

    Args:
        entry_settings: The settings.
        source: Name of their file, for the error.

    Raises:
        SettingsError: If one request of the maximum size cannot be served.
    """
    needed_mb = min_memory_mb(entry_settings.max_body_bytes)
    if entry_settings.memory_mb < needed_mb:
        problem = settings.SettingsProblem(
            "memory_mb",
            f"at least {needed_mb:.1f} MB for a body of"
            f" {entry_settings.max_body_bytes} bytes (max_body_bytes)",
            f"{entry_settings.memory_mb:g}",
        )
        raise settings.SettingsError(source, [problem])
