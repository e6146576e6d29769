"""A job that lasts, of which each task fails some seconds after each start, on workers that are all sound. Ordinary jobs are
handed in beside it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS = 8
FAILING = "5c0e7a21d94b36f8"
TASKS = 8
ORDINARY = [f"00bb87a21d94b5c{number}" for number in range(6)]
# LOST: "for 3 s ... The last holds for each task that lasts, from 6 s after its last run".
LIMIT_S = 9.0
FINISH_S = standin.BOUNDS["finish_s"]


def step(count, **more):
    """An eighth of a worker in each resource."""
    return {"count": count, "cpu": 4000, "mem_mb": 8192, "gpu": 1, "estimated_ms": 2000, **more}


def gaps(fleet, task, begin, now):
    """Times in which nothing of a task ran."""
    events = [(at, "start") for at, t, *_ in fleet.starts if t == task]
    events += [(at, "end") for at, t, *_ in fleet.ends if t == task]
    away = begin
    for at, what in sorted(events) + [(now, "now")]:
        if what in ("start", "now") and away is not None:
            yield away, at
        away = at if what == "end" else None


async def case(fleet):
    spec = {"fail_ms": [3000, 5000]} if standin.TROUBLE else {}
    await fleet.submit(FAILING, spec, [step(TASKS, anti_affinity=1, long_running=True)])
    begin = fleet.record.now()
    await asyncio.sleep(36)
    handed_in = {}
    for job in ORDINARY:
        await fleet.submit(job, {"work_ms": 2000}, [step(1)])
        handed_in[job] = fleet.record.now()
        await asyncio.sleep(3)
    traffic_end = fleet.record.now()
    await asyncio.sleep(FINISH_S + 6)
    now = fleet.record.now()
    broken = []
    state = await fleet.state(FAILING)
    if state != "running":
        broken.append(f"LOST: job {FAILING} is shown as {state}")
    longest = 0.0
    for index in range(TASKS):
        task = f"{FAILING}.0.0.{index}"
        for away, at in gaps(fleet, task, begin, now):
            longest = max(longest, at - away)
            if at - away > LIMIT_S:
                broken.append(f"LOST: nothing of {task} ran from {away:.1f} to {at:.1f} s, {at - away:.1f} s; "
                              f"all {WORKERS} workers are sound and have room for it many times over")
    waits = []
    for job in ORDINARY:
        away, at = next(gaps(fleet, f"{job}.0.0.0", handed_in[job], now))
        waits.append(at - away)
        if at - max(away, traffic_end + FINISH_S) > 3:
            broken.append(f"LOST: nothing of the ordinary job {job} ran from {away:.1f} to {at:.1f} s, although the "
                          f"traffic had ended at {traffic_end:.1f} s")
    text = (f"longest time without a run of a task that lasts: {longest:.1f} s; ordinary jobs waited "
            f"{', '.join(f'{wait:.1f}' for wait in waits)} s")
    fleet.record.line(text)
    print(text)
    return broken


standin.main(FOLDER, [["a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
