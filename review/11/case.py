"""Workers crash and come back while jobs run; no run of a task ends `failed`."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from cell import HOST, Cell, Job, main  # noqa: E402

WORKERS = 24
CPU = 16000
CRASHING = 3  # 12.5% of the workers; the site's largest share is 14%
DOWN_S = 0.5  # the site's longest is 4.5 s
GAPS_S = (0.6, 1.6)  # one group of workers is down at a time
TRAFFIC_BEFORE_S = 2
JOBS_PER_S = 8
TRAFFIC_S = 30
ROUTE = {
    "name": "plain", "host": HOST, "pathPrefix": "/plain/", "service": "work",
    "priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250,
}  # fmt: skip


def make(seed):
    return Cell(Path(__file__).parent, seed, nodes=3, workers=WORKERS, cpu=CPU, routes=[ROUTE])


async def case(cell, trouble):
    clients = cell.clients()
    busy = asyncio.Lock()
    jobs = []

    async def hand_in():
        step = {"count": cell.rng.randint(2, 10), "cpu": 5000, "memMb": 1000, "estimateMs": 640}
        job = Job(cell.rng, [step], ROUTE, 0.64)
        jobs.append(job)
        async with busy:
            await cell.submit(clients, job)

    async def crashes():
        rng = random.Random(cell.seed)
        await asyncio.sleep(TRAFFIC_BEFORE_S)
        until = cell.record.now + TRAFFIC_S - 2 * TRAFFIC_BEFORE_S
        while cell.record.now < until:
            for name in rng.sample(sorted(set(cell.workers) - cell.lost), CRASHING):
                cell.spawn(cell.crash(name, DOWN_S))
            await asyncio.sleep(rng.uniform(*GAPS_S))

    if trouble:
        cell.spawn(crashes())
    for _ in range(JOBS_PER_S * TRAFFIC_S):
        cell.spawn(hand_in())
        await asyncio.sleep(1 / JOBS_PER_S)
    await asyncio.sleep(14)
    broken = []
    for job in jobs:
        if job.accepted_at is None:
            continue
        await cell.look(clients, job)
        ends = [it.how for task in job.tasks() for it in cell.ledger.runs.get(task, [])]
        if job.state == "failed" and "failed" not in ends:
            broken.append(
                f"LOST: job {job.id}, accepted and cancelled by nobody, is shown as failed; "
                f"its runs ended {', '.join(map(str, ends))}"
            )
    return broken


main(case, make)
