"""The worker of a task that lasts is lost for good. The other workers in the rack of the task's data are busy for a while; all
workers of the other rack are idle."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS = 8
LASTING, BUSY = "5c0e7a21d94b36f8", "00bb87a21d94b5c0"
TASK = f"{LASTING}.0.0.0"
# LOST: "for 3 s ... The last holds for each task that lasts, from 6 s after its last run ... if the 3 s and the 4 s before
# them are calm". The loss of the worker counts as a disruption for contact_ms.
LIMIT_S = max(6.0 + 3.0, standin.BOUNDS["contact_ms"] / 1000 + 4.0 + 3.0)


async def case(fleet):
    whole = {"cpu": 16000, "mem_mb": 32768, "gpu": 8, "affinity": "r1-0"}
    await fleet.submit(LASTING, {}, [{"count": 1, **whole, "estimated_ms": 30000, "long_running": True}])
    await fleet.submit(BUSY, {"work_ms": 40000}, [{"count": 3, **whole, "estimated_ms": 40000}])
    await asyncio.sleep(6)
    if len(fleet.starts) != 4:
        raise standin.Unable("not all tasks run")
    if standin.TROUBLE:
        next(worker for worker in fleet.workers if TASK in worker.running).crash()
    await asyncio.sleep(50)
    now = fleet.record.now()
    events = [(at, "start") for at, task, *_ in fleet.starts if task == TASK]
    events += [(at, "end") for at, task, *_ in fleet.ends if task == TASK]
    broken = []
    away = None
    for at, what in sorted(events) + [(now, "now")]:
        if what in ("start", "now") and away is not None:
            text = f"nothing of {TASK} ran from {away:.1f} to {at:.1f} s, {at - away:.1f} s"
            print(text)
            if at - away > LIMIT_S:
                broken.append(f"LOST: {text}; the 4 workers of rack r1-1 are sound and idle")
        away = at if what == "end" else None
    state = await fleet.state(LASTING)
    if state != "running":
        broken.append(f"LOST: the job is shown as {state}")
    return broken


standin.main(FOLDER, [["a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
