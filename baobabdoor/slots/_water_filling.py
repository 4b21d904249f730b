"""Max-min fair allocation of slots by water-filling."""

from collections.abc import Sequence


def water_fill(capacity: float, demands: Sequence[float]) -> list[float]:
    """Allocates `capacity` max-min fairly; the surplus is divided evenly.

    Args:
        capacity: Amount to allocate.
        demands: Demand of each party.

    Example:
        >>> water_fill(8, [1, 9, 9])
        [1, 3.5, 3.5]
        >>> water_fill(8, [2, 0, 0])
        [4.0, 2.0, 2.0]
    """
    shares = [0.0] * len(demands)
    remaining = capacity
    order = sorted(range(len(demands)), key=lambda index: demands[index])
    for done, index in enumerate(order):
        shares[index] = min(demands[index], remaining / (len(order) - done))
        remaining -= shares[index]
    if remaining > 0:
        return [share + remaining / len(shares) for share in shares]
    return shares


def round_shares(shares: Sequence[float], total: int, first: int) -> list[int]:
    """Rounds shares to integers that add up to `total`.

    Uses the largest remainder method. Among equal remainders, the party at
    index `first` has priority, so that the calling code can rotate it.

    Example:
        >>> round_shares([2.5, 2.5, 3.0], 8, first=1)
        [2, 3, 3]
    """
    count = len(shares)
    rounded = [int(share + 1e-9) for share in shares]
    order = sorted(
        range(count),
        key=lambda index: (
            -round(shares[index] - rounded[index], 6),
            (index - first) % count,
        ),
    )
    for index in order[: max(0, total - sum(rounded))]:
        rounded[index] += 1
    return rounded
