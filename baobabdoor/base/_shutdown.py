"""Division of the time that a process has for a planned stop."""

import attrs

# Shares of the time after which the load balancer is no longer waited for, of
# the time to flush replies, and of the time before the kill in which the
# process ends. They apply where the maxima below do not fit.
SERVE_SHARE = 0.45
FLUSH_SHARE = 1 / 8
EXIT_SHARE = 1 / 5
# Maximum time to hand over leadership, in seconds. A store that has not
# confirmed it by then is silent, and callers are better served by another
# process.
MAX_RELEASE_S = 2.0
# Maximum time to flush replies, in seconds: several retransmissions on a link
# of some milliseconds.
MAX_FLUSH_S = 0.5
# Maximum time reserved for the end of the process, in seconds: the event loop
# may be late, and the interpreter takes some 0.1 s to exit. The share leaves
# twice that of one second.
MAX_EXIT_S = 0.5


@attrs.frozen
class ShutdownBudget:
    """Times of a planned stop, in seconds since the stop signal.

    Attributes:
        serve_s: Until then connections are accepted and requests are handled
            as usual, because the load balancer still sends some.
        release_s: Until then a leader may hand over its term.
        answer_s: Until then requests in progress may complete; those left are
            then answered with what is known of them.
        flush_s: Until then replies may be written. The process ends then at
            the latest.
    """

    serve_s: float
    release_s: float
    answer_s: float
    flush_s: float


def divide_shutdown(total_s: float, balancer_s: float) -> ShutdownBudget:
    """Divides the time between the stop signal and the kill.

    Args:
        total_s: Time between the signal and the kill in seconds.
        balancer_s: Time in which the load balancer notices that the process
            is not ready, in seconds.

    Returns:
        The times; each is before the next one, and the last before `total_s`.

    Example:
        >>> divide_shutdown(6.0, 2.6)
        ShutdownBudget(serve_s=2.6, release_s=2.0, answer_s=5.0, flush_s=5.5)
    """
    serve_s = min(balancer_s, SERVE_SHARE * total_s)
    flush_s = total_s - min(MAX_EXIT_S, EXIT_SHARE * total_s)
    return ShutdownBudget(
        serve_s=serve_s,
        release_s=min(MAX_RELEASE_S, serve_s),
        answer_s=flush_s - min(MAX_FLUSH_S, FLUSH_SHARE * total_s),
        flush_s=flush_s,
    )
