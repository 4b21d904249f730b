"""Finds customers by name and by API key."""

from collections.abc import Iterable
import hashlib

from baobabdoor.customers import _types


def digest_key(key: str) -> str:
    """Returns the digest under which an API key is known."""
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


class CustomerDirectory:
    """The customers of a configuration.

    A key that several customers hold belongs to the one listed first.

    Args:
        customers: The customers, in the order of the configuration.
        ignored_fields: Names of fields that were ignored, for the log.

    Example:
        >>> club = _types.Customer("club", frozenset({digest_key("k1")}))
        >>> CustomerDirectory([club]).find_by_digest(digest_key("k1")).name
        'club'
    """

    def __init__(
        self,
        customers: Iterable[_types.Customer] = (),
        ignored_fields: Iterable[str] = (),
    ):
        self.customers = tuple(customers)
        self.ignored_fields = tuple(ignored_fields)
        self.by_name_: dict[str, _types.Customer] = {}
        self.by_digest_: dict[str, _types.Customer] = {}
        # Pairs of the holder of a key and a later customer with the same key.
        self.shared_keys_: set[tuple[str, str]] = set()
        for customer in self.customers:
            self.by_name_.setdefault(customer.name, customer)
            for digest in customer.key_digests:
                holder = self.by_digest_.setdefault(digest, customer)
                if holder is not customer:
                    self.shared_keys_.add((holder.name, customer.name))

    def find(self, name: str) -> _types.Customer | None:
        """Returns the customer with a name; `None` if there is none."""
        return self.by_name_.get(name)

    def find_by_digest(self, digest: str) -> _types.Customer | None:
        """Returns the customer that holds a key; `None` if there is none."""
        return self.by_digest_.get(digest)
