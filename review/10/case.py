"""A worker refuses all starts for some seconds; the queue's jobs that wait for it
are not counted as pending."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

JOBS = 6
GREY_S = 6.5
# MIXED: accepted over `visible_ms` + 2 s before, and not begun.
OLD_S = 3 + 2


class Grey(cell.Worker):
    """Worker that answers starts with 503 while it is unhealthy; holds are served."""

    unhealthy = False

    def _order(self, path, call):
        if self.unhealthy and path == "/-/run-start":
            self.case.say(f"{self.name} refuses {call['task']} run {call['run']} with 503")
            return cell.reply(503, {})
        return super()._order(path, call)


class Case(cell.Case):
    WORKERS = 11

    async def pending(self, node):
        status, content = await self.call("GET", cell.PREFIX, node=node)
        return json.loads(content)["pending"] if status == 200 else None

    async def script(self):
        # One worker of twelve is of the kind that the jobs require.
        special = Grey(self, "w11", self.CPU, "r1-1")
        special.kind = "b"
        self.workers.append(special)
        await special.start()
        await asyncio.sleep(4)
        special.unhealthy = self.trouble
        began = time.monotonic()
        accepted = {}
        for n in range(JOBS):
            job = f"{n + 1:016x}"
            await self.submit(job, [{"count": 1, "cpu": 1300, "memMb": 2600, "estimateMs": 800,
                                     "requires": "b"}])  # fmt: skip
            accepted[job] = time.monotonic()
        broken = []
        while time.monotonic() - began < GREY_S - 0.3:
            for node in self.nodes:
                asked = time.monotonic()
                begun = {task.split(".")[0] for _, _, task, _, _ in self.starts}
                old = [it for it, at in accepted.items() if asked - at > OLD_S and it not in begun]
                shown = await self.pending(node)
                if shown is not None and shown < len(old) / 2:
                    broken.append(f"MIXED: {node.name} gives {shown} as pending; {len(old)} jobs "
                                  f"were accepted over {OLD_S} s before and have not begun")  # fmt: skip
            await asyncio.sleep(0.5)
        special.unhealthy = False
        for job in accepted:
            for _ in range(60):
                if await self.state(job) in ("completed", "failed"):
                    break
                await asyncio.sleep(0.5)
        return broken


cell.main(Case)
