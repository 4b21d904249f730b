"""Creates capacity policies by name."""

from baobabdoor.capacity import _interface
from baobabdoor.capacity import _predictive
from baobabdoor.capacity import _reactive
from baobabdoor.capacity import _static

POLICIES = {
    "static": _static.StaticPolicy,
    "reactive": _reactive.ReactivePolicy,
    "predictive": _predictive.PredictivePolicy,
}


def make_policy(name: str, **parameters: float) -> _interface.CapacityPolicy:
    """Creates the policy with the given name.

    Args:
        name: Name of the policy, as in `settings.Preset.capacity_policy`.
        **parameters: Parameters of the policy that differ from its defaults.

    Raises:
        ValueError: There is no policy of that name.
    """
    if name not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        raise ValueError(f"capacity policy: expected {names}, found {name!r}")
    return POLICIES[name](**parameters)
