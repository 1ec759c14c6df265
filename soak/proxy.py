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
        self.writers = set()
        self.stuck = set()  # connections that stay silent for good
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
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self):
        """Leaves the open connections silent for good; new ones work."""
        self.stuck |= self.writers

    async def _accept(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        await asyncio.gather(
            self._pump(reader, far_writer, lambda: self.silent_to),
            self._pump(far_reader, writer, lambda: self.silent_from),
        )
        self.writers -= pair
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
