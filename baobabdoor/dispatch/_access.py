"""Checks the API keys of calls against the configuration of this process."""

import attrs

from baobabdoor import customers
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _outcomes

# How long a long poll of the configuration waits, in seconds.
FEED_WAIT_S = 1.2
# The same as a part of the time in which a removed key must be refused, where
# this must hold without contact to the store. The age of the configuration
# reaches two waits while the store answers, so a process that loses the store
# still accepts keys for `customers.REVOCATION_SHARE` less two waits.
REVOCATION_WAIT_SHARE = 0.1
# The same as a part of the time in which a new key must be accepted: two waits
# and a delayed answer must not make the configuration stale.
APPLY_WAIT_SHARE = 1 / 3


@attrs.frozen
class Caller:
    """Who sends a call.

    Attributes:
        digest: Digest of the API key; `None` if no key was readable.
        decision: Decision of this process about the call.
    """

    digest: str | None = None
    decision: customers.Decision = customers.KEYS_OFF


# Sends a call where no API keys are required.
ANYBODY = Caller()


def feed_wait_s(settings: platform.ProcessSettings) -> float:
    """Returns how long a long poll of the configuration waits for changes."""
    if not settings.strict_revocation:
        return FEED_WAIT_S
    return min(
        FEED_WAIT_S,
        APPLY_WAIT_SHARE * settings.config_apply_s,
        REVOCATION_WAIT_SHARE * settings.revoke_s,
    )


class AccessCheck:
    """Decides about calls by the configuration in force and its age.

    Args:
        daemon: Provides the configuration, its age and the settings.
    """

    def __init__(self, daemon):
        self.daemon = daemon

    def check_caller(
        self, queue: scheduling.Queue, digest: str | None
    ) -> customers.Decision:
        """Decides about a call at the process that received it.

        Args:
            queue: Queue that the call names.
            digest: Digest of its API key; `None` if no key was readable.
        """
        directory = self.daemon.configuration.customer_directory
        if directory is None:
            return customers.KEYS_OFF
        settings = self.daemon.settings
        rules = customers.FreshnessRules(
            settings.strict_revocation,
            settings.revoke_s,
            settings.config_apply_s,
        )
        age_s = self.daemon.configuration_age_s()
        return customers.authorize(
            queue.public, directory, digest, age_s, rules
        )

    def check_message(
        self, queue: scheduling.Queue, message: dict
    ) -> customers.Decision:
        """Decides anew about a call at the leader.

        An entry of a program version without API keys sends no digest and has
        checked nothing. Only its calls to queues without keys are accepted.
        """
        decision = self.check_caller(queue, message.get("digest"))
        if "digest" not in message and not decision.allowed:
            return customers.PEER_SENT_NO_DIGEST
        if message.get("version", 0) > self.daemon.configuration.version:
            customer = message.get("customer", "")
            return customers.reconcile(decision, customer)
        return decision

    def describe(self, decision: customers.Decision, place: str) -> str:
        """Returns what decided, for the log and the answer to a peer."""
        age_ms = round(self.daemon.configuration_age_s() * 1000)
        version = self.daemon.configuration.version
        return (
            f"{decision.reason.value} at={place} age_ms={age_ms}"
            f" version={version}"
        )


def may_access(
    decision: customers.Decision, job: scheduling.Job, queue: str
) -> bool:
    """Returns whether an accepted caller may see and cancel a job.

    Args:
        decision: Decision about the caller.
        job: The job.
        queue: Name of the queue that the caller names.
    """
    same_queue = job.spec.queue == queue
    return customers.may_access(decision, job.spec.customer, same_queue)


def forbid(metrics: observability.Metrics, place: str) -> _outcomes.Outcome:
    """Counts a call for the job of another customer; returns its outcome.

    Args:
        metrics: Metrics of the process.
        place: Which process decided: `entry` or `leader`.
    """
    metrics.count(
        "access_refusals_total",
        {"reason": "job-of-another-customer", "at": place},
    )
    return _outcomes.FORBIDDEN
