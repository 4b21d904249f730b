"""Data types of customers."""

import attrs


@attrs.frozen
class ResourceLimit:
    """Maximum resources that a customer's runs may hold; 0 means no limit.

    Attributes:
        cpu_milli: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0

    @property
    def unlimited(self) -> bool:
        """Whether no resource is limited."""
        return not (self.cpu_milli or self.memory_mb or self.gpus)


@attrs.frozen
class Customer:
    """A customer, as configured.

    Attributes:
        name: Name of the customer.
        key_digests: SHA-256 digests of its API keys. The keys themselves are
            not kept, so that no log or error message can contain one.
        priority: Priority; 0 is the highest.
        weight: Share of a full pool, and the jobs per second that it may
            submit.
        maximum: Maximum resources of its runs in all pools together.
    """

    name: str
    key_digests: frozenset[str] = attrs.field(
        default=frozenset(), repr=lambda digests: f"{len(digests)} keys"
    )
    priority: int = 0
    weight: float = 0.0
    maximum: ResourceLimit = ResourceLimit()
