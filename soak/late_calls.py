#!/usr/bin/env python3
"""One worker leaves a start, and then a poll, unanswered and carries them out late.

Behind cuts it restarts meanwhile, so that a later incarnation carries them out. Exits with 1
if a task starts after an end that was acknowledged, with 2 if the calls did not come.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "review" / "lib-3"))

from cell import HOST, CannotRun, Cell, Job, main  # noqa: E402
from http_io import SILENT  # noqa: E402
from worker_model import Worker  # noqa: E402

WARM_UP_S, WATCHED_S = 6, 30
CRASH_AFTER_S, DOWN_S = 0.4, 0.5
ROUTE = {
    "name": "plain", "host": HOST, "pathPrefix": "/plain/", "service": "work",
    "priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250,
}  # fmt: skip


def parse():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--start-late", type=float, default=2.5, help="seconds")
    parser.add_argument("--poll-late", type=float, default=5.0, help="seconds; 0 for no late poll")
    parser.add_argument("--any-poll", action="store_true", help="also one without acknowledgement")
    parser.add_argument("--wait", type=float, default=30, help="for the poll, in seconds")
    parser.add_argument("--cuts", default="0:5.5", help="AFTER:LENGTH,... counted from the calls")
    parser.add_argument("--starts", type=int, default=1, help="that the worker leaves unanswered")
    parser.add_argument("--task-s", type=float, default=1.0)
    parser.add_argument("--jobs-per-s", type=float, default=4)
    parser.add_argument("--kill", choices=["none", "leader", "all"], default="none",
                        help="nodes that are killed before the last cut")  # fmt: skip
    parser.add_argument("--no-trouble", action="store_true")
    return parser.parse_args()


class LateWorker(Worker):
    """Leaves some starts and the next poll unanswered and carries them out late."""

    options = None
    starts_left, takes_poll = 0, False
    took_starts = took_poll = None

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        if self.starts_left and path == "/-/run-start":
            self.starts_left -= 1
            if not self.starts_left:
                self.took_starts.set()
            return self.leave(path, call, self.options.start_late)
        if self.takes_poll and not self.starts_left and path == "/-/hold":
            if call["ackCursor"] > 0 or self.options.any_poll:
                self.takes_poll = False
                self.took_poll.set()
                return self.leave(path, call, self.options.poll_late)
        return await super().handle(method, path, query, headers, body)

    def leave(self, path, call, delay):
        self.ledger.note(f"{self.name} leaves {path} unanswered for {delay} s: {call}")
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self._carry_out_late, path, call, self.born)
        return SILENT


def note_acknowledgements(cell):
    """Keeps the first acknowledged end `done` of each task whose lease held until then."""
    noted = {}

    def on_acknowledged(worker, task, run, how):
        for it in cell.ledger.runs.get(task, []):
            if (it.worker, it.number) == (worker.name, run) and it.end is not None:
                if how == "done" and worker.lapsed_at < it.end + cell.record.begun:
                    noted.setdefault(task, (worker.name, run, it.end, cell.record.now))

    cell.ledger.on_acknowledged = on_acknowledged
    return noted


async def cut_and_restart(cell, worker, length):
    """Cuts a worker off from all nodes; behind the cut it crashes and starts again."""
    proxy = cell.proxies[worker.name]
    began = cell.record.now
    cell.lost.add(worker.name)
    proxy.silent_to = proxy.silent_from = True
    cell.record.note(f"{worker.name} is cut off")
    await asyncio.sleep(CRASH_AFTER_S)
    worker.restart()
    await asyncio.sleep(DOWN_S)
    worker.restart()
    cell.lost.discard(worker.name)
    cell.list_worker(worker.name)
    cell.record.note(f"{worker.name} has restarted")
    await asyncio.sleep(length - (cell.record.now - began))
    proxy.heal()
    cell.record.note(f"{worker.name} can be reached again")


def leaders(cell):
    """The node whose log took the lead last."""
    taken = {}
    for node in cell.nodes:
        for line in node.log.read_text().splitlines():
            if "lead_taken" in line and node.alive:
                taken[json.loads(line).get("time", line)] = node
    return [taken[max(taken)]] if taken else []


async def kill(cell, which):
    nodes = {"none": [], "leader": leaders(cell), "all": cell.nodes}[which]
    for node in nodes:
        cell.record.note(f"{node.name} is killed")
        await node.kill()
    for node in nodes:
        await node.start()


async def take(event, wait, what):
    try:
        await asyncio.wait_for(event.wait(), wait)
    except asyncio.TimeoutError:
        raise CannotRun(f"no {what} reached the worker") from None


async def trouble_worker(cell, options):
    worker = max(cell.workers.values(), key=lambda it: it.next_end)
    worker.options = options
    worker.took_starts, worker.took_poll = asyncio.Event(), asyncio.Event()
    worker.starts_left, worker.takes_poll = options.starts, options.poll_late > 0
    await take(worker.took_starts, 10, "start")
    if worker.takes_poll:
        await take(worker.took_poll, options.wait, "poll")
    began = cell.record.now
    cuts = [it.split(":") for it in options.cuts.split(",")]
    for n, (after, length) in enumerate(cuts):
        await asyncio.sleep(began + float(after) - cell.record.now)
        if n == len(cuts) - 1:
            await kill(cell, options.kill)
        await cut_and_restart(cell, worker, float(length))


def run(options):
    def make(seed):
        folder = Path(tempfile.mkdtemp(prefix="rosemarytrail-late-calls-"))
        print(f"record: {folder}")
        cell = Cell(folder, seed, nodes=3, workers=24, cpu=16000, routes=[ROUTE])
        cell.worker_class = LateWorker
        return cell

    async def case(cell, trouble):
        clients = cell.clients()
        noted = note_acknowledgements(cell)

        async def traffic():
            while True:
                step = {
                    "count": cell.rng.randint(4, 10), "cpu": 2000, "memMb": 1000,
                    "estimateMs": int(options.task_s * 1000),
                }  # fmt: skip
                await cell.submit(clients, Job(cell.rng, [step], ROUTE, options.task_s))
                await asyncio.sleep(1 / options.jobs_per_s)

        cell.spawn(traffic())
        await asyncio.sleep(WARM_UP_S)
        if trouble:
            await trouble_worker(cell, options)
        await asyncio.sleep(WATCHED_S)
        return [
            f"TWICE: {task} run {it.number} starts on {it.worker} at {it.begin:.2f} s; run "
            f"{number} on {name} ended done at {end:.2f} s, acknowledged at {at:.2f} s"
            for task, (name, number, end, at) in noted.items()
            for it in cell.ledger.runs[task]
            if it.begin > end
        ]

    os.environ["SEED"], os.environ["TROUBLE"] = str(options.seed), "01"[not options.no_trouble]
    main(case, make)


if __name__ == "__main__":
    run(parse())
