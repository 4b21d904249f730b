"""Paths of the caller port that the entry serves itself."""

import asyncio
from collections.abc import Callable
import json

from tornado import httputil
from tornado import web

from baobabdoor import base
from baobabdoor import observability
from baobabdoor import requests
from baobabdoor import transport
from baobabdoor.entry import _caller_request

JOBS_STEP = "entry.jobs"
# Tornado requires a host, which HTTP/1.0 does not. No handler uses it.
HOST = "localhost"
LOG = observability.get_logger("entry")

Handler = Callable[[_caller_request.CallerRequest, bytes], None]


class LocalPaths:
    """Maps paths to handlers.

    Args:
        ready: Returns a refusal while the entry accepts no requests.
        issue_ticket: Returns a new ticket, or a refusal.
        job_routes: Tornado routes below `/v1/jobs`. Default: none; such
            requests get 404.
    """

    def __init__(
        self,
        ready: Callable[[], base.Refusal | None],
        issue_ticket: Callable[[], str | base.Refusal],
        job_routes: list | None = None,
    ):
        self.ready = ready
        self.issue_ticket = issue_ticket
        self.job_routes = job_routes
        self.handlers_: dict[str, Handler] = {
            "/healthz": self._healthz,
            "/readyz": self._readyz,
            "/v1/tickets": self._tickets,
        }
        self.jobs_handler_: transport.ApplicationHandler | None = None
        if job_routes is not None:
            self.jobs_handler_ = transport.ApplicationHandler(
                web.Application(job_routes, log_function=lambda handler: None)
            )
        self.tasks_: set[asyncio.Task] = set()

    def find_handler(self, target: str) -> Handler | None:
        """Returns the handler of a request target; None for other paths."""
        handler = self.handlers_.get(target)
        if handler is not None:
            return handler
        path = target.partition("?")[0]
        if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
            return self._jobs
        return self.handlers_.get(path)

    def _healthz(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        request.respond_locally(_json_response(200, {"healthy": True}))

    def _readyz(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        refusal = self.ready()
        if refusal is None:
            request.respond_locally(_json_response(200, {"ready": True}))
        else:
            _refuse(request, refusal)

    def _tickets(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        if request.start_line.method != "POST":
            request.respond_locally(_json_response(405, {"expected": "POST"}))
            return
        ticket = self.issue_ticket()
        if isinstance(ticket, base.Refusal):
            _refuse(request, ticket)
        else:
            request.respond_locally(_json_response(201, {"ticket": ticket}))

    def _jobs(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        if self.jobs_handler_ is None:
            _refuse(request, base.Refusal(base.Reason.NOT_FOUND, JOBS_STEP))
            return
        task = asyncio.ensure_future(self._serve_jobs(request, body))
        self.tasks_.add(task)
        task.add_done_callback(self.tasks_.discard)

    async def _serve_jobs(
        self, request: _caller_request.CallerRequest, body: bytes
    ) -> None:
        method, target, version = request.start_line
        path = target.partition("?")[0]
        headers = request.headers
        if version == "HTTP/1.0" and "Host" not in headers:
            headers = headers.copy()
            headers["Host"] = HOST
        try:
            reply = await self.jobs_handler_.serve(
                transport.Request(method, path, "", headers, body)
            )
        except httputil.HTTPInputError as error:
            refusal = base.Refusal(
                base.Reason.BAD_REQUEST, JOBS_STEP, detail=str(error)
            )
            _refuse(request, refusal)
            return
        except Exception as error:
            # Nothing else would answer the request.
            LOG.exception("request_failed", path=path, error=str(error))
            reply = transport.Reply(500)
        request.respond_locally(
            _caller_request.LocalResponse(
                reply.status, reply.body, reply.content_type
            )
        )


def _refuse(
    request: _caller_request.CallerRequest, refusal: base.Refusal
) -> None:
    request.respond(requests.Failure(requests.Outcome.NOT_RUN, refusal))


def _json_response(status: int, fields: dict) -> _caller_request.LocalResponse:
    return _caller_request.LocalResponse(status, json.dumps(fields).encode())
