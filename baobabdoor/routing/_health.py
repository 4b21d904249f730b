"""Passive health of one backend server, from the results of requests."""

import enum

import attrs

# Three failures in a row are rarely chance, and cost only three requests.
FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Caches and connections of a recovered server need some seconds to warm up.
SLOW_START_S = 10.0
# The platform's list, polled every 2 s, shows a leaving VM well before this.
LEAVING_MARK_S = 30.0


class HealthState(enum.Enum):
    """Whether a backend server is used."""

    HEALTHY = "healthy"
    EJECTED = "ejected"


@attrs.define
class Health:
    """Health of one boot of a backend server.

    Attributes:
        boot_id: Boot that the facts belong to.
        state: Whether the server is used.
        failures: Failures in a row.
        ejection_s: Length of the next ejection in seconds.
        ejected_until_s: End of the ejection.
        recovered_s: When slow start began; minus infinity if it never did.
        leaving_until_s: End of the mark left by a leaving answer.
        outstanding: Requests in progress from this entry.
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
            # Half-open: one request probes the server after the ejection.
            return 0 if now_s < self.ejected_until_s else 1
        warm_s = now_s - self.recovered_s
        if warm_s >= SLOW_START_S:
            return slots
        return max(1, int(slots * warm_s / SLOW_START_S))

    def limited(self, now_s: float) -> bool:
        """Returns whether `limit` may be less than the slots."""
        return (
            self.state is not HealthState.HEALTHY
            or now_s < self.leaving_until_s
            or now_s - self.recovered_s < SLOW_START_S
        )

    def observe_success(self, now_s: float) -> None:
        """Notes a whole answer."""
        if self.state is not HealthState.HEALTHY:
            self.state = HealthState.HEALTHY
            self.recovered_s = now_s
            self.ejection_s = FIRST_EJECTION_S
        self.failures = 0

    def observe_failure(self, now_s: float) -> bool:
        """Notes a failed connection, a timeout or an incomplete answer.

        Returns:
            Whether the server is ejected because of it.
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
        """Notes an answer 503 with `Connection: close`."""
        self.leaving_until_s = now_s + LEAVING_MARK_S
