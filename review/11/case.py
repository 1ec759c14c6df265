"""A worker restarts behind a cut, and two calls to its former life are carried out late."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from cell import HOST, CannotRun, Cell, Job, main  # noqa: E402
from http_io import SILENT  # noqa: E402
from worker_model import Worker  # noqa: E402

WORKERS = 24  # one of them is 4%; the site's share of workers that are cut off is 17%
TASK_S = 1.0
JOBS_PER_S = 4
WARM_UP_S = 6
TRAFFIC_S = 30
# A call is carried out 2 to 12 s late; two calls are far under the site's share of 5.5%.
START_LATE_S, POLL_LATE_S = 2.5, 5.0
CUT_S = 5.5  # the site's entry of `node_cut` with `how` = "servers"
CRASH_AFTER_S, DOWN_S = 0.4, 0.5
WATCHED_S = 26
ROUTE = {
    "name": "plain", "host": HOST, "pathPrefix": "/plain/", "service": "work",
    "priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250,
}  # fmt: skip


class LateWorker(Worker):
    """Leaves one start and the next poll unanswered and carries them out late."""

    armed = False
    late_task = None
    took_both = None

    async def handle(self, method, path, query, headers, body):
        if self.armed:
            call = json.loads(body)
            if path == "/-/run-start" and self.late_task is None:
                self.late_task = call["task"]
                return self.leave(path, call, START_LATE_S)
            if path == "/-/hold" and self.late_task and call["ackCursor"] > 0:
                self.armed = False
                self.took_both.set()
                return self.leave(path, call, POLL_LATE_S)
        return await super().handle(method, path, query, headers, body)

    def leave(self, path, call, delay):
        self.ledger.note(f"{self.name} leaves {path} unanswered for {delay} s: {call}")
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._carry_out_late, path, call, self.born)
        return SILENT


def make(seed):
    cell = Cell(Path(__file__).parent, seed, nodes=3, workers=WORKERS, cpu=16000, routes=[ROUTE])
    cell.worker_class = LateWorker
    return cell


def note_acknowledgements(cell):
    """Keeps when the end of a run was taken note of, with the worker's lease unbroken."""
    noted = {}

    def on_acknowledged(worker, task, run, how):
        for it in cell.ledger.runs.get(task, []):
            if (it.worker, it.number) == (worker.name, run) and it.end is not None:
                if how == "done" and worker.lapsed_at < it.end + cell.record.begun:
                    noted.setdefault(task, (worker.name, run, it.end, cell.record.now))
        cell.record.note(f"{worker.name}: the end of {task} run {run} ({how}) is taken note of")

    cell.ledger.on_acknowledged = on_acknowledged
    return noted


async def cut_and_restart(cell, worker):
    """Cuts a worker off from all nodes; behind the cut it crashes and starts again."""
    proxy = cell.proxies[worker.name]
    cell.lost.add(worker.name)
    proxy.silent_to = proxy.silent_from = True
    cell.record.note(f"{worker.name} is cut off")
    began = cell.record.now
    await asyncio.sleep(CRASH_AFTER_S)
    worker.restart()
    cell.record.note(f"{worker.name} crashes")
    await asyncio.sleep(DOWN_S)
    worker.restart()
    cell.lost.discard(worker.name)
    cell.list_worker(worker.name)
    cell.record.note(f"{worker.name} is up again")
    await asyncio.sleep(CUT_S - (cell.record.now - began))
    proxy.heal()
    cell.record.note(f"{worker.name} can be reached again")


async def case(cell, trouble):
    clients = cell.clients()
    noted = note_acknowledgements(cell)
    busy = asyncio.Lock()

    async def traffic():
        for _ in range(TRAFFIC_S * JOBS_PER_S):
            step = {
                "count": cell.rng.randint(4, 10), "cpu": 2000, "memMb": 1000,
                "estimateMs": int(TASK_S * 1000),
            }  # fmt: skip
            job = Job(cell.rng, [step], ROUTE, TASK_S)
            async with busy:
                await cell.submit(clients, job)
            await asyncio.sleep(1 / JOBS_PER_S)

    cell.spawn(traffic())
    await asyncio.sleep(WARM_UP_S)
    if trouble:
        worker = max(cell.workers.values(), key=lambda it: it.next_end)
        if worker.next_end < 2:
            raise CannotRun("no worker has ended a task")
        worker.took_both = asyncio.Event()
        worker.armed = True
        try:
            await asyncio.wait_for(worker.took_both.wait(), 10)
        except asyncio.TimeoutError:
            raise CannotRun("no start and poll reached the worker") from None
        await cut_and_restart(cell, worker)
    await asyncio.sleep(WATCHED_S)
    broken = []
    for task, runs in cell.ledger.runs.items():
        if task in noted:
            name, number, end, at = noted[task]
            broken += [
                f"TWICE: {task} starts on {it.worker} at {it.begin:.2f} s; its run {number} on "
                f"{name} ended done at {end:.2f} s, which was taken note of at {at:.2f} s"
                for it in runs
                if it.begin > end
            ]
    return broken


main(case, make)
