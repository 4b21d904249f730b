"""The part of the controller that places jobs."""

from baobabdoor import base
from baobabdoor import control
from baobabdoor import jobs
from baobabdoor import observability
from baobabdoor import platform


class JobPart:
    """Runs the job controller in each round while this entry controls.

    Args:
        controller: Places jobs and follows their tasks.
        region: Region, whose control row fences every write.
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

    async def act(self, control_round: control.ControlRound) -> None:
        """Follows tasks and carries out the planner's actions."""
        if control_round.epoch != self.epoch_:
            # Another entry may have controlled in between.
            self.controller.reset()
            self.epoch_ = control_round.epoch
        if not control_round.is_acting():
            return
        fence = platform.Condition(
            f"control/{self.region}", control_round.epoch
        )
        refusal = await self.controller.step(
            fence,
            self._workers(control_round),
            control_round.deployment.teams,
            self.timers.now_s(),
        )
        if refusal is not None:
            observability.get_logger("jobs").warning(
                "round not completed", refusal=str(refusal)
            )

    def _workers(
        self, control_round: control.ControlRound
    ) -> list[jobs.Worker]:
        workers = []
        for vm in control_round.snapshot.vms.values():
            pool = control_round.deployment.pools.get(vm.pool)
            if pool is not None and vm.in_service:
                size = jobs.Size(pool.cores, pool.memory_gb, pool.accelerators)
                workers.append(jobs.Worker(vm.vm_id, vm.pool, size))
        return workers
