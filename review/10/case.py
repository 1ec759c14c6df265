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
AFTER_RUN_S = 6 + 3
STALLED_S = 3
STEP_CPU = 3400
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
        step = {"count": 1, "cpu": STEP_CPU, "memMb": 6900, "longRunning": True, "requires": "b"}
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
        stalled_from = None
        stalled = 0.0
        again = None
        while time.monotonic() - since < WATCHED_S:
            now = time.monotonic()
            if self.is_running():
                stalled_from = None
                again = again or now
                if now - since > 1:
                    break
            elif not self.fits_twice(special):
                stalled_from = None
            else:
                stalled_from = stalled_from or now
                last = max((at for at, _, task, _, _ in self.ends if task == TASK), default=since)
                if now >= max(last + AFTER_RUN_S, since + CALM_S, stalled_from + STALLED_S):
                    stalled = now - since
            await asyncio.sleep(0.02)
        traffic.cancel()
        self.say(f"{TASK} runs {(again or now) - since:.1f} s after the workers were sound again")
        if stalled:
            return [f"LOST: {TASK} is to last and did not run for {stalled:.1f} s of calm, with room"]
        return []

    def fits_twice(self, special):
        """Tells whether the task fits twice on the workers with its label, and under half of
        all capacity is in use."""
        free = [it.cpu - sum(self.cpu_of(task) for task in it.running) for it in special]
        return sum(it // STEP_CPU for it in free) >= 2 and self.has_room_twice({"cpu": STEP_CPU})


cell.main(Case)
