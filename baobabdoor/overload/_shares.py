"""Divides the cores of a pool among customers by weight."""

from collections.abc import Mapping

# Weight of jobs without a customer, which public routes accept.
DEFAULT_WEIGHT = 1.0
# Least weight in a division, so that a customer without weight gets what
# nobody else uses.
MIN_WEIGHT = 1e-3


def weight_of(customer: str, weights: Mapping[str, float]) -> float:
    """Returns the weight of a customer in a division."""
    return max(MIN_WEIGHT, weights.get(customer, DEFAULT_WEIGHT))


def fair_shares(
    demands: Mapping[str, float], weights: Mapping[str, float], cores: float
) -> dict[str, float]:
    """Returns the weighted max-min fair share of each customer.

    Answers a pool that is full: no customer gets more than it demands, and what
    one leaves is divided among the others by weight.

    Args:
        demands: Cores that each customer with work in the pool could use.
        weights: Weights of customers.
        cores: Cores of the pool.

    Example:
        >>> fair_shares({"a": 2, "b": 9, "c": 9}, {"b": 1, "c": 3}, 10)
        {'a': 2, 'b': 2.0, 'c': 6.0}
    """

    def weight(customer: str) -> float:
        return weight_of(customer, weights)

    shares = {}
    left, left_weight = cores, sum(map(weight, demands))
    for customer in sorted(
        demands, key=lambda name: demands[name] / weight(name)
    ):
        # Rounding of weights that differ much may leave less than the last.
        left_weight = max(left_weight, weight(customer))
        entitled = max(0.0, left) * weight(customer) / left_weight
        shares[customer] = min(demands[customer], entitled)
        left -= shares[customer]
        left_weight -= weight(customer)
    return shares
