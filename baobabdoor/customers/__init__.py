"""Customers: their API keys, quotas and shares, without I/O."""

from baobabdoor.customers._allowance import SubmissionAllowance
from baobabdoor.customers._authorization import KEYS_OFF
from baobabdoor.customers._authorization import PEER_SENT_NO_DIGEST
from baobabdoor.customers._authorization import REVOCATION_SHARE
from baobabdoor.customers._authorization import STALENESS_SHARE
from baobabdoor.customers._authorization import Decision
from baobabdoor.customers._authorization import FreshnessRules
from baobabdoor.customers._authorization import Kind
from baobabdoor.customers._authorization import Reason
from baobabdoor.customers._authorization import authorize
from baobabdoor.customers._authorization import may_access
from baobabdoor.customers._authorization import reconcile
from baobabdoor.customers._directory import CustomerDirectory
from baobabdoor.customers._directory import digest_key
from baobabdoor.customers._quota import QuotaLedger
from baobabdoor.customers._types import Customer
from baobabdoor.customers._types import ResourceLimit

__all__ = [
    "Customer",
    "CustomerDirectory",
    "Decision",
    "FreshnessRules",
    "KEYS_OFF",
    "Kind",
    "PEER_SENT_NO_DIGEST",
    "REVOCATION_SHARE",
    "Reason",
    "QuotaLedger",
    "ResourceLimit",
    "STALENESS_SHARE",
    "authorize",
    "SubmissionAllowance",
    "digest_key",
    "may_access",
    "reconcile",
]
