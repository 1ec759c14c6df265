"""Loopback TCP proxy whose connections can be delayed, reset or silenced."""

import asyncio


class Proxy:
    """Forwards connections to one target; faults hold for all connections."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        self.silent_to = False  # bytes to the target are held back
        self.silent_from = False  # bytes from the target are held back
        self.refusing = False
        self.pairs = set()  # the two ends of each connection
        self.stuck = set()  # writers of connections that stay silent for good
        self.server = None

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._accept, host, port)

    @property
    def port(self):
        return self.server.sockets[0].getsockname()[1]

    @property
    def cut(self):
        return self.silent_to or self.silent_from or self.refusing

    def heal(self):
        """Ends all faults; bytes that were held back are lost."""
        held = self.silent_to or self.silent_from
        self.delay, self.silent_to, self.silent_from, self.refusing = 0.0, False, False, False
        if held:
            self.reset()

    def reset(self):
        """Resets all connections."""
        for pair in list(self.pairs):
            self._reset(pair)

    def silence_open(self):
        """Leaves the open connections silent for good; new ones work."""
        for pair in self.pairs:
            self.stuck |= pair

    def abandon_open(self, rng, silent_share):
        """Ends all faults; leaves some open connections silent for good, resets the others."""
        for pair in list(self.pairs):
            if rng.random() < silent_share:
                self.stuck |= pair
            elif not pair & self.stuck:
                self._reset(pair)
        self.delay, self.silent_to, self.silent_from, self.refusing = 0.0, False, False, False

    @staticmethod
    def _reset(pair):
        for writer in pair:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = frozenset((writer, far_writer))
        self.pairs.add(pair)
        await asyncio.gather(
            self._pump(reader, far_writer, lambda: self.silent_to),
            self._pump(far_reader, writer, lambda: self.silent_from),
        )
        self.pairs.discard(pair)
        self.stuck -= pair

    async def _pump(self, reader, writer, silenced):
        try:
            while data := await reader.read(1 << 16):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not silenced() and writer not in self.stuck:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.close()
