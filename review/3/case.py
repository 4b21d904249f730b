"""Tasks run again after they ended done: more than 500 ends at once."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import world as worlds  # noqa: E402

COUNT = 700
STEPS = [{"count": COUNT, "cpu": 20, "mem-mb": 20, "estimate-ms": 5000}]
CUT_S = 2.5


async def _start_all(world, job, daemon):
    """Hands the job in and waits until all of its tasks have started."""
    assert await world.submit(job, STEPS, [5.0], daemon)
    begun_s = time.monotonic()
    while len(world.starts) < COUNT:
        assert time.monotonic() - begun_s < 4.5, "the starts take too long"
        await asyncio.sleep(0.02)
    after_s = round(time.monotonic() - begun_s, 2)
    world.record.add("all_started", after_s=after_s)


async def _cut_off_worker(world):
    """Cuts the worker off while the tasks end, less long than its lease."""
    await asyncio.sleep(max(0.0, world.starts[0][0] + 4.7 - time.monotonic()))
    (loaded,) = [worker for worker in world.workers if worker.running]
    world.record.add("worker_cut_off", worker=loaded.worker_id)
    loaded.cut = True
    cut_s = time.monotonic()
    while len(world.ends) < COUNT and time.monotonic() - cut_s < CUT_S:
        await asyncio.sleep(0.02)
    loaded.cut = False
    after_s = round(time.monotonic() - cut_s, 2)
    world.record.add("cut_healed", after_s=after_s)


def _started_again(world):
    """Returns the tasks that started after a `done` that was noted."""
    noted = {
        (task, run) for _, _, task, run, how in world.seen if how == "done"
    }
    done_s = {}
    for at_s, _, task, run, how in world.ends:
        if how == "done" and (task, run) in noted:
            done_s.setdefault(task, at_s)
    return [
        task
        for at_s, _, task, _ in world.starts
        if task in done_s and at_s > done_s[task]
    ]


async def _case(world, trouble):
    leader = world.daemons[world.leader()]
    job = worlds.new_job()
    await _start_all(world, job, leader)
    if trouble:
        await _cut_off_worker(world)
    end_s = time.monotonic() + 20
    content = {}
    while time.monotonic() < end_s and content.get("state") != "completed":
        _, content = await world.call(
            leader, "GET", worlds.PREFIX + job, quiet=True
        )
        await asyncio.sleep(0.2)
    await asyncio.sleep(4)
    world.record.add("state", content=content)
    twice = _started_again(world)
    if twice:
        return f"TWICE: {len(twice)} tasks started again after they ended done"
    return ""


worlds.main(_case, workers=6)
