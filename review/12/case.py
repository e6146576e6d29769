"""On three of eight workers, which have a label, small tasks run that last. A gang is handed in that needs these three workers
whole. Then one of the small tasks fails once, and an ordinary job is handed in that needs the label too."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-4"))
sys.dont_write_bytecode = True
import standin  # noqa: E402

WORKERS, LABELLED = 8, 3
LASTING, FAILING = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
GANG, ORDINARY = "00bb87a21d94b5c0", "00bb87a21d94b5c1"
TASK = f"{FAILING}.0.0.0"
# LOST: "for 3 s ... The last holds for each task that lasts, from 6 s after its last run".
LIMIT_S = 9.0
FINISH_S = standin.BOUNDS["finish_s"]
FAILS_MS = 20000


def step(count, gpu, **more):
    """Tasks that need `gpu` eighths of a worker in each resource."""
    need = {"cpu": 4000 * gpu, "mem_mb": 8192 * gpu, "gpu": gpu}
    return {"count": count, **need, "estimated_ms": 4000, "requires": "b", **more}


async def case(fleet):
    await fleet.submit(LASTING, {}, [step(LABELLED, 1, long_running=True, anti_affinity=1)])
    fails = {"fail_ms": [FAILS_MS, FAILS_MS], "fail_runs": 1}
    await fleet.submit(FAILING, fails, [step(1, 1, long_running=True)])
    await asyncio.sleep(6)
    if len(fleet.starts) != LABELLED + 1:
        raise standin.Unable("not all tasks run")
    if standin.TROUBLE:
        await fleet.submit(GANG, {"work_ms": 4000}, [step(LABELLED, 8, gang=True)], key=standin.OTHER_KEY)
    await asyncio.sleep(2)
    await fleet.submit(ORDINARY, {"work_ms": 4000}, [step(1, 1)])
    traffic_end = fleet.record.now()
    await asyncio.sleep(60)
    now = fleet.record.now()
    broken = []
    events = [(at, "start") for at, task, *_ in fleet.starts if task == TASK]
    events += [(at, "end") for at, task, *_ in fleet.ends if task == TASK]
    away = None
    idle = "it needs 1 accelerator, and 20 are idle on the 3 workers with its label"
    for at, what in sorted(events) + [(now, "now")]:
        if what in ("start", "now") and away is not None and at - away > LIMIT_S:
            broken.append(f"LOST: nothing of {TASK} ran from {away:.1f} to {at:.1f} s, {at - away:.1f} s; {idle}")
        away = at if what == "end" else None
    started = min((at for at, task, *_ in fleet.starts if task.startswith(ORDINARY)), default=now)
    if started - (traffic_end + FINISH_S) > 3:
        broken.append(f"LOST: nothing of the ordinary job {ORDINARY} ran from {traffic_end:.1f} to {started:.1f} s; {idle}")
    return broken


standin.main(FOLDER, [["b" if number < LABELLED else "a", f"r1-{number // 4}"] for number in range(WORKERS)], case)
