"""Actions that a job planner returns to the controller."""

import attrs


@attrs.frozen
class Start:
    """Starts a new attempt of a queued job on a worker."""

    job_id: str
    worker_id: str


@attrs.frozen
class Throttle:
    """Limits a running job to a share of its processor cores."""

    job_id: str
    share: float


@attrs.frozen
class Unthrottle:
    """Removes the limit of a throttled job."""

    job_id: str


@attrs.frozen
class Checkpoint:
    """Checkpoints a running job and requeues it."""

    job_id: str


@attrs.frozen
class Stop:
    """Stops a running job and requeues it; its progress is lost."""

    job_id: str


@attrs.frozen
class Park:
    """Removes a job that can never run from the queue."""

    job_id: str
    reason: str


@attrs.frozen
class Cancel:
    """Cancels a job whose cancellation was requested."""

    job_id: str


Action = Start | Throttle | Unthrottle | Checkpoint | Stop | Park | Cancel
