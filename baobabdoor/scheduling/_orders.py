"""Orders to workers."""

import attrs


@attrs.frozen(kw_only=True)
class WorkerOrder:
    """An order to a worker.

    Attributes:
        worker_id: Receiver of the order.
        address: `ip:port` of the worker's server.
        token: Fencing token of the term that sends the order.
    """

    worker_id: str
    address: str
    token: int


@attrs.frozen(kw_only=True)
class StartOrder(WorkerOrder):
    """Starts a run.

    Attributes:
        task: Name of the task.
        run_id: Number of the run.
        payload: Opaque text of the job.
        until_ms: Lease expiry on the worker's clock.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Ticket of the advice service; empty for none.
    """

    task: str
    run_id: int
    payload: str
    until_ms: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopOrder(WorkerOrder):
    """Stops a run, or rejects its start if that arrives later."""

    task: str
    run_id: int


@attrs.frozen(kw_only=True)
class PaceOrder(WorkerOrder):
    """Throttles a run.

    Attributes:
        percent: Share of full speed, 0 to 100.
    """

    task: str
    run_id: int
    percent: int


@attrs.frozen(kw_only=True)
class HoldOrder(WorkerOrder):
    """Renews the lease of all runs of a worker and long-polls its report.

    Attributes:
        last_seen: Acknowledges ended runs up to this number.
        until_ms: Lease expiry on the worker's clock; 0 does not renew it.
        wait_ms: Maximum time that the worker waits for a run to end before
            it responds.
    """

    last_seen: int
    until_ms: int = 0
    wait_ms: int = 0
