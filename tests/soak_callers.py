"""Callers of soak tests, which submit, query and cancel jobs."""

import asyncio
import json
import math
import random
import time

import soak_oracle
import soak_platform

from baobabdoor import scheduling
from baobabdoor.standin import _walk

ATTEMPTS = 4
REQUEST_TIMEOUT_S = 3.0
# Part of it in which a response can still arrive after the deadline that the
# request names.
RESPONSE_TIME_S = 0.2
# The same for requests with a deadline of their own; generous, so that a late
# response is told apart from none.
LATE_RESPONSE_S = 1.0
MAX_STEPS = 3
# Time for jobs to end after the last fault, apart from the duration of runs
# that outlast a lease: each step of a job may have one.
COMPLETION_TIMEOUT_S = 25.0 + MAX_STEPS * soak_platform.LONG_RUN_RANGE_S[1]
# Share of submissions that race with a cancel at another daemon, and bounds of
# its delay.
RACE_SHARE = 0.06
RACE_DELAY_RANGE_S = (0.0, 0.03)
# Share of submissions whose caller cancels at another daemon if there is no
# response in time, bounds of that time, and the share of these that first close
# their connection.
IMPATIENT_SHARE = 0.6
PATIENCE_RANGE_S = (0.3, 2.0)
ABANDON_SHARE = 0.5
# Share of accepted jobs that are cancelled soon, and bounds of the time to it.
CANCEL_ACTIVE_SHARE = 0.15
CANCEL_ACTIVE_RANGE_S = (0.0, 2.5)
# Share of ended jobs that are cancelled as soon as a caller sees their end.
CANCEL_ENDED_SHARE = 0.4
# Share of the cancels of accepted jobs without an answer that their callers
# repeat, and bounds of the time between two attempts.
REPEATED_CANCEL_SHARE = 0.7
REPEAT_PAUSE_RANGE_S = (0.1, 0.4)
# Share of jobs with a task that crashes the workers that start it.
CRASHING_SHARE = 0.04
# Share of steps whose tasks produce checkpoints.
CHECKPOINTING_SHARE = 0.75


