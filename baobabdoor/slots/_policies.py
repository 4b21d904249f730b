"""Slot policies by their names in the settings."""

from baobabdoor.slots import _credits
from baobabdoor.slots import _interface
from baobabdoor.slots import _static
from baobabdoor.slots import _two_choices

POLICIES = {
    "static": _static.StaticSplit,
    "credits": _credits.Credits,
    "two-choices": _two_choices.TwoChoices,
}


def make_policy(name: str, entry_id: str) -> _interface.SlotPolicy:
    """Returns a new slot policy.

    Args:
        name: One of `settings.SLOT_POLICIES`.
        entry_id: Identifier of this entry.

    Raises:
        ValueError: The name is unknown.
    """
    if name not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        raise ValueError(
            f"slot policy: expected one of {names}, found {name!r}"
        )
    return POLICIES[name](entry_id)
