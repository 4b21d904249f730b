"""Job scheduling: durable acceptance, placement, quotas and preemption."""

from baobabdoor.jobs._actions import Action
from baobabdoor.jobs._actions import Cancel
from baobabdoor.jobs._actions import Checkpoint
from baobabdoor.jobs._actions import Park
from baobabdoor.jobs._actions import Start
from baobabdoor.jobs._actions import Stop
from baobabdoor.jobs._actions import Throttle
from baobabdoor.jobs._actions import Unthrottle
from baobabdoor.jobs._controller import JobController
from baobabdoor.jobs._failure_tracker import FailureTracker
from baobabdoor.jobs._planner import FirstFitPlanner
from baobabdoor.jobs._planner import JobPlanner
from baobabdoor.jobs._planner import PriorityPlanner
from baobabdoor.jobs._planner import Worker
from baobabdoor.jobs._resources import ResourceEstimator
from baobabdoor.jobs._resources import Resources
from baobabdoor.jobs._routes import make_routes
from baobabdoor.jobs._service import JobService
from baobabdoor.jobs._types import Job
from baobabdoor.jobs._types import JobSpec
from baobabdoor.jobs._types import JobState
from baobabdoor.jobs._types import parse_spec

__all__ = [
    "Action",
    "Cancel",
    "Checkpoint",
    "FailureTracker",
    "FirstFitPlanner",
    "Job",
    "JobController",
    "JobPlanner",
    "JobService",
    "JobSpec",
    "JobState",
    "Park",
    "PriorityPlanner",
    "ResourceEstimator",
    "Resources",
    "Start",
    "Stop",
    "Throttle",
    "Unthrottle",
    "Worker",
    "make_routes",
    "parse_spec",
]