class Connection:
    """A persistent connection of a caller to one daemon.

    Attributes:
        sent_s: Time at which the last request was sent as a whole; infinite if
            it was not.
        busy: Whether a request waits for its response.
    """

    def __init__(self, address: str):
        self.host, _, self.port = address.partition(":")
        self.streams = None
        self.sent_s = math.inf
        self.busy = False

    async def open(self) -> None:
        """Opens the connection unless it is open."""
        if self.streams is not None and self.streams[0].at_eof():
            self.close()
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.host, self.port)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_s: float | None = None,
    ):
        """Returns status and content; status 0 without a complete response.

        Args:
            method: Method of the request.
            path: Path of the request.
            body: Content of the request.
            deadline_s: Time that the request gives the daemon. Default: a
                little less than `REQUEST_TIMEOUT_S`.
        """
        self.busy = True
        self.sent_s = math.inf
        timeout_s = REQUEST_TIMEOUT_S
        if deadline_s is None:
            deadline_s = REQUEST_TIMEOUT_S - RESPONSE_TIME_S
        else:
            timeout_s = deadline_s + LATE_RESPONSE_S
        try:
            return await asyncio.wait_for(
                self._send_request(method, path, body, deadline_s), timeout_s
            )
        except TimeoutError:
            self.close()
            return 0, {"error": "timeout"}
        except (OSError, EOFError, ValueError) as error:
            sent = self.streams is not None
            self.close()
            return 0, {"error": "cut" if sent else "connect", "why": str(error)}
        finally:
            self.busy = False

    async def _send_request(
        self, method: str, path: str, body: bytes, deadline_s: float
    ):
        await self.open()
        reader, writer = self.streams
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {soak_platform.HOST}\r\n"
            f"X-Deadline-Ms: {round(deadline_s * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body
        )
        await writer.drain()
        self.sent_s = time.monotonic()
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        text = await reader.readexactly(int(fields["content-length"]))
        if fields.get("connection") == "close":
            self.close()
        return int(head[0].split()[1]), json.loads(text or b"{}")

    def close(self) -> None:
        """Closes the connection; the next request opens another."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None


class Callers:
    """Part of `soak.Soak`, which holds the state: its callers."""

    def _choose_daemon(self, generator: random.Random) -> int:
        """Returns the number of the daemon that gets a request."""
        return generator.randrange(len(self.daemons))

    async def _run_caller(self, number: int) -> None:
        generator = random.Random(f"{self.caller_seed}-{number}")
        connections = [Connection(daemon.front) for daemon in self.daemons]
        job_ids: list[str] = []
        while time.monotonic() < self.end_s:
            draw = generator.random()
            if draw < 0.3 or not job_ids:
                job_ids.append(self._new_job(generator))
                await self._submit(job_ids[-1], connections, generator)
            elif draw < 0.9:
                await self._query_state(
                    generator.choice(job_ids), connections, generator
                )
            else:
                await self._cancel(
                    generator.choice(job_ids), connections, generator
                )
            await asyncio.sleep(generator.uniform(0.02, 0.2))
        for connection in connections:
            connection.close()

    def _new_job(self, generator: random.Random) -> str:
        job_id = f"{generator.getrandbits(64):016x}"
        # Apart from `generator`, so that a seed keeps its sequence of requests.
        checkpoint_random = random.Random(f"{job_id}-checkpoints")
        steps = tuple(
            scheduling.StepSpec(
                generator.randint(1, 4),
                cpu_milli=generator.choice((200, 400, 1100)),
                after=(number - 1,) if number else (),
                checkpointing=checkpoint_random.random() < CHECKPOINTING_SHARE,
            )
            for number in range(generator.randint(1, MAX_STEPS))
        )
        self.specs[job_id] = scheduling.JobSpec(
            job_id, soak_platform.QUEUE, _walk.payload_of(job_id), steps
        )
        if generator.random() < CRASHING_SHARE:
            self.crashing_tasks.add(f"{job_id}.0.0.0")
        return job_id

    async def _send_request(
        self, method, job_id, connections, generator, body=b"", number=None
    ):
        if number is None:
            number = self._choose_daemon(generator)
        connection = connections[number]
        status, content = await connection.request(
            method, soak_platform.PREFIX + job_id, body
        )
        self.responses[method, status or content["error"]] += 1
        if content.get("error") == "cut":
            self._check_interrupted_request(number, job_id, connection.sent_s)
        return status, content | {"daemon": number}

    def _body(self, job_id: str) -> bytes:
        """Returns the content of the request that submits a job."""
        return json.dumps(
            {
                "spec": self.specs[job_id].payload,
                "steps": [
                    {
                        "count": step.task_count,
                        "cpu": step.cpu_milli,
                        "estimate-ms": _estimate_ms(step),
                        "after": list(step.after),
                        "checkpointing": step.checkpointing,
                    }
                    for step in self.specs[job_id].steps
                ],
            }
        ).encode()

    async def _submit(self, job_id, connections, generator) -> None:
        body = self._body(job_id)
        # Apart from `generator`, so that a seed keeps its sequence of requests.
        overtaking_random = random.Random(f"{job_id}-overtaking")
        for _ in range(ATTEMPTS):
            number = self._choose_daemon(generator)
            submission = asyncio.ensure_future(
                self._send_request(
                    "POST", job_id, connections, generator, body, number
                )
            )
            if await self._overtake(
                submission, job_id, connections, overtaking_random, number
            ):
                return
            status, content = await submission
            self._observe_submission(job_id, status, content)
            if status == 200:
                self._cancel_later(job_id)
                return
            await asyncio.sleep(generator.uniform(0.1, 0.4))

    async def _overtake(
        self, submission, job_id, connections, generator, number
    ) -> bool:
        """Cancels a share of the jobs before their submission is answered.

        Args:
            submission: Pending request to submit the job.
            job_id: Identifier of the job.
            connections: Connections of the caller to all daemons.
            generator: Random generator of the job.
            number: Daemon to which the submission was sent.

        Returns:
            Whether the job was cancelled, so that it is not submitted again.
        """
        draw = generator.random()
        if draw < RACE_SHARE:
            patience_s = generator.uniform(*RACE_DELAY_RANGE_S)
        elif draw < RACE_SHARE + IMPATIENT_SHARE:
            patience_s = generator.uniform(*PATIENCE_RANGE_S)
        else:
            return False
        pending = (await asyncio.wait([submission], timeout=patience_s))[1]
        if not pending:
            return False
        self.overtaken.add(job_id)
        if draw >= RACE_SHARE and generator.random() < ABANDON_SHARE:
            submission.cancel()
            connections[number].close()
            self.unconfirmed.add(job_id)
        others = [
            other for other in range(len(self.daemons)) if other != number
        ]
        for _ in range(ATTEMPTS):
            await self._cancel(
                job_id, connections, generator, generator.choice(others)
            )
            if self.cancel_times_s[job_id] < math.inf:
                break
        await asyncio.wait([submission])
        if submission.cancelled():
            return True
        self._observe_submission(job_id, *submission.result())
        return True

    def _observe_submission(
        self, job_id: str, status: int, content: dict
    ) -> None:
        if status == 200:
            self.accepted.add(job_id)
            self.accepted_s.setdefault(job_id, time.monotonic())
        elif status not in (429, 503) and content.get("error") != "connect":
            self.unconfirmed.add(job_id)

    def _cancel_later(self, job_id: str) -> None:
        """Cancels a share of the accepted jobs while they are active."""
        generator = random.Random(f"{job_id}-active-cancel")
        if generator.random() >= CANCEL_ACTIVE_SHARE:
            return

        async def cancel():
            await asyncio.sleep(generator.uniform(*CANCEL_ACTIVE_RANGE_S))
            connections = [Connection(daemon.front) for daemon in self.daemons]
            await self._cancel(job_id, connections, generator)
            for connection in connections:
                connection.close()

        self.pending_cancels.append(asyncio.ensure_future(cancel()))

    async def _query_state(self, job_id, connections, generator) -> None:
        was_accepted = job_id in self.accepted
        status, content = await self._send_request(
            "GET", job_id, connections, generator
        )
        if status == 410 and was_accepted:
            self.oracle.add("LOST", f"accepted job {job_id} is unknown")
        elif status == 200:
            self._observe_state(job_id, content["state"], content["daemon"])
            ended = content["state"] in soak_oracle.FINAL_STATES
            if ended and self.cancel_random.random() < CANCEL_ENDED_SHARE:
                await self._cancel(job_id, connections, generator)

    async def _cancel(
        self, job_id, connections, generator, number=None
    ) -> None:
        """Cancels a job; a share of cancels without an answer is repeated."""
        sent_s = time.monotonic()
        was_accepted = job_id in self.accepted
        status = await self._send_cancel(job_id, connections, generator, number)
        if (
            was_accepted
            and status not in (200, 410)
            and job_id not in self.repeated_cancels_s
            and self.repeat_random.random() < REPEATED_CANCEL_SHARE
        ):
            self.repeated_cancels_s[job_id] = sent_s
            self.pending_cancels.append(
                asyncio.ensure_future(self._repeat_cancel(job_id))
            )

    async def _send_cancel(
        self, job_id, connections, generator, number=None
    ) -> int:
        """Sends a request to cancel a job and returns the status."""
        # A cancellation without a response may still be applied.
        self.cancel_times_s.setdefault(job_id, float("inf"))
        was_accepted = job_id in self.accepted
        if was_accepted:
            self.cancelled_accepted.add(job_id)
        status, _ = await self._send_request(
            "DELETE", job_id, connections, generator, b"", number
        )
        if status == 410 and was_accepted:
            self.oracle.add("UNASKED", f"{job_id} is unknown to its cancel")
        # Callers also take "no such job" as the end of a job, even if the
        # submission is still on its way.
        if status in (200, 410):
            self.repeated_cancels_s.pop(job_id, None)
            now_s = time.monotonic()
            self.cancel_times_s[job_id] = min(
                self.cancel_times_s[job_id], now_s
            )
        return status

    async def _repeat_cancel(self, job_id: str) -> None:
        """Repeats a cancel until it counts as acknowledged."""
        connections = [Connection(daemon.front) for daemon in self.daemons]
        while job_id in self.repeated_cancels_s:
            pause_s = self.repeat_random.uniform(*REPEAT_PAUSE_RANGE_S)
            await asyncio.sleep(pause_s)
            await self._send_cancel(job_id, connections, self.repeat_random)
            self._count_unanswered_cancels(time.monotonic())
        for connection in connections:
            connection.close()

    async def _wait_for_cancels(self) -> None:
        """Waits for cancels that are pending or repeated."""
        while self.pending_cancels:
            await self.pending_cancels.pop()

    async def _wait_for_jobs(self) -> None:
        """Waits until all accepted jobs have ended."""
        end_s = time.monotonic() + COMPLETION_TIMEOUT_S
        generator = random.Random(self.caller_seed)
        connections = [Connection(daemon.front) for daemon in self.daemons]
        while time.monotonic() < end_s:
            open_jobs = self.accepted - set(self.final_states)
            rules = {violation.rule for violation in self.oracle.violations}
            if not open_jobs or "LOST" in rules:
                break
            for job_id in sorted(open_jobs):
                await self._query_state(job_id, connections, generator)
            await asyncio.sleep(0.2)
        for connection in connections:
            connection.close()


def _estimate_ms(step: scheduling.StepSpec) -> int:
    if step.checkpointing:
        return int(500 * sum(soak_platform.CHECKPOINTED_WORK_RANGE_S))
    return 700
