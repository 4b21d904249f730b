"""View leases that an entry grants to peers and holds from peers."""

import attrs

from baobabdoor import base

LEASE_S = 4.0
# A grant lasts longer on the clock of the grantor than on that of the holder,
# so that clock rates may differ by up to 5%.
GRANT_HOLD_S = 4.2


@attrs.frozen
class _Grant:
    version: int
    expires_s: float


class GrantedLeases:
    """Leases that a registered entry has granted on the view of its zone.

    A new process does not know the grants of the preceding process, so it
    acknowledges no view until those have expired.

    Args:
        hold_s: Lifetime of a grant on the clock of this entry, in seconds.
            Default: 4.2.
    """

    PARAMETER_CONSTRAINTS = {"hold_s": base.Interval(LEASE_S)}

    def __init__(self, hold_s: float = GRANT_HOLD_S):
        self.hold_s = hold_s
        self.grants_: dict[tuple[str, int], _Grant] = {}
        self.acknowledge_after_s_: float | None = None

    def start(self, now_s: float) -> None:
        """Records that the preceding process is known to have ended by now."""
        base.validate(self)
        self.acknowledge_after_s_ = now_s + self.hold_s

    def grant(
        self,
        holder: tuple[str, int],
        version: int,
        own_version: int,
        now_s: float,
    ) -> bool:
        """Grants a lease on a view version unless this entry has a newer view.

        Args:
            holder: Identifier and incarnation of the requesting entry.
            version: Newest view version that the holder has confirmed.
            own_version: View version of this entry.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the lease is granted.
        """
        if version < own_version or version == 0:
            return False
        self.grants_[holder] = _Grant(version, now_s + self.hold_s)
        return True

    def confirm(self, holder: tuple[str, int], version: int) -> None:
        """Records that a holder no longer uses a view older than `version`."""
        grant = self.grants_.get(holder)
        if grant is not None and grant.version < version:
            self.grants_[holder] = _Grant(version, grant.expires_s)

    def expire(self, now_s: float) -> None:
        """Removes the grants that no holder can still use."""
        self.grants_ = {
            holder: grant
            for holder, grant in self.grants_.items()
            if grant.expires_s > now_s
        }

    def may_acknowledge(self, version: int, now_s: float) -> bool:
        """Returns whether no grant of this entry allows an older view."""
        if (
            self.acknowledge_after_s_ is None
            or now_s < self.acknowledge_after_s_
        ):
            return False
        self.expire(now_s)
        return all(grant.version >= version for grant in self.grants_.values())


class HeldLeases:
    """Leases on the views of zones that this entry holds.

    Args:
        lease_s: Lifetime of a lease in seconds. Default: 4.
    """

    PARAMETER_CONSTRAINTS = {"lease_s": base.Interval(0, LEASE_S)}

    def __init__(self, lease_s: float = LEASE_S):
        self.lease_s = lease_s
        self.expires_s_: dict[str, float] = {}

    def observe_grant(self, availability_zone: str, sent_s: float) -> None:
        """Records a lease that counts from the time its request was sent."""
        expires_s = sent_s + self.lease_s
        known_s = self.expires_s_.get(availability_zone, expires_s)
        self.expires_s_[availability_zone] = max(known_s, expires_s)

    def is_held(self, availability_zone: str, now_s: float) -> bool:
        """Returns whether the zone's view may be used."""
        expires_s = self.expires_s_.get(availability_zone)
        return expires_s is not None and now_s < expires_s

    def drop_all(self) -> None:
        """Removes all leases."""
        self.expires_s_.clear()
