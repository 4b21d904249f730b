"""Passive health checks of a backend server from the results of requests."""

import enum

import attrs

# Three consecutive failures are rarely a coincidence and cost only three
# requests.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# A recovered server needs some seconds to warm up caches and connections.
SLOW_START_S = 10.0
# The platform's VM list, polled every 2 s, shows that a VM is leaving well
# before this time has passed.
LEAVING_MARK_S = 30.0


class HealthState(enum.Enum):
    """Whether a backend server receives requests."""

    HEALTHY = "healthy"
    EJECTED = "ejected"


@attrs.define
class Health:
    """Health of one boot of a backend server.

    Attributes:
        boot_id: Boot to which the other attributes apply.
        state: Whether the server receives requests.
        failures: Number of consecutive failures.
        ejection_s: Duration of the next ejection in seconds.
        ejected_until_s: End of the latest ejection.
        recovered_s: Start of the latest slow start; minus infinity if there was
            none.
        leaving_until_s: Time until which the server counts as leaving, after a
            response that indicated it.
        outstanding: Number of this entry's requests in progress.
    """

    boot_id: str
    state: HealthState = HealthState.HEALTHY
    failures: int = 0
    ejection_s: float = FIRST_EJECTION_S
    ejected_until_s: float = float("-inf")
    recovered_s: float = float("-inf")
    leaving_until_s: float = float("-inf")
    outstanding: int = 0

    def limit(self, slots: int, now_s: float) -> int:
        """Returns how many requests may be in progress now.

        Args:
            slots: Limit of a healthy server.
            now_s: Monotonic time in seconds.
        """
        if now_s < self.leaving_until_s:
            return 0
        if self.state is not HealthState.HEALTHY:
            # Half-open: a single request probes the server after an ejection.
            return 0 if now_s < self.ejected_until_s else 1
        since_recovery_s = now_s - self.recovered_s
        if since_recovery_s >= SLOW_START_S:
            return slots
        return max(1, int(slots * since_recovery_s / SLOW_START_S))

    def limited(self, now_s: float) -> bool:
        """Returns whether `limit` may be less than the slots."""
        return (
            self.state is not HealthState.HEALTHY
            or now_s < self.leaving_until_s
            or now_s - self.recovered_s < SLOW_START_S
        )

    def observe_success(self, now_s: float) -> None:
        """Records a complete response."""
        if self.state is not HealthState.HEALTHY:
            self.state = HealthState.HEALTHY
            self.recovered_s = now_s
            self.ejection_s = FIRST_EJECTION_S
        self.failures = 0

    def observe_failure(self, now_s: float) -> bool:
        """Records a failed connection, a timeout or an incomplete response.

        Returns:
            Whether this failure ejects the server.
        """
        if now_s < self.ejected_until_s:
            # Requests sent before the ejection do not prolong it.
            return False
        self.failures += 1
        probe_failed = self.state is not HealthState.HEALTHY
        if not probe_failed and self.failures < FAILURES_TO_EJECT:
            return False
        self.state = HealthState.EJECTED
        self.ejected_until_s = now_s + self.ejection_s
        self.ejection_s = min(MAX_EJECTION_S, self.ejection_s * 2)
        return True

    def observe_leaving(self, now_s: float) -> None:
        """Records a 503 response with `Connection: close`."""
        self.leaving_until_s = now_s + LEAVING_MARK_S
