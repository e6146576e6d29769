"""A job that lasts has a task on each worker, one of which may be unavailable. A worker is lost for good; while its task is
away, an urgent job is handed in."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS = 8
LASTING, URGENT = "5c0e7a21d94b36f8", "00bb87a21d94b5c0"
MAY_MISS = 1
NOTICE_S = standin.BOUNDS["notice_ms"] / 1000


async def case(fleet):
    whole = {"cpu": 32000, "mem_mb": 65536, "gpu": 8}
    step = {"count": WORKERS, **whole, "estimated_ms": 60000, "long_running": True, "may_miss": MAY_MISS}
    await fleet.submit(LASTING, {}, [step])
    await asyncio.sleep(6)
    if len(fleet.starts) != WORKERS:
        raise standin.Unable("not all tasks run")
    lost = None
    if standin.TROUBLE:
        # Not the worker of task 0, so that the claim does not depend on which one is preempted.
        lost = next(worker for worker in fleet.workers if f"{LASTING}.0.0.5" in worker.running)
        lost.crash()
    await asyncio.sleep(5.5)
    await fleet.submit(URGENT, {"work_ms": 2000}, [{"count": 1, **whole, "estimated_ms": 2000}], standin.URGENT)
    await asyncio.sleep(12)
    return unavailable(fleet)


def unavailable(fleet):
    """AVAIL: stops of tasks at work on sound workers while MAY_MISS others of the step are away."""
    broken = []
    for at, task, run, worker, how in fleet.ends:
        if not task.startswith(LASTING) or how != "stopped":
            continue
        since = next(start for start, t, r, w, _ in fleet.starts if (t, r, w) == (task, run, worker))
        if at - since < 0.5:  # was not at work yet
            continue
        away = []
        for other in (f"{LASTING}.0.0.{index}" for index in range(WORKERS)):
            ends = [(end, h) for end, t, _, _, h in fleet.ends if t == other and end < at]
            starts = [start for start, t, *_ in fleet.starts if t == other and start < at - 0.3]
            if other == task or not ends or max(starts) > max(ends)[0]:
                continue
            end, h = max(ends)
            if h == "stopped" or at - end >= NOTICE_S:
                away.append(f"{other} ({h} {at - end:.1f} s before)")
        if len(away) >= MAY_MISS:
            broken.append(f"AVAIL: {task} is stopped on {worker} at {at:.1f} s, while away: {', '.join(away)}")
    return broken


standin.main(FOLDER, [["a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
