"""Stand-ins of the workers and of the advice service."""

import asyncio
import json
import time

from http_io import SILENT, reply

HOLD_MAX_MS = 10000
ADVICE_VALID_MS = 2500
ADVICE_BASE_S = 0.005
GRANTED_SHARE = 0.7
LATE_S = (0.3, 12)  # the platform carries orders out up to 12 s late


class Worker:
    """Worker under leases and fencing; its steady clock runs at its own rate."""

    def __init__(self, name, cpu, rng, ledger):
        self.name = name
        self.cpu = cpu
        self.rng = rng
        self.ledger = ledger  # told of starts, ends and acknowledgements
        self.rate = rng.uniform(0.98, 1.0)
        self.late_share = 0.0  # of orders that are carried out late, without answer
        self.late_poll_share = 0.0
        self.late = ""  # how late the call comes that it carries out
        self.silent_at = 0.0  # when it last left a call unanswered
        self.listed_from = 0.0  # its entry in the directory is not updated before
        self.failing = False
        self.beat = 0
        self.restart()

    def restart(self):
        """A crash: it runs nothing and has seen no fencing token."""
        for task in list(getattr(self, "running", {})):
            self.ledger.on_end(self, task, "crashed", self.running[task][0])
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.token, self.deadline, self.beat = 0, 0, 0
        self.lapsed_at = 0.0  # when the lease was last seen to be over
        self.ledger.on_restart(self)
        self.running, self.highest = {}, {}
        self.finished, self.next_end = [], 1
        self.ended = asyncio.Event()

    @property
    def clock(self):
        return int((time.monotonic() - self.origin) * self.rate * 1000)

    def entry(self, address):
        self.beat += 1
        return {
            "service": "work", "address": address, "zone": "z1", "version": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "labels": ["a", "r1-1"],
            "capacity": {"cpu": self.cpu, "memMb": 1 << 20, "gpu": 0},
            "clockMs": self.clock, "born": self.born, "sequence": self.beat,
        }  # fmt: skip

    def advance(self):
        """Ends what is done, and all once the lease has lapsed."""
        now = time.monotonic()
        lapsed = self.deadline <= self.clock
        if lapsed:
            self.lapsed_at = now
        for task, (_, ends, how) in list(self.running.items()):
            if lapsed:
                self._end(task, "lapsed")
            elif ends <= now:
                self._end(task, "failed" if self.failing else how)

    def _end(self, task, how):
        run, _, _ = self.running.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.finished.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.ledger.on_end(self, task, how, run)
        self.ended.set()
        self.ended = asyncio.Event()

    def _answer(self, status, **fields):
        return reply(status, {"clockMs": self.clock, "born": self.born, **fields})

    async def handle(self, method, path, query, headers, body):
        call = json.loads(body)
        if headers.get("rosemarytrail-expect-instance", self.name) != self.name:
            return reply(421, {})
        polls = path == "/-/hold"
        if self.rng.random() < (self.late_poll_share if polls else self.late_share):
            delay = self.rng.uniform(*LATE_S)
            self.silent_at = time.monotonic()
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._carry_out_late, path, call, self.born)
            return SILENT
        if not polls:
            return self._order(path, call)
        refused = self._poll(path, call)
        if refused:
            return refused
        if not self.finished and call.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended.wait(), call["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
        self.advance()
        rows = [[task, run, "", 10, 0] for task, (run, _, _) in self.running.items()]
        return self._answer(200, running=rows, finished=self.finished[:500])

    def _carry_out_late(self, path, call, born):
        """Carries out a call in whatever incarnation there is by now."""
        self.late = " late" if born == self.born else " late, sent to its predecessor"
        carry_out = self._poll if path == "/-/hold" else self._order
        status, _ = carry_out(path, call) or (200, b"")
        self.ledger.note(f"{self.name}{self.late}: {status} for {path} {call}")
        self.late = ""

    def _poll(self, path, call):
        """Renews the lease and forgets ends; returns an answer only if refused."""
        refused = self._fence(call)
        if refused:
            return refused
        self.advance()
        self._extend(call)
        for row in self.finished:
            if row[0] <= call["ackCursor"]:
                self.ledger.on_acknowledged(self, row[1], row[2], row[3])
        self.finished = [row for row in self.finished if row[0] > call["ackCursor"]]
        return None

    def _fence(self, call):
        token = call.get("fencingToken", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        return None

    def _extend(self, call):
        if "deadlineMs" in call:
            granted = min(call["deadlineMs"], self.clock + HOLD_MAX_MS)
            extends = granted > self.deadline
            self.deadline = max(granted, self.deadline)
            # After a late call the lease may be longer than the leader asks for.
            if extends or (granted > self.clock and not self.late):
                self.ledger.on_renewed(self)

    def _order(self, path, call):
        refused = self._fence(call)
        if refused:
            return refused
        self.advance()
        task, run = call["task"], call["run"]
        if path == "/-/run-stop":
            self.highest[task] = max(self.highest.get(task, 0), run)
            if task in self.running and self.running[task][0] <= run:
                self._end(task, "stopped")
            return self._answer(200)
        if path == "/-/pace":
            return self._answer(200)
        if call["deadlineMs"] <= self.clock:
            return self._answer(409, reason="late")
        self._extend(call)
        if task in self.running and self.running[task][0] == run:
            return self._answer(200)
        if run <= self.highest.get(task, 0) or task in self.running:
            return self._answer(409, reason="old")
        ticket = call.get("ticket", "")
        if self.ledger.takes_ticket(task) and not ticket.endswith(f"{self.name}.{self.born}"):
            return self._answer(409, reason="ticket")
        length, how = self.ledger.on_start(self, task, call["spec"], run)
        self.running[task] = (run, time.monotonic() + length, how)
        return self._answer(200)


class Advice:
    """Advice service: takes one call at a time from each caller."""

    def __init__(self, workers):
        self.workers = workers

    def handler(self):
        """Returns the handler of one caller."""
        turn = asyncio.Lock()

        async def handle(method, path, query, headers, body):
            call = json.loads(body)
            async with turn:
                await asyncio.sleep(ADVICE_BASE_S)
            rows = [
                [name, f"{call['step']}.{name}.{self.workers[name].born}"]
                for name in call["workers"]
                if name in self.workers
                and hash_share(call["step"] + name) < GRANTED_SHARE
            ]
            return reply(200, {"granted": rows, "validMs": ADVICE_VALID_MS})

        return handle


def hash_share(text):
    """Maps a text to a number from 0 to 1 that never changes."""
    n = 2166136261
    for byte in text.encode():
        n = (n ^ byte) * 16777619 & 0xFFFFFFFF
    return (n * 2654435761 & 0xFFFFFFFF) / 0xFFFFFFFF
