"""Sends the orders of a planning pass and applies their results."""

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import platform
from baobabdoor import scheduling
from baobabdoor.dispatch import _start_limiter

LOG = observability.get_logger("controller")
OUTCOMES = scheduling.OrderOutcome


class OrderSender:
    """Sends orders to workers and questions to the adviser.

    Args:
        controller: Controller of the term.
    """

    def __init__(self, controller):
        self.controller = controller
        self.start_limiter = _start_limiter.StartLimiter()

    async def send(self, order: scheduling.WorkerOrder) -> None:
        """Sends an order and applies its result."""
        result = await self.call_worker(order)
        if isinstance(order, scheduling.StartOrder):
            self.controller.daemon.metrics.count(
                "run_starts_total", {"outcome": result.outcome.value}
            )
            self.controller.scheduler.observe_start(
                order, result, platform.boot_time_s()
            )
        elif isinstance(order, scheduling.PaceOrder):
            self.controller.scheduler.observe_pace(order, result)
        elif isinstance(order, scheduling.StopOrder):
            self.controller.scheduler.observe_stop(order, result)
            if result.outcome is OUTCOMES.ACCEPTED:
                await self.controller.poller.poll_worker(order.worker_id)
        if result.outcome is not OUTCOMES.ACCEPTED:
            self.controller.request_plan()

    async def call_worker(
        self, order: scheduling.WorkerOrder
    ) -> scheduling.OrderResult:
        """Sends an order; an error counts as an order that may have arrived."""
        try:
            if isinstance(order, scheduling.StartOrder):
                return await self.start_limiter.run(
                    order.worker_id,
                    lambda: self.controller.worker_client.start(
                        order, lambda: self.controller.may_start(order)
                    ),
                )
            if isinstance(order, scheduling.PaceOrder):
                return await self.controller.worker_client.pace(order)
            return await self.controller.worker_client.stop(order)
        except Exception as error:
            self.controller.faults.observe_call("order", order.worker_id, error)
            return scheduling.OrderResult(
                OUTCOMES.UNKNOWN, detail=f"{error!r:.80}"
            )

    async def ask_advice(self, question: scheduling.AdviceRequest) -> None:
        """Asks the adviser about a step and applies the answer."""
        try:
            answer = await self.controller.daemon.advice_client.ask(question)
        except Exception as error:
            self.controller.faults.observe_call(
                "advice", question.step, error, "step"
            )
            answer = base.Refusal(base.Reason.UNKNOWN_RESULT, "advice.ask")
        tickets, valid_s = None, 0.0
        if isinstance(answer, base.Refusal):
            LOG.warning(
                "advice_missing", step=question.step, reason=str(answer)
            )
        else:
            tickets, valid_s = answer
        self.controller.scheduler.advice.observe(
            question, tickets, valid_s, platform.boot_time_s()
        )
        self.controller.request_plan()
