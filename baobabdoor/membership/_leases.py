"""View leases that an entry grants to others and holds from others."""

import attrs

from baobabdoor import base

LEASE_S = 4.0
# A grant stays in force longer on the grantor's clock than on the holder's, so
# that clocks that differ in rate by up to 5% do no harm.
GRANT_HOLD_S = 4.2


@attrs.frozen
class _Grant:
    version: int
    expires_s: float


class GrantedLeases:
    """What a registered entry has granted for the view of its own zone.

    A new process does not know the grants of its predecessor, so it
    acknowledges nothing until they have expired.

    Args:
        hold_s: Time for which a grant is in force here. Default: 4.2.
    """

    PARAMETER_CONSTRAINTS = {"hold_s": base.Interval(LEASE_S)}

    def __init__(self, hold_s: float = GRANT_HOLD_S):
        self.hold_s = hold_s
        self.grants_: dict[tuple[str, int], _Grant] = {}
        self.acknowledge_after_s_: float | None = None

    def start(self, now_s: float) -> None:
        """Notes that the predecessor of this process is dead by now."""
        base.validate(self)
        self.acknowledge_after_s_ = now_s + self.hold_s

    def grant(
        self,
        holder: tuple[str, int],
        version: int,
        own_version: int,
        now_s: float,
    ) -> bool:
        """Grants a lease for a view version unless a newer one is known.

        Args:
            holder: Entry and incarnation.
            version: Newest version that the holder has confirmed.
            own_version: Version that this entry holds.
            now_s: Time of the decision in seconds.
        """
        if version < own_version or version == 0:
            return False
        self.grants_[holder] = _Grant(version, now_s + self.hold_s)
        return True

    def confirm(self, holder: tuple[str, int], version: int) -> None:
        """Notes that a holder uses no view older than `version`."""
        grant = self.grants_.get(holder)
        if grant is not None and grant.version < version:
            self.grants_[holder] = _Grant(version, grant.expires_s)

    def expire(self, now_s: float) -> None:
        """Drops grants that no holder can still use."""
        self.grants_ = {
            holder: grant
            for holder, grant in self.grants_.items()
            if grant.expires_s > now_s
        }

    def may_acknowledge(self, version: int, now_s: float) -> bool:
        """Returns whether nobody uses an older view on this entry's word."""
        if (
            self.acknowledge_after_s_ is None
            or now_s < self.acknowledge_after_s_
        ):
            return False
        self.expire(now_s)
        return all(grant.version >= version for grant in self.grants_.values())


class HeldLeases:
    """The leases that an entry holds for views of zones.

    Args:
        lease_s: Length of a lease in seconds. Default: 4.
    """

    PARAMETER_CONSTRAINTS = {"lease_s": base.Interval(0, LEASE_S)}

    def __init__(self, lease_s: float = LEASE_S):
        self.lease_s = lease_s
        self.expires_s_: dict[str, float] = {}

    def observe_grant(self, availability_zone: str, sent_s: float) -> None:
        """Notes a lease, counted from the moment its request was sent."""
        expires_s = sent_s + self.lease_s
        known_s = self.expires_s_.get(availability_zone, expires_s)
        self.expires_s_[availability_zone] = max(known_s, expires_s)

    def is_held(self, availability_zone: str, now_s: float) -> bool:
        """Returns whether the zone's view may be used."""
        expires_s = self.expires_s_.get(availability_zone)
        return expires_s is not None and now_s < expires_s

    def drop_all(self) -> None:
        """Treats every lease as expired."""
        self.expires_s_.clear()
