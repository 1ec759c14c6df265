"""A task that lasts loses three workers for good, one after the other."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
LOSSES = 3
AFTER_START_S = 1.5
# LOST: "from 6 s after its last run", "for 3 s" in which nothing runs, and these and
# the 4 s before them are calm.
ALLOWED_S = 6 + 3
WATCHED_S = 40


class Case(cell.Case):
    WORKERS = 16  # one of them at a time is a sixteenth of the service's workers
    MAX_START_S = 20

    def work_of(self, worker, task, run, call):
        return 1e9, "done"

    def last_run(self):
        return max((run, w) for _, w, task, run, _ in self.starts if task == TASK)

    def is_running(self):
        return any(TASK in it.running for it in self.workers if it.up)

    async def script(self):
        await self.submit(JOB, [{"count": 1, "cpu": 3400, "memMb": 6900, "longRunning": True}])
        await self.wait_for(self.is_running, 10, "no start")
        if self.trouble:
            for n in range(LOSSES):
                if not await self.wait_for(self.is_running, self.MAX_START_S):
                    break
                await asyncio.sleep(AFTER_START_S)
                next(it for it in self.workers if it.up and TASK in it.running).crash()
        else:
            await asyncio.sleep(LOSSES * 6)
        ended = time.monotonic()
        broken = []
        again = await self.wait_for(self.is_running, WATCHED_S)
        gap = time.monotonic() - ended
        up = [it for it in self.workers if it.up]
        free = sum(it.cpu for it in up)
        self.say(f"runs again: {again}, {gap:.1f} s after its last run; {len(up)} workers are up, "
                 f"{free} of cpu free")  # fmt: skip
        if gap > ALLOWED_S:
            broken.append(f"LOST: {TASK} is to last and did not run for {gap:.1f} s, with room for it")
        state = await self.state(JOB)
        if state != "running":
            broken.append(f"LOST: job {JOB} is shown as {state}")
        return broken


cell.main(Case)
