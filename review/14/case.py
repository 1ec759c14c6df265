"""The only worker with a label refuses all starts for some seconds; `pending` is asked for."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-3"))

from cell import HOST, KEY, CannotRun, Cell, Job, main  # noqa: E402
from worker_model import Worker, reply  # noqa: E402

WORKERS = 24  # one of them is 4%; the site's share of such workers is 8.5%
LABEL = "b"
JOBS = 6
BUSY_S = 6.5  # the site's entry of `srv_grey`
ANSWER_S = 0.2  # a busy worker takes its time to answer
VISIBLE_S = 3.0  # `visible_ms`
ROUTE = {
    "name": "plain", "host": HOST, "pathPrefix": "/plain/", "service": "work",
    "priority": 0, "maxAttempts": 3, "slackFactor": 1.5, "targetLatencyMs": 250,
}  # fmt: skip


class LabelledWorker(Worker):
    """The first worker has the label; at times it answers starts with 503."""

    busy = False

    def entry(self, address):
        label = LABEL if self.name == "w0" else "a"
        return super().entry(address) | {"labels": [label, "r1-1"]}

    async def handle(self, method, path, query, headers, body):
        if self.busy and path == "/-/run-start":
            self.ledger.note(f"{self.name} answers 503 to {json.loads(body)['task']}")
            await asyncio.sleep(ANSWER_S)
            return reply(503)
        return await super().handle(method, path, query, headers, body)


def make(seed):
    cell = Cell(Path(__file__).parent, seed, nodes=3, workers=WORKERS, cpu=64000, routes=[ROUTE])
    cell.worker_class = LabelledWorker
    return cell


async def case(cell, trouble):
    clients = cell.clients()
    worker = cell.workers["w0"]
    worker.busy = trouble
    began = cell.record.now
    jobs = []
    for _ in range(JOBS):
        step = {
            "count": 1, "cpu": 10000, "memMb": 1000, "estimateMs": 1000, "requires": LABEL,
        }  # fmt: skip
        jobs.append(Job(cell.rng, [step], ROUTE, 1.0))
    done = await asyncio.gather(*(cell.submit(cell.clients(), job) for job in jobs))
    if not all(done):
        raise CannotRun("a job was not accepted")
    broken = []
    while cell.record.now - began < BUSY_S + 4:
        if worker.busy and cell.record.now - began >= BUSY_S:
            worker.busy = False
            cell.record.note(f"{worker.name} takes starts again")
        for node, client in zip(cell.nodes, clients):
            asked = cell.record.now
            headers = {"Host": HOST, "Authorization": f"Bearer {KEY}"}
            status, content = await client.call("GET", ROUTE["pathPrefix"], headers)
            cell.record.note(f"{node.name} answers {status} {content.decode(errors='replace')}")
            # Jobs that have begun since the question was asked are left out too.
            waiting = [
                job
                for job in jobs
                if job.accepted_at < asked - VISIBLE_S - 2
                and not any(cell.ledger.runs.get(task) for task in job.tasks())
            ]
            if status != 200 or not waiting:
                continue
            pending = json.loads(content)["pending"]
            if pending < len(waiting) / 2:
                broken.append(
                    f"MIXED: {node.name} gives {pending} as pending at {asked:.2f} s; "
                    f"{len(waiting)} jobs were accepted over 5 s before and have not begun"
                )
        await asyncio.sleep(0.25)
    return broken


main(case, make)
