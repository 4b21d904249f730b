"""Assigns fencing tokens to the incarnations of workers."""

from baobabdoor.scheduling import _orders
from baobabdoor.scheduling import _worker


class WorkerFencing:
    """Gives each incarnation of a worker a fencing token of its own.

    An order may be carried out seconds after it was sent, by the worker's next
    incarnation if that has the same identifier. The next incarnation numbers
    its ended runs anew, so a delayed hold would acknowledge ended runs that
    were never processed. Orders to it therefore carry a higher token than all
    orders to the incarnations before. Tokens are versions of transactions of
    this term, which are lower than the token of any later term.

    Args:
        token: Fencing token of the term.

    Attributes:
        fenced_off: Whether a worker knows a higher token than this term has
            sent to it, which only a later leader can have sent.
    """

    def __init__(self, token: int):
        # Newest transaction of this term that is known to be applied.
        self.version = token
        # Highest token of removed workers, which may be listed again.
        self.removed_token = 0
        # Workers that wait for a transaction after their restart.
        self.waiting: dict[str, _worker.Worker] = {}
        self.fenced_off = False

    def add(self, worker: _worker.Worker) -> None:
        """Assigns a token to a worker that was not known."""
        worker.token = self.removed_token
        self.renew(worker)

    def remove(self, worker: _worker.Worker) -> None:
        """Records that a worker was removed."""
        self.removed_token = max(self.removed_token, worker.token)
        self.waiting.pop(worker.worker_id, None)

    def renew(self, worker: _worker.Worker) -> None:
        """Assigns a token that no order to a worker has carried yet."""
        worker.token_confirmed = False
        worker.token_outdated = self.version <= worker.token
        if worker.token_outdated:
            self.waiting[worker.worker_id] = worker
        else:
            worker.token = self.version

    def observe_commit(self, version: int) -> None:
        """Records the version of a transaction of this term."""
        if version <= self.version:
            return
        self.version = version
        waiting, self.waiting = self.waiting, {}
        for worker in waiting.values():
            self.renew(worker)

    def observe_answer(self, worker: _worker.Worker, token: int) -> bool:
        """Records that an incarnation answered a hold with a token.

        Returns:
            Whether this is the first answer with its token, from which on it
            rejects orders of earlier terms and to its earlier incarnations.
        """
        outdated = worker.token_outdated or token < worker.token
        if outdated or worker.token_confirmed:
            return False
        worker.token_confirmed = True
        return True

    def observe_refusal(
        self,
        worker: _worker.Worker | None,
        order: _orders.WorkerOrder,
    ) -> None:
        """Applies the refusal of an order for its fencing token.

        An order that was sent before the worker's token was renewed may arrive
        after one with the new token.
        """
        if worker is not None and order.token >= worker.token:
            self.fenced_off = True
