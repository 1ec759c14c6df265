"""Ten jobs that run daily, six times each, wait for their first day."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

SCHEDULED_JOBS = 10
TIMES = 6  # as `times` of the site's herd-reconcile and vet-feed
NIGHTLY = "/nightly/"
SCHEDULED = "5c0e7a21d94b36f"  # and one more digit
PLAIN_JOBS = 15
FINISH_S = 14  # the site's finish_s
VALID_MS = 2000
GRANTED = 0.7


def share_of(text):
    """Maps a text to a number from 0 to 1 that never changes."""
    n = 2166136261
    for byte in text.encode():
        n = (n ^ byte) * 16777619 & 0xFFFFFFFF
    return (n * 2654435761 & 0xFFFFFFFF) / 0xFFFFFFFF


class Worker(cell.Worker):
    """Worker that starts only what carries a valid ticket."""

    def _order(self, path, call):
        if path == "/-/run-start":
            step = call["task"].rsplit(".", 1)[0]
            until = self.case.tickets.get((step, self.name, call.get("ticket")), 0)
            if until < time.monotonic():
                self.case.say(f"{self.name} rejects {call['task']}: ticket")
                return self._answer(409, reason="ticket")
        return super()._order(path, call)


class Case(cell.Case):
    # As many as the site has.
    NODES, WORKERS, WORKER = 9, 48, Worker
    # The policies of vet-feed (priority 1) and herd-reconcile (priority 2) of the site.
    FIRST = {"decideMs": 450.0, "eachMs": 6.5, "validMs": VALID_MS}
    SECOND = {"decideMs": 420.0, "eachMs": 6.1, "validMs": VALID_MS}

    def route(self):
        return {"priority": 2, "maxAttempts": 4, "slackFactor": 2.2, "targetLatencyMs": 1200,
                "advice": self.SECOND}  # fmt: skip

    def more_routes(self):
        return [{"name": "nightly", "host": cell.HOST, "pathPrefix": NIGHTLY, "service": "work",
                 "priority": 1, "maxAttempts": 4, "slackFactor": 2.2, "targetLatencyMs": 2500,
                 "advice": self.FIRST}]  # fmt: skip

    def settings(self):
        return {"advice": f"127.0.0.1:{self.advice.port}"}

    async def advise(self, method, path, query, headers, body):
        call = json.loads(body)
        step, names = call["step"], call["workers"]
        self.calls.append(step)
        policy = self.FIRST if step.startswith(SCHEDULED) else self.SECOND
        await asyncio.sleep((policy["decideMs"] + policy["eachMs"] * len(names)) / 1000)
        rows = []
        for name in names:
            if share_of(step + name) < GRANTED:
                ticket = f"{step}.{name}.{len(self.calls)}"
                self.tickets[step, name, ticket] = time.monotonic() + VALID_MS / 1000
                rows.append([name, ticket])
        return cell.reply(200, {"granted": rows, "validMs": VALID_MS})

    async def prepare(self):
        self.calls, self.tickets = [], {}
        self.advice = cell.Server(self.advise)
        await self.advice.open()
        await super().prepare()

    async def script(self):
        due = int((time.time() + 3600) * 1000)
        step = {"count": 6, "cpu": 2700, "memMb": 7800, "estimateMs": 4800}
        for n in range(SCHEDULED_JOBS if self.trouble else 0):
            await self.submit(f"{SCHEDULED}{n:x}", [step], prefix=NIGHTLY, repeatCount=TIMES,
                              startAtMs=due, intervalMs=24 * 3600 * 1000)  # fmt: skip
        await asyncio.sleep(2)
        plain = []
        for n in range(PLAIN_JOBS):
            plain.append(f"{0x1000 + n:016x}")
            step = {"count": 2, "cpu": 1300, "memMb": 2600, "estimateMs": 800}
            await self.submit(plain[-1], [step])
            await asyncio.sleep(1)
        await asyncio.sleep(FINISH_S)
        stalled = await self.find_stalled(plain)
        states = [await self.state(it) for it in plain]
        done = states.count("completed")
        begun = {task.split(".")[0] for _, _, task, _, _ in self.starts}
        own = sum(it.startswith(SCHEDULED) for it in self.calls)
        self.say(f"calls for advice: {len(self.calls)}, of them {own} for the scheduled jobs, whose "
                 f"first time is due in an hour")  # fmt: skip
        self.say(f"plain jobs: {len(plain)} accepted, {sum(it in begun for it in plain)} begun, "
                 f"{done} completed, {len(stalled)} with nothing running for 3 s")  # fmt: skip
        if stalled:
            return [f"LOST: of {len(plain)} accepted jobs {len(stalled)} have nothing running for 3 s, "
                    f"{FINISH_S} s after the end of the traffic, beside idle workers"]  # fmt: skip
        return []


cell.main(Case)
