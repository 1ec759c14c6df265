"""A worker refuses starts for some seconds; gangs that need it are never placed again."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

from cell import Cell, main  # noqa: E402

CAPACITY = {"cpu": 64000, "memMb": 131072, "gpu": 0}
GANG = {
    "count": 2, "cpu": 11000, "memMb": 1000, "estimateMs": 1000, "gang": True, "requires": "b",
}  # fmt: skip
WORKERS = 12  # one of them is disturbed
JOBS, REFUSING_S = 2, 6.5
WAIT_S = 30.0  # after the worker takes starts again


def length_of(spec, task):
    return 1.0


async def case(trouble):
    workers = [
        (f"i-0000{n:02d}", CAPACITY, ["b" if n == 0 else "a", f"r1-{n // 8}"])
        for n in range(WORKERS)
    ]
    async with Cell(FOLDER, 7, workers, length_of) as cell:
        worker = cell.workers["i-000000"]
        if trouble:
            worker.busy = True
            cell.record(f"worker {worker.name} refuses all starts")
        begun = cell.record.now()
        await asyncio.sleep(0.2)
        jobs = [cell.new_job() for _ in range(JOBS)]
        await asyncio.gather(*(cell.must_submit(it, "a gang", [GANG]) for it in jobs))
        await asyncio.sleep(max(0, begun + REFUSING_S - cell.record.now()))
        worker.busy = False
        sound_at = cell.record.now()
        cell.record(f"worker {worker.name} takes starts")
        left = list(jobs)
        while left and cell.record.now() < sound_at + WAIT_S:
            await asyncio.sleep(0.5)
            left = [job for job in left if await cell.state(job) != "completed"]
        broken = []
        for job in left:
            runs = [run for task, runs in cell.runs.items() if task.startswith(job) for run in runs]
            last = max((it.started for it in runs), default=None)
            # Only jobs that have had nothing running since long before `finish_s`.
            if last is not None and last > sound_at:
                continue
            broken.append(
                f"{job} was accepted and is {await cell.state(job)} {WAIT_S:.0f} s after "
                f"{worker.name} takes starts again, which is empty; its last start was "
                + ("never" if last is None else f"at {last:.3f}")
            )
        return broken


if __name__ == "__main__":
    sys.exit(main(case))
