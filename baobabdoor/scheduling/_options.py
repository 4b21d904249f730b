"""Options of the scheduler and the events that it emits."""

import math

import attrs

from baobabdoor.scheduling import _order_handling


@attrs.frozen
class Event:
    """A decision or change of state, for the log.

    Attributes:
        name: Name of the event.
        fields: Details, such as the inputs of the decision.
    """

    name: str
    fields: dict


@attrs.define
class Options:
    """Limits set by the platform.

    Attributes:
        stop_timeout_s: Maximum time that a stop takes.
        lease_s: Lease that every order to a worker requests.
        max_lease_s: Longest lease that a worker accepts.
        status_s: Retention time of the state of an ended job.
        move_s: Duration of a machine's move to another pool.
        maintenance_s: Duration of a machine's maintenance.
        max_entry_age_s: Maximum age of a worker's entry in the list for a
            start, since its capacity may have shrunk since.
        row_bytes: Maximum size of a row of the store.
        quota_window_s: Window over which a customer's submissions are counted.
        quota_slack: Jobs that a customer may submit in a window beyond its
            weight.
        job_bytes: Maximum memory of all accepted jobs, in bytes.
        move_rate: Machine orders per second that the platform accepts.
        forecasts_turns: Whether pools are sized ahead of the peaks that were
            learned from earlier ones. Off by default: it has not served callers
            better on the deployments on which it was measured.
        scores_workers: Whether placement prefers workers whose runs have
            neither failed nor been late.
    """

    stop_timeout_s: float = 0.4
    lease_s: float = _order_handling.LEASE_S
    max_lease_s: float = 6.0
    status_s: float = 120.0
    move_s: float = 1.5
    maintenance_s: float = 2.0
    max_entry_age_s: float = math.inf
    row_bytes: int = 65_536
    quota_window_s: float = 5.0
    quota_slack: int = 20
    job_bytes: float = math.inf
    move_rate: float = 64.0
    forecasts_turns: bool = False
    scores_workers: bool = False
