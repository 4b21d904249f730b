"""Types shared by all packages: refusals, timers, clocks and validation."""

from baobabdoor.base._hybrid_clock import HybridClock
from baobabdoor.base._hybrid_clock import HybridTime
from baobabdoor.base._refusal import Reason
from baobabdoor.base._refusal import Refusal
from baobabdoor.base._refusal import RefusalError
from baobabdoor.base._shutdown import ShutdownBudget
from baobabdoor.base._shutdown import divide_shutdown
from baobabdoor.base._timers import Callback
from baobabdoor.base._timers import Subscription
from baobabdoor.base._timers import TimerService
from baobabdoor.base._timers import VirtualTimerService
from baobabdoor.base._validation import Constraint
from baobabdoor.base._validation import Interval
from baobabdoor.base._validation import InvalidParameterError
from baobabdoor.base._validation import OneOf
from baobabdoor.base._validation import validate

__all__ = [
    "Callback",
    "Constraint",
    "HybridClock",
    "HybridTime",
    "Interval",
    "InvalidParameterError",
    "OneOf",
    "Reason",
    "Refusal",
    "RefusalError",
    "ShutdownBudget",
    "Subscription",
    "TimerService",
    "VirtualTimerService",
    "divide_shutdown",
    "validate",
]
