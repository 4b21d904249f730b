"""Max-min division of whole slots."""

from collections.abc import Sequence


def water_fill(capacity: float, wanted: Sequence[float]) -> list[float]:
    """Divides `capacity` max-min fairly; what is left over is divided evenly.

    Args:
        capacity: What there is to divide.
        wanted: What each party wants.

    Example:
        >>> water_fill(8, [1, 9, 9])
        [1, 3.5, 3.5]
        >>> water_fill(8, [2, 0, 0])
        [4.0, 2.0, 2.0]
    """
    parts = [0.0] * len(wanted)
    left = capacity
    order = sorted(range(len(wanted)), key=lambda index: wanted[index])
    for done, index in enumerate(order):
        parts[index] = min(wanted[index], left / (len(order) - done))
        left -= parts[index]
    if left > 0:
        return [part + left / len(parts) for part in parts]
    return parts


def round_parts(parts: Sequence[float], total: int, first: int) -> list[int]:
    """Rounds parts to whole numbers that add up to `total`.

    Uses the largest remainders; among equal remainders the party at `first`
    comes first, so that callers can rotate the advantage.

    Example:
        >>> round_parts([2.5, 2.5, 3.0], 8, first=1)
        [2, 3, 3]
    """
    count = len(parts)
    whole = [int(part + 1e-9) for part in parts]
    order = sorted(
        range(count),
        key=lambda index: (
            -round(parts[index] - whole[index], 6),
            (index - first) % count,
        ),
    )
    for index in order[: max(0, total - sum(whole))]:
        whole[index] += 1
    return whole
