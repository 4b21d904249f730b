"""Counts and logs what a server closes and refuses."""

from baobabdoor import observability
from baobabdoor.transport import _memory_budget
from baobabdoor.transport import _types

# Reasons for closing a connection that are part of normal operation.
QUIET_REASONS = frozenset(["idle-timeout", "stop"])
LOG = observability.get_logger("transport")


class Closures:
    """Counts what a server closes and refuses, and logs the reasons.

    Args:
        server: Name of the server in metrics and logs.
        budget: Accounts for its connections.
        metrics: Metrics of the process. Default: none.
    """

    def __init__(
        self,
        server: str,
        budget: _memory_budget.MemoryBudget,
        metrics: observability.Metrics | None = None,
    ):
        self.server = server
        self.budget = budget
        self.metrics = metrics
        self.log = observability.LimitedLogger(LOG)

    def observe(self, reason: str) -> None:
        """Observes that a connection is closed.

        Args:
            reason: Why; a reason has one line in the log per interval.
        """
        if self.metrics is not None:
            self.metrics.count(
                "connections_closed_total",
                {"server": self.server, "reason": reason},
            )
        if reason not in QUIET_REASONS:
            self.log.warning(
                "connection_closed",
                reason,
                server=self.server,
                reason=reason,
                open=len(self.budget.usages_),
                held_bytes=self.budget.held_bytes,
            )

    def observe_refusal(self, reason: str, request: _types.Request) -> None:
        """Observes that a request is refused and its connection stays open.

        Args:
            reason: Why; a reason has one line in the log per interval.
            request: The request.
        """
        if self.metrics is not None:
            self.metrics.count(
                "requests_refused_total",
                {"server": self.server, "reason": reason},
            )
        self.log.warning(
            "request_refused",
            reason,
            server=self.server,
            reason=reason,
            path=request.path,
            held_bytes=self.budget.held_bytes,
        )
