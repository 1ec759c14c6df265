"""Two workers fail all that they start; when they are sound again, a task that lasts
and requires their label is not started on them for long."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"
GREY_S = 6.5
TIMES = 3
PAUSE_S = 4
# LOST: "from 6 s after its last run", 3 s in which nothing runs; these and the 4 s
# before them are calm.
CALM_S = 4 + 3
WATCHED_S = 45


class Grey(cell.Worker):
    failing = False


class Case(cell.Case):
    WORKERS = 22
    FRAGILE = 2  # of 24 workers: 0.083

    def work_of(self, worker, task, run, call):
        if getattr(worker, "failing", False):
            return 0.3, "failed"
        return (1e9, "done") if task == TASK else (0.8, "done")

    def is_running(self):
        return any(TASK in it.running for it in self.workers)

    async def small_jobs(self):
        """Small jobs of the same queue that may run on the same workers."""
        step = {"count": 1, "cpu": 1300, "memMb": 2600, "estimateMs": 800, "requires": "b"}
        n = 0
        while True:
            n += 1
            await self.submit(f"{n:016x}", [step])
            await asyncio.sleep(0.7)

    async def script(self):
        special = [Grey(self, f"s{n}", self.CPU, "r1-9") for n in range(self.FRAGILE)]
        for it in special:
            it.kind = "b"
            self.workers.append(it)
            await it.start()
        await asyncio.sleep(4)
        step = {"count": 1, "cpu": 3400, "memMb": 6900, "longRunning": True, "requires": "b"}
        await self.submit(JOB, [step])
        await self.wait_for(self.is_running, 10, "no start")
        traffic = asyncio.create_task(self.small_jobs())
        await asyncio.sleep(2)
        for n in range(TIMES if self.trouble else 0):
            self.say("workers s0 and s1 fail all that they start; a task that lasts fails there")
            for it in special:
                it.failing = True
                if TASK in it.running:
                    it.running[TASK].ends, it.running[TASK].how = time.monotonic(), "failed"
            await asyncio.sleep(GREY_S)
            for it in special:
                it.failing = False
            self.say("workers s0 and s1 are sound again")
            if n + 1 < TIMES:
                await self.wait_for(self.is_running, 20, "the task does not run in between")
                await asyncio.sleep(PAUSE_S)
        since = time.monotonic()
        gap = 0.0
        while time.monotonic() - since < WATCHED_S:
            if self.is_running():
                gap = time.monotonic() - since
                if all(not it.failing for it in special) and time.monotonic() - since > 0.5:
                    break
            await asyncio.sleep(0.02)
        else:
            gap = WATCHED_S
        traffic.cancel()
        last = [at for at, _, task, _, _ in self.ends if task == TASK]
        self.say(f"{TASK} runs {gap:.1f} s after the workers were sound again; its last run ended "
                 f"{time.monotonic() - max(last):.1f} s ago" if last else f"{TASK} ran throughout")  # fmt: skip
        if last and gap > CALM_S and time.monotonic() - max(last) > 9:
            return [f"LOST: {TASK} is to last and did not run for {gap:.1f} s of calm, with room for it"]
        return []


cell.main(Case)
