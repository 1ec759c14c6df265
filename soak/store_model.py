"""Stand-in of the platform's metadata store: a log, keyed topics and groups."""

import asyncio
import base64
import json
import random
import struct
import time

from http_io import DROP, SILENT, reply

PAGE_RECORDS = 500
REMEMBERED_APPENDS = 5
CALL_S = 0.001  # any call, before it is carried out
APPEND_S = 0.001  # the platform's `appendMs`
APPEND_BYTES_PER_S = 20e6  # the platform's `partMbS`
APPEND_BACKLOG_S = 2.0  # an append that would wait for longer is refused
SLOW = 50


class Partition:
    """Records of one partition, with the writers that it knows."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.grown = asyncio.Event()
        self.writers = {}
        self.free_at = 0.0  # when the appends that wait have been carried out

    @property
    def end(self):
        return self.first + len(self.records)

    def add(self, records, keyed):
        offset = self.end
        for n, record in enumerate(records):
            if keyed:
                key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (value, offset + n)
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return {"offset": offset, "endOffset": self.end}


class Group:
    """Members of a group and the partitions that each of them holds."""

    def __init__(self):
        self.generation = 0
        self.members = {}
        self.owners = {}

    def expire(self, now):
        gone = [m for m, (_, until) in self.members.items() if until < now]
        for member in gone:
            self.leave(member)

    def leave(self, member):
        if self.members.pop(member, None):
            self.generation += 1
            self._deal()

    def _deal(self):
        names = sorted(self.members)
        self.owners = {
            part: names[n % len(names)] for n, part in enumerate(sorted(self.owners)) if names
        } or dict.fromkeys(self.owners)

    def join(self, member, topics, ttl_s, now, parts):
        self.expire(now)
        if member not in self.members:
            self.generation += 1
            for topic in topics:
                for n in range(parts):
                    self.owners.setdefault((topic, n))
            self.members[member] = (topics, now + ttl_s)
            self._deal()
        self.members[member] = (topics, now + ttl_s)
        return [[t, n, 0] for (t, n), owner in self.owners.items() if owner == member]


class Store:
    """The store; `mode` is a fault that all of its callers see."""

    def __init__(self, rng: random.Random, parts=4):
        self.rng = rng
        self.parts = parts
        self.partitions = {}
        self.groups = {}
        self.mode = "up"
        self.slowness = 1  # factor on the time of each call and each append
        self.late = set()

    @property
    def serves(self):
        """False while it is down or refuses calls."""
        return self.mode not in ("silent", "reset", "busy")

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def put(self, topic, key, value):
        """Writes as the operator and the workers do."""
        record = bytes([len(key)]) + key.encode() + (json.dumps(value).encode() if value else b"")
        self.partition(topic).add([record], True)

    def forget_history(self):
        """Drops all records but the newest of each key."""
        for partition in self.partitions.values():
            partition.first, partition.records = partition.end, []

    async def handle(self, method, path, query, headers, body):
        if self.mode == "silent":
            return SILENT
        if self.mode == "reset":
            return DROP
        if self.mode == "busy":
            return reply(503, {})
        if self.mode == "slow":
            await asyncio.sleep(self.rng.uniform(0.2, 0.5))
        if self.slowness > 1:
            await asyncio.sleep(CALL_S * self.slowness)
        if method == "POST" and self.mode == "late" and self.rng.random() < 0.3:
            task = asyncio.create_task(self._post_late(self.rng.uniform(1, 6), path, query, body))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            return SILENT
        if method == "GET":
            return await self._get(path, query)
        answer = await self._post(path, query, body)
        if self.mode == "lost" and self.rng.random() < 0.3:
            return SILENT
        return answer

    async def _post_late(self, delay, path, query, body):
        await asyncio.sleep(delay)
        await self._post(path, query, body)

    async def _post(self, path, query, body):
        if path == "/-/log-append":
            if not await self._take_turn(self.partition(query["topic"], query["part"]), body):
                return reply(503, {})
            return self._append(query, body)
        call = json.loads(body)
        group = self.groups.setdefault(call["group"], Group())
        if path == "/-/log-leave":
            group.leave(call["member"])
            return reply(200, {})
        ttl_s = call["ttlMs"] / 1000
        rows = group.join(call["member"], call["topics"], ttl_s, time.monotonic(), self.parts)
        return reply(200, {"generation": group.generation, "parts": rows})

    async def _take_turn(self, partition, body):
        """Waits until a partition has carried out an append; False if refused.

        A partition carries out its appends one at a time, in order of arrival.
        """
        now = time.monotonic()
        begin = max(now, partition.free_at)
        if begin - now > APPEND_BACKLOG_S:
            return False
        slowness = max(self.slowness, SLOW if self.mode == "slow" else 1)
        partition.free_at = begin + (APPEND_S + len(body) / APPEND_BYTES_PER_S) * slowness
        await asyncio.sleep(partition.free_at - now)
        return True

    def _append(self, query, body):
        partition = self.partition(query["topic"], query["part"])
        name = query.get("producer")
        if name:
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            known_epoch, last, answers = partition.writers.get(name, (-1, -1, {}))
            if epoch < known_epoch:
                return reply(409, {"reason": "fenced"})
            if epoch == known_epoch:
                if sequence in answers:
                    return reply(200, answers[sequence])
                if sequence != last + 1:
                    return reply(409, {"reason": "seq", "sequence": last + 1})
            else:
                answers = {}
        if "at" in query and int(query["at"]) != partition.end:
            return reply(412, {"endOffset": partition.end})
        records = []
        while body:
            (n,) = struct.unpack(">I", body[:4])
            records.append(body[4 : 4 + n])
            body = body[4 + n :]
        answer = partition.add(records, query["topic"].startswith("keyed."))
        if name:
            answers = dict(list(answers.items())[1 - REMEMBERED_APPENDS :])
            answers[sequence] = answer
            partition.writers[name] = (epoch, sequence, answers)
        return reply(200, answer)

    async def _get(self, path, query):
        if path == "/-/log-owners":
            group = self.groups.setdefault(query["group"], Group())
            group.expire(time.monotonic())
            return reply(200, {"parts": [[t, n, o or "", 0] for (t, n), o in group.owners.items()]})
        partition = self.partition(query["topic"], query["part"])
        if path == "/-/log-newest":
            keys = sorted(partition.newest)
            after = query.get("dependsOn", "").encode()
            rest = [key for key in keys if key > after]
            items = [
                {
                    "key": key.decode(),
                    "value": base64.b64encode(partition.newest[key][0]).decode(),
                    "offset": partition.newest[key][1],
                }
                for key in rest[:PAGE_RECORDS]
            ]
            more = len(rest) > PAGE_RECORDS
            return reply(200, {"items": items, "hasMore": more, "endOffset": partition.end})
        first = int(query["from"])
        if first < partition.first:
            return reply(410, {"firstOffset": partition.first})
        if first >= partition.end and "waitMs" in query:
            try:
                await asyncio.wait_for(partition.grown.wait(), int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if first < partition.first:
            return reply(410, {"firstOffset": partition.first})
        records = partition.records[first - partition.first :]
        page = struct.pack(">QQ", partition.end, partition.first)
        return reply(200, page + b"".join(struct.pack(">I", len(r)) + r for r in records))
