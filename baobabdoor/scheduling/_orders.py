"""Orders to workers."""

import attrs


@attrs.frozen(kw_only=True)
class WorkerOrder:
    """An order to one worker.

    Attributes:
        worker_id: Worker that is meant.
        address: Its server as `ip:port`.
        token: Fencing token of the tenure that gives the order.
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
        until_ms: End of the lease on the worker's clock.
        checkpoint: Saved progress to go on from; empty for none.
        ticket: Permission of the advice service; empty for none.
    """

    task: str
    run_id: int
    payload: str
    until_ms: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopOrder(WorkerOrder):
    """Stops a run, or forbids one that has not arrived."""

    task: str
    run_id: int


@attrs.frozen(kw_only=True)
class PaceOrder(WorkerOrder):
    """Lets a run work at a share of its speed.

    Attributes:
        percent: 0 to 100.
    """

    task: str
    run_id: int
    percent: int


@attrs.frozen(kw_only=True)
class HoldOrder(WorkerOrder):
    """Extends the lease of all runs and asks what runs and what ended.

    Attributes:
        last_seen: Ends up to this number are acknowledged.
        until_ms: End of the lease on the worker's clock; 0 leaves it.
        wait_ms: How long the answer waits for an end.
    """

    last_seen: int
    until_ms: int = 0
    wait_ms: int = 0
