"""Runs the job controller in the rounds of the control lease holder."""

from baobabdoor import base
from baobabdoor import control
from baobabdoor import fleet_api
from baobabdoor import jobs
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import settings

# Fraction of a worker's resources that jobs may use. The rest is reserved for
# requests, so that archive and audit jobs do not slow down responses on a race
# day.
JOB_RESOURCE_FRACTION = 0.5


class JobControllerAdapter:
    """Adapts `jobs.JobController` to the interface of control rounds.

    Args:
        controller: The job controller.
        region: Region whose control lease is the fencing token of writes.
        timers: Timer service.
    """

    def __init__(
        self,
        controller: jobs.JobController,
        region: str,
        timers: base.TimerService,
    ):
        self.controller = controller
        self.region = region
        self.timers = timers
        self.epoch_ = 0
        self.log_ = observability.get_logger("jobs")

    async def run_round(self, control_round: control.ControlRound) -> None:
        """Runs one round of job control."""
        if control_round.epoch != self.epoch_:
            self.controller.reset()
            self.epoch_ = control_round.epoch
        fence = fleet_api.Condition(
            ownership.control_key(self.region), control_round.epoch
        )
        refusal = await self.controller.step(
            fence,
            job_workers(control_round.snapshot, control_round.deployment),
            control_round.deployment.teams,
            self.timers.now_s(),
            crashed_workers(control_round.snapshot),
        )
        if refusal is not None:
            self.log_.warning("round ended early", refusal=str(refusal))


def job_workers(
    snapshot: ownership.FleetSnapshot, deployment: settings.Deployment
) -> list[jobs.Worker]:
    """Returns the VMs in service as workers with the share for jobs."""
    workers = []
    for vm in snapshot.vms.values():
        pool = deployment.pools.get(vm.pool)
        if pool is None or not vm.in_service:
            continue
        resources = jobs.Resources(
            pool.cores * JOB_RESOURCE_FRACTION,
            pool.memory_gb * JOB_RESOURCE_FRACTION,
            pool.accelerators,
        )
        workers.append(jobs.Worker(vm.vm_id, vm.pool, resources))
    return workers


def crashed_workers(snapshot: ownership.FleetSnapshot) -> frozenset[str]:
    """Returns the VMs that went down without a planned operation."""
    phases = (ownership.Phase.SERVING, ownership.Phase.FAILED)
    return frozenset(
        vm.vm_id
        for vm in snapshot.vms.values()
        if vm.phase in phases and not vm.reachable and not vm.leaving
    )
