"""A client cancels a job that runs each ten minutes for a year."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

SCHEDULED = "5c0e7a21d94b36f8"
EACH_TEN_MINUTES_FOR_A_YEAR = 6 * 24 * 365
EACH_TEN_MINUTES_FOR_A_DAY = 6 * 24
BEFORE, AFTER = 5, 10
FINISH_S = 14  # the site's finish_s


def peak_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return next(int(it.split()[1]) // 1024 for it in text.splitlines() if it.startswith("VmHWM:"))


class Case(cell.Case):
    WORKERS = 8
    STEPS = [
        {"count": 1, "cpu": 1300, "memMb": 2600, "estimateMs": 800},
        {"count": 1, "cpu": 1300, "memMb": 2600, "estimateMs": 800, "dependsOn": [0]},
    ]

    async def plain_jobs(self, first, n):
        for k in range(n):
            job = f"{0x1000 + first + k:016x}"
            await self.submit(job, self.STEPS)
            self.plain.append(job)
            await asyncio.sleep(0.5)

    async def script(self):
        self.plain = []
        times = EACH_TEN_MINUTES_FOR_A_YEAR if self.trouble else EACH_TEN_MINUTES_FOR_A_DAY
        due = int((time.time() + 3600) * 1000)
        await self.submit(SCHEDULED, self.STEPS, repeatCount=times, startAtMs=due,
                          intervalMs=600 * 1000)  # fmt: skip
        await self.plain_jobs(0, BEFORE)
        await asyncio.sleep(4)
        before = [await self.state(it) for it in self.plain]
        status, _ = await self.call("DELETE", cell.PREFIX + SCHEDULED)
        if status not in (200, 410):
            raise cell.CannotRun(f"the cancel was answered {status}")
        await self.plain_jobs(BEFORE, AFTER)
        await asyncio.sleep(FINISH_S)
        stalled = await self.find_stalled(self.plain)
        states = [await self.state(it) for it in self.plain]
        done = states.count("completed")
        self.say(f"before the cancel {before}; appends over the limits of a call: "
                 f"{self.store.refused}, largest {self.store.largest} bytes")  # fmt: skip
        self.say(f"peak memory in MB: {[peak_mb(it.process) for it in self.nodes]}")
        self.say(f"plain jobs: {len(states)} accepted, {done} completed, {len(stalled)} with "
                 f"nothing running for 3 s: {states}")  # fmt: skip
        if stalled:
            return [f"LOST: of {len(states)} accepted plain jobs {len(stalled)} have nothing running "
                    f"for 3 s, {FINISH_S} s after the end of the traffic"]  # fmt: skip
        return []


cell.main(Case)
