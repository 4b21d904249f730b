"""Resources that the runs of each customer hold, against its maximum."""

from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Protocol

import attrs

from baobabdoor.customers import _types


class Request(Protocol):
    """Resources of a task.

    Attributes:
        cpu_milli: CPU in thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Accelerators.
    """

    cpu_milli: int
    memory_mb: int
    gpus: int


@attrs.define
class _Account:
    """Resources of a customer, each as CPU, memory and accelerators.

    Attributes:
        maximum: Its maximum; infinite where there is no limit.
        held: Resources of the runs that are known.
        possible: Resources of the runs that may exist besides these.
        free_: What the maximum leaves, as of the last call of `free`; `None`
            after a charge.
    """

    maximum: tuple[float, float, float]
    held: list[float] = attrs.field(factory=lambda: [0, 0, 0])
    possible: list[float] = attrs.field(factory=lambda: [0, 0, 0])
    free_: list[float] | None = None

    def free(self) -> list[float]:
        """Returns what the maximum leaves; negative if more is held."""
        if self.free_ is None:
            # What may exist counts up to the maximum.
            self.free_ = [
                min(maximum - held, max(0, maximum - held - possible))
                for maximum, held, possible in zip(
                    self.maximum, self.held, self.possible, strict=True
                )
            ]
        return self.free_

    def add(self, request: Request, count: int) -> None:
        """Adds known runs."""
        self.free_ = None
        held = self.held
        held[0] += request.cpu_milli * count
        held[1] += request.memory_mb * count
        held[2] += request.gpus * count

    def add_possible(self, request: Request, count: int) -> None:
        """Adds runs that may exist."""
        self.free_ = None
        possible = self.possible
        possible[0] += request.cpu_milli * count
        possible[1] += request.memory_mb * count
        possible[2] += request.gpus * count

    def empty(self) -> bool:
        """Returns whether nothing is held of any limited resource."""
        return not any(
            held + possible
            for maximum, held, possible in zip(
                self.maximum, self.held, self.possible, strict=True
            )
            if maximum < math.inf
        )


class QuotaLedger:
    """Decides which starts the maxima of customers allow.

    It is built anew from the runs that may exist for each use. Customers
    without a maximum have no account, and everything is allowed to them.

    Args:
        customers: Customers with their maxima.

    Example:
        >>> limit = _types.ResourceLimit(cpu_milli=2000)
        >>> ledger = QuotaLedger([_types.Customer("club", maximum=limit)])
        >>> ledger.charge("club", _types.ResourceLimit(cpu_milli=1500))
        >>> ledger.may_start("club", _types.ResourceLimit(cpu_milli=1000))
        False
    """

    def __init__(self, customers: Iterable[_types.Customer]):
        self.accounts_ = {
            customer.name: _Account(_bounds(customer.maximum))
            for customer in customers
            if not customer.maximum.unlimited
        }

    def limits(self, customer: str) -> bool:
        """Returns whether a customer has a maximum."""
        return customer in self.accounts_

    def held(self, customer: str) -> _types.ResourceLimit:
        """Returns the resources of the known runs of a customer."""
        account = self.accounts_.get(customer)
        return _types.ResourceLimit(*(account.held if account else ()))

    def charge(self, customer: str, request: Request, count: int = 1) -> None:
        """Adds runs of a customer."""
        account = self.accounts_.get(customer)
        if account is not None:
            account.add(request, count)

    def charge_possible(
        self, customer: str, request: Request, count: int = 1
    ) -> None:
        """Adds runs that may exist; they count up to the maximum."""
        account = self.accounts_.get(customer)
        if account is not None:
            account.add_possible(request, count)

    def charge_unknown(self, customer: str) -> None:
        """Adds a run of unknown size, which may use the whole maximum."""
        account = self.accounts_.get(customer)
        if account is not None:
            whole = (
                maximum if maximum < math.inf else 0
                for maximum in account.maximum
            )
            account.add_possible(_types.ResourceLimit(*whole), 1)

    def may_start(
        self, customer: str, request: Request, count: int = 1
    ) -> bool:
        """Returns whether tasks may start together.

        A customer that holds nothing may start tasks that by themselves exceed
        its maximum, so that a job ends that was accepted under a higher one.
        """
        account = self.accounts_.get(customer)
        if account is None or _slots(account.free(), request) >= count:
            return True
        return account.empty()

    def headroom(self, customer: str, request: Request) -> float:
        """Returns how many tasks may start one by one; may be infinite."""
        account = self.accounts_.get(customer)
        if account is None:
            return math.inf
        return _slots(account.free(), request) or int(account.empty())

    def fits_alone(
        self, customer: str, request: Request, count: int = 1
    ) -> bool:
        """Returns whether tasks are within the maximum by themselves."""
        account = self.accounts_.get(customer)
        return account is None or _slots(account.maximum, request) >= count

    def exceeded(self, customer: str) -> bool:
        """Returns whether the known runs of a customer exceed its maximum."""
        account = self.accounts_.get(customer)
        return account is not None and min(account.free()) < 0


def _bounds(maximum: _types.ResourceLimit) -> tuple[float, float, float]:
    values = (maximum.cpu_milli, maximum.memory_mb, maximum.gpus)
    return tuple(value or math.inf for value in values)


def _slots(free: Sequence[float], request: Request) -> float:
    """Returns how many tasks fit; a resource that they do not need is free."""
    slots = math.inf
    cpu_milli, memory_mb, gpus = free
    if request.cpu_milli and cpu_milli < math.inf:
        slots = cpu_milli // request.cpu_milli
    if request.memory_mb and memory_mb < math.inf:
        slots = min(slots, memory_mb // request.memory_mb)
    if request.gpus and gpus < math.inf:
        slots = min(slots, gpus // request.gpus)
    return max(0, slots)
