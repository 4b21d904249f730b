"""What a job planner asks the controller to do."""

import attrs


@attrs.frozen
class Start:
    """Starts a new attempt of a queued job on a worker."""

    job_id: str
    worker_id: str


@attrs.frozen
class Throttle:
    """Limits a running job to a share of its processors."""

    job_id: str
    share: float


@attrs.frozen
class Unthrottle:
    """Lifts the limit of a running job."""

    job_id: str


@attrs.frozen
class Checkpoint:
    """Saves a running job's progress and queues it again."""

    job_id: str


@attrs.frozen
class Stop:
    """Ends a running job and queues it again; its progress is lost."""

    job_id: str


@attrs.frozen
class Park:
    """Takes a job that can never run out of the queue."""

    job_id: str
    reason: str


@attrs.frozen
class Cancel:
    """Carries out a requested cancellation."""

    job_id: str


Action = Start | Throttle | Unthrottle | Checkpoint | Stop | Park | Cancel
