"""A job that lasts has a task on each of 16 workers, at most one on each. One worker goes down and up by turns, twice."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS = 16
JOB = "5c0e7a21d94b36f8"
# `srv_flap`: share = 0.067, gap_s = 1.6, for_s = 5.6.
GAP_S, FOR_S, PAUSE_S = 1.6, 5.6, 6.0
ROUNDS = 2


async def case(fleet):
    step = {"count": WORKERS, "cpu": 4000, "mem_mb": 8192, "gpu": 1, "estimated_ms": 60000, "anti_affinity": 1,
            "long_running": True}
    await fleet.submit(JOB, {}, [step])
    await asyncio.sleep(6)
    if len(fleet.starts) != WORKERS:
        raise standin.Unable("not all tasks run")
    worker = fleet.workers[0]
    for _ in range(ROUNDS):
        begin = fleet.record.now()
        while standin.TROUBLE and fleet.record.now() - begin < FOR_S - GAP_S:
            worker.crash()
            await asyncio.sleep(GAP_S)
            await worker.begin()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(PAUSE_S)
    fleet.record.line(f"at work: {sum(len(worker.running) for worker in fleet.workers)} tasks")
    broken = []
    for _ in range(10):
        await asyncio.sleep(2)
        state = await fleet.state(JOB)
        if state not in ("running", "queued"):
            failed = sum(how == "failed" for *_, how in fleet.ends)
            broken.append(f"LOST: the job is shown as {state}; {failed} runs ended failed, "
                          f"{sum(how == 'crashed' for *_, how in fleet.ends)} with their worker")
            break
    return broken


standin.main(FOLDER, [["a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
