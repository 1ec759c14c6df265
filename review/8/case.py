"""Two workers crash one after the other, each soon after it has begun a task of a job."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

JOB = "5c0e7a21d94b36f8"
CRASHES = 2
DOWN_S = 1.0
AFTER_START_S = 0.3


class Case(cell.Case):
    WORKERS = 8  # one of them at a time is an eighth of the service's workers

    def work_of(self, worker, task, run, call):
        return 4.8, "done"

    def run_of(self, number):
        """Returns the worker on which the first task of the job began its run `number`."""
        return next((w for _, w, task, run, _ in self.starts
                     if task == f"{JOB}.0.0.0" and run == number), None)  # fmt: skip

    async def script(self):
        await self.submit(JOB, [{"count": 3, "cpu": 2700, "memMb": 7800, "estimateMs": 4800}])
        if self.trouble:
            for n in range(1, CRASHES + 1):
                await self.wait_for(lambda: self.run_of(n) is not None, 10, "no start")
                await asyncio.sleep(AFTER_START_S)
                worker = self.run_of(n)
                worker.crash()
                await asyncio.sleep(DOWN_S)
                await worker.start()
        state = None
        for _ in range(40):
            state = await self.state(JOB)
            if state in ("completed", "failed", "cancelled"):
                break
            await asyncio.sleep(0.5)
        failed = [it for it in self.ends if it[4] == "failed"]
        self.say(f"runs that ended failed: {len(failed)}; maxAttempts 4; state {state}")
        if state in ("failed", "cancelled"):
            return [f"LOST: job {JOB} is shown as {state}, and none of its runs has ended failed"]
        if state != "completed":
            return [f"LOST: job {JOB} is still {state}"]
        return []


cell.main(Case)
