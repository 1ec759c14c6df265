"""A job that runs each day for two months waits for its first day."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import cell  # noqa: E402

DAILY_FOR_TWO_MONTHS = 60
NIGHTLY = "/nightly/"
SCHEDULED = "5c0e7a21d94b36f8"
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
        times = DAILY_FOR_TWO_MONTHS if self.trouble else 1
        due = int((time.time() + 3600) * 1000)
        step = {"count": 6, "cpu": 2700, "memMb": 7800, "estimateMs": 4800}
        await self.submit(SCHEDULED, [step], prefix=NIGHTLY, repeatCount=times, startAtMs=due,
                          intervalMs=24 * 3600 * 1000)  # fmt: skip
        await asyncio.sleep(2)
        plain = []
        for n in range(PLAIN_JOBS):
            plain.append(f"{0x1000 + n:016x}")
            step = {"count": 2, "cpu": 1300, "memMb": 2600, "estimateMs": 800}
            await self.submit(plain[-1], [step])
            await asyncio.sleep(1)
        await asyncio.sleep(FINISH_S)
        states = [await self.state(it) for it in plain]
        done = states.count("completed")
        begun = {task.split(".")[0] for _, _, task, _, _ in self.starts}
        own = sum(it.startswith(SCHEDULED) for it in self.calls)
        self.say(f"calls for advice: {len(self.calls)}, of them {own} for the scheduled job, whose "
                 f"first time is due in an hour")  # fmt: skip
        self.say(f"plain jobs: {len(plain)} accepted, {sum(it in begun for it in plain)} begun, "
                 f"{done} completed")  # fmt: skip
        if done < len(plain):
            return [f"LOST: {len(plain) - done} of {len(plain)} accepted jobs are not completed "
                    f"{FINISH_S} s after the end of the traffic, and all workers are idle"]  # fmt: skip
        return []


cell.main(Case)
