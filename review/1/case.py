"""A job that was accepted with 200 is unknown after the leader is killed."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world as worlds  # noqa: E402

STEPS = [{"count": 2, "cpu": 500, "mem-mb": 256, "estimate-ms": 900}]
SUBMIT_S = 12.0
PLAIN_JOBS = 20


class LateAnswers:
    """The store leaves two writes without an answer and does them late.

    The first is a write of one row only. The second is the first write with a
    new job after the first was done. Both are done at most 6 s after they
    arrived, if their conditions still hold.
    """

    def __init__(self, world):
        self.world = world
        self.first_s = None
        self.first = None
        self.second_job = ""
        self.writes = 0

    def take(self, number, body):
        """Holds a write back, or returns None to do it as usual."""
        del number
        self.writes += self.first is not None
        if self.first is None:
            return self._take_first(body)
        due = time.monotonic() - self.first_s >= 1.2
        job = _new_job_in(body)
        if self.second_job or not due or not job:
            return None
        self._do("first", self.first, time.monotonic() - self.first_s)
        self._held_back(body)
        self.world.record.add(
            "share_without_answer", of_writes=self.writes + 1, held_back=2
        )
        self.second_job = job
        loop = asyncio.get_running_loop()
        loop.call_later(5.5, self._do, "second", body, 5.5)
        return _no_answer()

    def _take_first(self, body):
        tables = [row["table"] for row in body["puts"]]
        if tables != ["tenure"] or len(body["expected-rev"]) != 1:
            return None
        self.first, self.first_s = body, time.monotonic()
        self._held_back(body)
        return _no_answer()

    def _held_back(self, body):
        rows = [f"{row['table']}/{row['key']}" for row in body["puts"]]
        self.world.record.add("write_without_answer", rows=rows)

    def _do(self, which, body, after_s):
        conflict = self.world.store.apply(body)
        self.world.record.add(
            "late_write",
            which=which,
            after_s=round(after_s, 2),
            condition_held=conflict is None,
        )


def _new_job_in(body):
    """Returns a job that a write with a heartbeat adds; empty for none."""
    if body["puts"][0]["table"] != "tenure":
        return ""
    return next(
        (
            row["key"]
            for row in body["expected-rev"]
            if row["table"] == "jobs" and row["ver"] == 0
        ),
        "",
    )


async def _no_answer():
    await asyncio.sleep(10)


async def _submit_jobs(world, daemon, late, accepted):
    """Hands jobs in, one after the other, until the store was disrupted."""

    async def submit():
        job = worlds.new_job()
        if await world.submit(job, STEPS, [1.0], daemon):
            accepted.append(job)

    calls = []
    end_s = time.monotonic() + SUBMIT_S
    while time.monotonic() < end_s:
        if late is None or late.first is not None:
            calls.append(asyncio.ensure_future(submit()))
        await asyncio.sleep(0.15)
        if late.second_job if late else len(calls) >= PLAIN_JOBS:
            break
    return calls


async def _disrupt(world, late, leader, accepted):
    """Kills the leader once it has accepted the job of the second write."""
    assert late.second_job, "the store saw no write that fits"
    for _ in range(20):
        if late.second_job in accepted:
            break
        await asyncio.sleep(0.1)
    world.store.intercept = None
    known = late.second_job in accepted
    world.record.add("acknowledged", job=late.second_job, yes=known)
    if known:
        world.daemons[leader].kill()
    await asyncio.sleep(6)
    if known:
        world.daemons[leader].start()


async def _case(world, trouble):
    leader = world.leader()
    other = world.daemons[(leader + 1) % 3]
    late = None
    if trouble:
        late = LateAnswers(world)
        world.store.intercept = late.take
    accepted = []
    calls = await _submit_jobs(world, other, late, accepted)
    if trouble:
        await _disrupt(world, late, leader, accepted)
    await asyncio.gather(*calls)
    await world.wait_ready()
    await asyncio.sleep(3)
    lost = []
    for job in accepted:
        status, _ = await world.call(other, "GET", worlds.PREFIX + job)
        if status == 410:
            lost.append(job)
    if lost:
        return f"LOST: {lost} of {len(accepted)} accepted jobs answered 410"
    return ""


worlds.main(_case)
