"""Resources of the runs of an ended job, which are kept in its row.

The row of an ended job has no steps. Its runs may go on until they are stopped,
and the next leader counts them against the quota of its customer.
"""

import attrs

from baobabdoor import customers

# Largest amount in a row; sums of such amounts are finite as `float`.
MAX_AMOUNT = 2**70


@attrs.frozen
class EndedRuns:
    """Resources of the runs of an ended job.

    Attributes:
        steps: Request of a task of each step.
        running: Total of the runs that may exist when the row is written.
    """

    steps: tuple[customers.ResourceLimit, ...] = ()
    running: customers.ResourceLimit = customers.ResourceLimit()

    def encode(self) -> dict:
        """Returns the content of the row's field."""
        return {
            "steps": [list(attrs.astuple(step)) for step in self.steps],
            "running": list(attrs.astuple(self.running)),
        }


def collect(spec, tasks) -> EndedRuns:
    """Returns the resources of the runs that a job's tasks may have."""
    # A job may end before the workers have reported its inherited runs.
    running = []
    for task in tasks:
        possible = int(task.inherited and not task.done)
        running += [task.spec] * max(len(task.runs), possible)
    return EndedRuns(
        tuple(_request(step) for step in spec.steps),
        customers.ResourceLimit(
            sum(step.cpu_milli for step in running),
            sum(step.memory_mb for step in running),
            sum(step.gpus for step in running),
        ),
    )


def decode(content: dict) -> EndedRuns:
    """Decodes the field of a row.

    Raises:
        AttributeError, KeyError, TypeError, ValueError: If the field is not in
            the format of `EndedRuns.encode`.
    """
    steps = tuple(_decode_request(step) for step in content["steps"])
    return EndedRuns(steps, _decode_request(content["running"]))


def _request(step) -> customers.ResourceLimit:
    return customers.ResourceLimit(step.cpu_milli, step.memory_mb, step.gpus)


def _decode_request(values: list[int]) -> customers.ResourceLimit:
    if not all(
        type(value) is int and 0 <= value <= MAX_AMOUNT for value in values
    ):
        raise ValueError(f"expected resources, found {values!r:.80}")
    return customers.ResourceLimit(*values)
