"""A worker restarts twice behind a cut; a start to its first life is carried out in its third."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from cell import HOST, CannotRun, Cell, Job, main  # noqa: E402
from http_io import SILENT  # noqa: E402
from worker_model import Worker  # noqa: E402

WORKERS = 24  # one of them is 4%; the site's share of workers that are cut off is 17%
TASK_S = 3.0
JOBS_PER_S = 2
WARM_UP_S = 15
START_LATE_S = 11.5  # 2 to 12 s; one call is far under the site's share of 5.5%
# When the worker is cut off, and for how long; the site's entry of `node_cut` has 5.5 s.
CUTS_S = ((0.1, 1.5), (8.0, 5.5))
CRASH_AFTER_S, DOWN_S = 0.4, 0.5
WATCHED_S = 25
ROUTE = {
    "name": "plain", "host": HOST, "pathPrefix": "/plain/", "service": "work",
    "priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250,
}  # fmt: skip


class LateWorker(Worker):
    """Leaves one start unanswered and carries it out late."""

    armed = False
    late_task = None
    took = None

    async def handle(self, method, path, query, headers, body):
        if self.armed and path == "/-/run-start":
            self.armed = False
            call = json.loads(body)
            self.late_task = call["task"]
            self.ledger.note(f"{self.name} leaves {path} unanswered for {START_LATE_S} s: {call}")
            loop = asyncio.get_running_loop()
            loop.call_later(START_LATE_S, self._carry_out_late, path, call, self.born)
            self.took.set()
            return SILENT
        return await super().handle(method, path, query, headers, body)


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


async def cut_and_restart(cell, worker, length):
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
    await asyncio.sleep(length - (cell.record.now - began))
    proxy.heal()
    cell.record.note(f"{worker.name} can be reached again")


async def case(cell, trouble):
    clients = cell.clients()
    noted = note_acknowledgements(cell)
    busy = asyncio.Lock()

    async def traffic():
        for _ in range((WARM_UP_S + WATCHED_S) * JOBS_PER_S):
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
        worker.took = asyncio.Event()
        worker.armed = True
        try:
            await asyncio.wait_for(worker.took.wait(), 10)
        except asyncio.TimeoutError:
            raise CannotRun("no start reached the worker") from None
        began = cell.record.now
        for after, length in CUTS_S:
            await asyncio.sleep(began + after - cell.record.now)
            await cut_and_restart(cell, worker, length)
    await asyncio.sleep(WATCHED_S)
    broken = []
    for task, runs in cell.ledger.runs.items():
        if task in noted:
            name, number, end, at = noted[task]
            broken += [
                f"TWICE: {task} run {it.number} starts on {it.worker} at {it.begin:.2f} s; run "
                f"{number} on {name} ended done at {end:.2f} s, which was taken note of at "
                f"{at:.2f} s"
                for it in runs
                if it.begin > end
            ]
    return broken


main(case, make)
