"""Decides whether a caller may use a queue and which jobs it may use."""

import enum

import attrs

from baobabdoor.customers import _directory

# Part of the revocation time after which a configuration is too old to accept
# keys. The rest is room for the drift of clocks. With a feed that is read at
# least every tenth of the revocation time, an entry that loses the store still
# serves for 0.65 of that time.
REVOCATION_SHARE = 0.85
# Part of the time in which a new key must be accepted after which a missing key
# may have been added since. The rest is room for the drift of clocks.
STALENESS_SHARE = 0.9


class Kind(enum.Enum):
    """Result of an authorization."""

    ALLOWED = "allowed"
    UNAUTHENTICATED = "unauthenticated"
    UNCERTAIN = "uncertain"


class Reason(enum.Enum):
    """Reason of an authorization, as shown in logs and metrics."""

    KEYS_OFF = "keys-off"
    PUBLIC_QUEUE = "public-queue"
    KNOWN_KEY = "known-key"
    NO_READABLE_KEY = "no-readable-key"
    UNKNOWN_KEY = "unknown-key"
    REVOCATION_UNCERTAIN = "revocation-uncertain"
    CONFIGURATION_STALE = "configuration-stale"
    CONFIGURATION_BEHIND_PEER = "configuration-behind-peer"
    PEER_SENT_NO_DIGEST = "peer-sent-no-digest"


@attrs.frozen
class Decision:
    """Result of an authorization.

    Attributes:
        kind: Whether the caller is accepted.
        reason: Why.
        customer: Customer that holds the key; empty for none.
    """

    kind: Kind
    reason: Reason
    customer: str = ""

    @property
    def allowed(self) -> bool:
        """Whether the caller is accepted."""
        return self.kind is Kind.ALLOWED


KEYS_OFF = Decision(Kind.ALLOWED, Reason.KEYS_OFF)
PUBLIC_QUEUE = Decision(Kind.ALLOWED, Reason.PUBLIC_QUEUE)
PEER_SENT_NO_DIGEST = Decision(Kind.UNCERTAIN, Reason.PEER_SENT_NO_DIGEST)


@attrs.frozen
class FreshnessRules:
    """How old the configuration of a process may be.

    Attributes:
        strict_revocation: Whether a removed key must be refused in time also
            by a process without contact to the store.
        revoke_s: Time in which a removed key must be refused.
        apply_s: Time in which a new key must be accepted.
    """

    strict_revocation: bool = False
    revoke_s: float = 5.0
    apply_s: float = 3.0

    def may_accept(self, age_s: float) -> bool:
        """Returns whether a configuration is recent enough to accept a key."""
        limit_s = REVOCATION_SHARE * self.revoke_s
        return not self.strict_revocation or age_s <= limit_s

    def knows_new_keys(self, age_s: float) -> bool:
        """Returns whether a key that is missing is certainly not valid."""
        return age_s <= STALENESS_SHARE * self.apply_s


def authorize(
    public: bool,
    directory: _directory.CustomerDirectory | None,
    digest: str | None,
    age_s: float,
    rules: FreshnessRules,
) -> Decision:
    """Decides whether a caller may use a queue.

    Args:
        public: Whether the queue needs no key.
        directory: Customers; `None` if no queue needs a key.
        digest: Digest of the caller's key; `None` if no key was readable.
        age_s: Time since the directory was certainly the newest.
        rules: How old the directory may be.

    Returns:
        The decision.
    """
    if directory is None:
        return KEYS_OFF
    if public:
        return PUBLIC_QUEUE
    if digest is None:
        return Decision(Kind.UNAUTHENTICATED, Reason.NO_READABLE_KEY)
    if not rules.may_accept(age_s):
        return Decision(Kind.UNCERTAIN, Reason.REVOCATION_UNCERTAIN)
    customer = directory.find_by_digest(digest)
    if customer is not None:
        return Decision(Kind.ALLOWED, Reason.KNOWN_KEY, customer.name)
    if not rules.knows_new_keys(age_s):
        return Decision(Kind.UNCERTAIN, Reason.CONFIGURATION_STALE)
    return Decision(Kind.UNAUTHENTICATED, Reason.UNKNOWN_KEY)


def reconcile(decision: Decision, peer_customer: str) -> Decision:
    """Returns the decision of a leader whose configuration is older.

    The entry that forwarded the call knows a newer configuration. The older
    one may lack the key or the customer, so only a decision for the same
    customer counts.

    Args:
        decision: Decision by the older configuration.
        peer_customer: Customer that the entry has found; empty for none.
    """
    if decision.allowed and decision.customer == peer_customer:
        return decision
    return Decision(Kind.UNCERTAIN, Reason.CONFIGURATION_BEHIND_PEER)


def may_access(decision: Decision, job_customer: str, same_queue: bool) -> bool:
    """Returns whether an accepted caller may see and cancel a job.

    A job without a customer is open to the callers of its queue, and any job
    of a public queue to all. The identifier of a job must not be usable at
    the path of a public queue to which the job does not belong.

    Args:
        decision: Decision about the caller.
        job_customer: Customer of the job; empty for none.
        same_queue: Whether the caller uses the queue of the job.
    """
    if decision.reason is Reason.KEYS_OFF:
        return True
    if decision.reason is Reason.PUBLIC_QUEUE:
        return same_queue
    return job_customer in ("", decision.customer)
