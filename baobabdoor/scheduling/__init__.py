"""Scheduling of batch jobs: admission, placement and run tracking."""

from baobabdoor.scheduling._advice import AdviceRequest
from baobabdoor.scheduling._autoscaler import PoolAutoscaler
from baobabdoor.scheduling._estimates import DurationModel
from baobabdoor.scheduling._job import MAX_TASKS
from baobabdoor.scheduling._job import Job
from baobabdoor.scheduling._job import Run
from baobabdoor.scheduling._job import Task
from baobabdoor.scheduling._job import decode_job
from baobabdoor.scheduling._lease import CLOCK_DRIFT_FACTOR
from baobabdoor.scheduling._maintenance import MaintenanceOrder
from baobabdoor.scheduling._maintenance import MaintenanceTarget
from baobabdoor.scheduling._maintenance import Phase
from baobabdoor.scheduling._maintenance import WavePlan
from baobabdoor.scheduling._moves import Move
from baobabdoor.scheduling._options import Event
from baobabdoor.scheduling._options import Options
from baobabdoor.scheduling._order_handling import LEASE_S
from baobabdoor.scheduling._orders import HoldOrder
from baobabdoor.scheduling._orders import PaceOrder
from baobabdoor.scheduling._orders import StartOrder
from baobabdoor.scheduling._orders import StopOrder
from baobabdoor.scheduling._orders import WorkerOrder
from baobabdoor.scheduling._pass_pacing import PassPacing
from baobabdoor.scheduling._persistence import Snapshot
from baobabdoor.scheduling._rejection import Rejection
from baobabdoor.scheduling._scheduler import Scheduler
from baobabdoor.scheduling._types import FINAL_STATES
from baobabdoor.scheduling._types import AdvicePolicy
from baobabdoor.scheduling._types import Configuration
from baobabdoor.scheduling._types import EndEntry
from baobabdoor.scheduling._types import JobSpec
from baobabdoor.scheduling._types import JobState
from baobabdoor.scheduling._types import MachineRecord
from baobabdoor.scheduling._types import MachineState
from baobabdoor.scheduling._types import OrderOutcome
from baobabdoor.scheduling._types import OrderResult
from baobabdoor.scheduling._types import PoolSettings
from baobabdoor.scheduling._types import Queue
from baobabdoor.scheduling._types import RequestLimits
from baobabdoor.scheduling._types import RunEntry
from baobabdoor.scheduling._types import StepSpec
from baobabdoor.scheduling._types import Wave
from baobabdoor.scheduling._types import WorkerRecord
from baobabdoor.scheduling._types import WorkerReport
from baobabdoor.scheduling._worker import Worker

__all__ = [
    "CLOCK_DRIFT_FACTOR",
    "AdvicePolicy",
    "Configuration",
    "MaintenanceTarget",
    "DurationModel",
    "EndEntry",
    "Event",
    "FINAL_STATES",
    "HoldOrder",
    "Job",
    "JobSpec",
    "JobState",
    "LEASE_S",
    "MAX_TASKS",
    "MachineRecord",
    "MachineState",
    "Options",
    "Move",
    "OrderOutcome",
    "OrderResult",
    "PaceOrder",
    "PassPacing",
    "Phase",
    "PoolAutoscaler",
    "PoolSettings",
    "AdviceRequest",
    "Queue",
    "Rejection",
    "RequestLimits",
    "Run",
    "RunEntry",
    "Scheduler",
    "Snapshot",
    "StartOrder",
    "StepSpec",
    "StopOrder",
    "Task",
    "MaintenanceOrder",
    "Wave",
    "WavePlan",
    "Worker",
    "WorkerOrder",
    "WorkerRecord",
    "WorkerReport",
    "decode_job",
]
