"""An order to start gets no answer and is carried out 7 s later. Its worker crashes in between and starts again under its
id."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS = 8
JOB, LONG, SHORT = "5c0e7a21d94b36f8", "00bb87a21d94b5c0", "00bb87a21d94b5c1"
TASK = f"{JOB}.0.0.0"
LATE_S = 7.0  # "carried out 2 to 12 s later"
CRASH_S = 3.0
DOWN_S = 0.5


async def case(fleet):
    held = []

    async def hold_first_start(worker, target, order):
        """Holds the first order to start the task back on its way."""
        if held or target != "/-/run-start" or order["task"] != TASK:
            return None
        held.append(worker)
        fleet.record.line(f"order  {target} {TASK} run {order['run']} to {worker.id} is not answered, and is late")

        async def later():
            await asyncio.sleep(LATE_S)
            answer = await worker.carry_out(target, worker.id, order, worker.born)
            fleet.record.line(f"order  {target} {TASK} run {order['run']} arrives at {worker.id} late: {answer}")

        asyncio.ensure_future(later())
        return worker

    async def crash():
        while not held:
            await asyncio.sleep(0.01)
        await asyncio.sleep(CRASH_S)
        held[0].crash()
        await asyncio.sleep(DOWN_S)
        await held[0].begin()

    if standin.TROUBLE:
        fleet.hook = hold_first_start
        trouble = asyncio.ensure_future(crash())
    # Other work, which leaves more room on the first worker once its short task has ended.
    for job, work, gpu in ((LONG, 60000, 2), (SHORT, 2500, 4)):
        other = {"count": 1, "cpu": 4000, "mem_mb": 8192, "gpu": gpu, "estimated_ms": work}
        await fleet.submit(job, {"work_ms": work}, [other])
        await asyncio.sleep(0.3)
    step = {"count": 1, "cpu": 13000, "mem_mb": 34000, "gpu": 4, "estimated_ms": 10000}
    await fleet.submit(JOB, {"work_ms": 12000}, [step])
    for _ in range(40):
        await asyncio.sleep(1)
        if await fleet.state(JOB) == "completed":
            break
    await asyncio.sleep(12)  # what still runs then ends
    if standin.TROUBLE:
        await trouble
    return standin.twice(fleet)


standin.main(FOLDER, [["a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
