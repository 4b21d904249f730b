"""Runs the job controller in the rounds of the entry that holds control."""

from baobabdoor import base
from baobabdoor import control
from baobabdoor import fleet_api
from baobabdoor import jobs
from baobabdoor import observability
from baobabdoor import ownership
from baobabdoor import settings

# Part of a worker that jobs may use; the rest serves requests, so that archive
# and audit work does not slow down race-day answers.
JOB_SHARE = 0.5


class JobPart:
    """Adapts `jobs.JobController` to the rounds of control.

    Args:
        controller: The job controller.
        region: Region whose control lease fences the writes.
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

    async def act(self, control_round: control.ControlRound) -> None:
        """Carries out one round of job control."""
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
        )
        if refusal is not None:
            self.log_.warning("round ended early", refusal=str(refusal))


def job_workers(
    snapshot: ownership.FleetSnapshot, deployment: settings.Deployment
) -> list[jobs.Worker]:
    """Returns the VMs in service as workers for jobs."""
    workers = []
    for vm in snapshot.vms.values():
        pool = deployment.pools.get(vm.pool)
        if pool is None or not vm.in_service:
            continue
        size = jobs.Resources(
            pool.cores * JOB_SHARE,
            pool.memory_gb * JOB_SHARE,
            pool.accelerators,
        )
        workers.append(jobs.Worker(vm.vm_id, vm.pool, size))
    return workers
