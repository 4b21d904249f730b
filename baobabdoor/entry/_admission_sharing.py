"""The admission policy with the callers' shares that are in force."""

from collections.abc import Callable
from collections.abc import Mapping

from baobabdoor import admission
from baobabdoor import base
from baobabdoor import settings

Shares = Mapping[str, settings.CallerShare]


class AdmissionSharing(admission.AdmissionPolicy):
    """Delegates to a policy that is made anew when the shares change.

    Queued items move to the new policy in their order of arrival. Items that
    it refuses are returned by `expire`, as are those whose deadline passed.

    Args:
        make_policy: Returns a new policy for the shares.
    """

    def __init__(
        self, make_policy: Callable[[Shares], admission.AdmissionPolicy]
    ):
        self.make_policy = make_policy
        self.shares_: Shares = {}
        self.policy_ = make_policy({})
        self.waiting_: dict[int, admission.WorkItem] = {}
        self.running_: dict[int, admission.AdmissionPolicy] = {}
        self.refused_: list[admission.WorkItem] = []

    def use(self, shares: Shares, now_s: float) -> None:
        """Changes the shares if others are in force now."""
        if shares == self.shares_:
            return
        self.shares_ = shares
        self.policy_ = self.make_policy(shares)
        for request_id, item in list(self.waiting_.items()):
            if self.policy_.admit(item, now_s) is not None:
                del self.waiting_[request_id]
                self.refused_.append(item)

    def admit(
        self, item: admission.WorkItem, now_s: float
    ) -> base.Refusal | None:
        """Queues an item; returns a refusal if it was not queued."""
        refusal = self.policy_.admit(item, now_s)
        if refusal is None:
            self.waiting_[item.request_id] = item
        return refusal

    def plan(
        self, free_slots: Mapping[str, int], now_s: float
    ) -> list[admission.WorkItem]:
        """Takes the items to dispatch now out of the queues."""
        items = self.policy_.plan(free_slots, now_s)
        for item in items:
            del self.waiting_[item.request_id]
            self.running_[item.request_id] = self.policy_
        return items

    def release(self, item: admission.WorkItem, now_s: float) -> None:
        """Tells the policy that dispatched the item that it has finished."""
        self.running_.pop(item.request_id).release(item, now_s)

    def cancel(self, item: admission.WorkItem) -> None:
        """Removes a queued item whose caller went away."""
        if self.waiting_.pop(item.request_id, None) is not None:
            self.policy_.cancel(item)

    def expire(self, now_s: float) -> list[admission.WorkItem]:
        """Removes and returns the items that are no longer queued."""
        late = self.policy_.expire(now_s)
        for item in late:
            self.waiting_.pop(item.request_id, None)
        refused, self.refused_ = self.refused_, []
        return late + refused

    def queued(self) -> dict[str, int]:
        """Returns the number of queued items of each pool."""
        return self.policy_.queued()
