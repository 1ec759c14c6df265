"""Series of workers that restart under their old ids and are cut off soon after."""

import asyncio
import random
import signal
import time

from http_io import Client
from promises import Job

SHORT_SHARE = 0.2  # of jobs, with tasks under a second
PLAIN_SHARE = 0.6  # of jobs, on the queue without advice
PAUSE_S = 1.0  # of a client, so that every worker has room
BURST = 10  # jobs of a round
SILENT_SHARE = 0.5  # of connections that are left silent for good, the others are reset


class Round:
    """Choices of one round: who restarts, when, and what else meets it."""

    def __init__(self, rng, free):
        self.group = rng.sample(free, min(len(free), rng.randint(4, 6)))
        self.dark_s = rng.uniform(0.05, 0.6)
        self.up_s = rng.uniform(0.1, 1.2)
        self.cut_s = rng.uniform(6, 16)
        # None: the entry is not written before the cut is over.
        self.entry_s = {
            name: rng.choice([rng.uniform(0, 1), rng.uniform(0, 4), None]) for name in self.group
        }
        # When the leader ends, counted from the restart.
        self.kill_s = rng.choice([None, rng.uniform(0, self.up_s), self.up_s + rng.uniform(0, 0.5)])
        self.way = rng.choice([signal.SIGKILL, signal.SIGTERM])
        self.node_away_s = rng.uniform(0, 2)
        self.rng = rng

    def __str__(self):
        end = f"{self.way.name} after {self.kill_s:.2f} s, " if self.kill_s is not None else ""
        entries = ", ".join(
            f"{name} {'-' if it is None else f'{it:.1f}'}" for name, it in self.entry_s.items()
        )
        return (
            f"dark {self.dark_s:.2f} s, up {self.up_s:.2f} s, {end}"
            f"cut {self.cut_s:.1f} s; entries after: {entries}"
        )


class Restarts:
    """Rounds that overlap, while clients submit long tasks."""

    def __init__(self, soak):
        self.soak = soak
        self.rng = random.Random(soak.options.seed + 4)
        self.job_rng = random.Random(soak.options.seed + 5)
        self.late_share = self.rng.choice([0.0, 0.05, 0.15])
        self.busy = set()
        soak.pause_s = PAUSE_S
        soak.promises.lapse_excuses = True

    def make_job(self):
        rng = self.job_rng
        short = rng.random() < SHORT_SHARE
        steps, lengths = [], {}
        for n in range(rng.choice([1, 1, 2])):
            lengths[n] = rng.uniform(0.05, 0.8) if short else rng.uniform(4, 12)
            steps.append({
                "count": rng.randint(1, 3), "cpu": rng.choice([200, 500]), "memMb": 100,
                "estimateMs": int(lengths[n] * 1000), **({"dependsOn": [n - 1]} if n else {}),
            })  # fmt: skip
        job_id = f"{rng.getrandbits(64):016x}"
        job = Job(job_id, f"spec of {job_id}", steps, rng, rng.random() > PLAIN_SHARE)
        job.lengths = lengths
        return job

    async def run(self, until):
        soak = self.soak
        soak.say(f"{self.late_share:.0%} of the calls to workers are carried out late")
        for worker in soak.workers.values():
            worker.late_share = worker.late_poll_share = self.late_share
        rounds = [asyncio.create_task(self.reload(until))]
        pause_s = self.rng.uniform(3, 5)
        while time.monotonic() < until:
            await asyncio.sleep(pause_s)
            pause_s = self.rng.uniform(8, 14)
            free = sorted(set(soak.workers) - self.busy)
            # Each round draws from its own seed, so that none depends on connections and timing.
            rng = random.Random(self.rng.getrandbits(64))
            rounds.append(asyncio.create_task(self.round(Round(rng, free))))
        await asyncio.gather(*rounds)

    async def reload(self, until):
        """Changes the configuration and sends SIGHUP in series."""
        rng = random.Random(self.soak.options.seed + 6)
        while time.monotonic() < until:
            await asyncio.sleep(rng.uniform(2, 8))
            for _ in range(3):
                rng.choice(self.soak.nodes).reload()
                self.soak.publish()
                await asyncio.sleep(rng.uniform(0, 0.5))

    async def round(self, it):
        self.busy |= set(it.group)
        self.soak.say(str(it))
        group = [(self.soak.workers[name], self.soak.worker_proxies[name]) for name in it.group]
        for worker, proxy in group:
            self.soak.promises.on_lost(worker, "restart")
            worker.listed_from = float("inf")
            proxy.silent_to = proxy.silent_from = True
        await asyncio.sleep(it.dark_s)
        now = time.monotonic()
        for worker, proxy in group:
            worker.restart()
            self.soak.promises.note(f"{worker.name} born {worker.born}")
            proxy.abandon_open(it.rng, SILENT_SHARE)
            entry_s = it.entry_s[worker.name]
            worker.listed_from = now + (it.up_s + it.cut_s if entry_s is None else entry_s)
        await asyncio.gather(self.cut(it, group), self.end_leader(it), self.submit_burst(it))
        self.busy -= set(it.group)

    async def cut(self, it, group):
        await asyncio.sleep(it.up_s)
        for worker, proxy in group:
            self.soak.promises.on_lost(worker, "cut off")
            proxy.silent_to = proxy.silent_from = True
        await asyncio.sleep(it.cut_s)
        for worker, proxy in group:
            proxy.abandon_open(it.rng, SILENT_SHARE)
            self.soak.promises.note(f"{worker.name} reached again")

    async def submit_burst(self, it):
        """Submits more jobs while the workers are up, so that some start there."""
        clients = [Client(node.ip, node.client_port) for node in self.soak.nodes]
        for _ in range(BURST):
            await self.soak.submit_new(clients)
            await asyncio.sleep(it.up_s / BURST)
        for client in clients:
            client.close()

    async def end_leader(self, it):
        if it.kill_s is None:
            return
        await asyncio.sleep(it.kill_s)
        node = self.soak.leader()
        if node and not node.turn.locked():
            self.soak.say(f"{node.name}, which leads, gets {it.way.name}")
            await node.replace(it.way, it.node_away_s)

    def report(self):
        promises = self.soak.promises
        print(f"{promises.wasted} starts after an acknowledged end with a lapsed lease in between")
        for how, waits in promises.waits.items():
            waits.sort()
            print(
                f"{len(waits)} tasks on workers lost by {how} started again after "
                f"{waits[len(waits) // 2]:.1f} s (median), {waits[len(waits) * 9 // 10]:.1f} s "
                f"(nine of ten), {waits[-1]:.1f} s (last)"
            )
