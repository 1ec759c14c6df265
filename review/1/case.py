"""Over 500 tasks of one worker end while the store is down."""

import asyncio
import sys
import zlib
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from cell import Cell, main, started_twice  # noqa: E402

JOBS, TASKS = 80, 16
STEP = {"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": 3000}
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 0}
OUTAGE_S = 4.2


def length_of(spec, task):
    """From 2 to 4 s, the same for each run of a task."""
    return 2.0 + 2.0 * (zlib.crc32(task.encode()) % 1000) / 1000


async def case(trouble):
    workers = [(f"i-00000{n}", CAPACITY, ["a", f"r1-{n}"]) for n in range(4)]
    async with Cell(FOLDER, 1, workers, length_of) as cell:
        jobs = [cell.new_job() for _ in range(JOBS)]
        await asyncio.gather(*(cell.must_submit(it, f"spec {it}", [STEP]) for it in jobs))
        until = cell.record.now() + 1.5
        while cell.record.now() < until and len(cell.runs) < len(jobs) * TASKS:
            await asyncio.sleep(0.01)
        running = {name: len(it.running) for name, it in cell.workers.items()}
        cell.record(f"{len(jobs)} jobs accepted, running: {running}")
        if trouble:
            cell.record("the store is down")
            cell.store.mode = "reset"
            await asyncio.sleep(OUTAGE_S)
            cell.store.mode = "up"
            cell.record("the store is back")
        while cell.record.now() < 45:
            jobs = [it for it in jobs if await cell.state(it) != "completed"]
            if not jobs:
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(2)
        return started_twice(cell.runs)


if __name__ == "__main__":
    sys.exit(main(case))
