"""Small HTTP/1.1 server and client over asyncio, as far as the soak needs it."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

DROP = object()  # answer of a handler that breaks the connection off
SILENT = object()  # answer of a handler that leaves the caller without answer


async def read_message(reader):
    """Reads a start line, headers in lower case and a body of known length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return head[0].split(" ", 2), headers, body


def reply(status, body=b""):
    """Answer of a handler: a status and bytes, or an object to send as JSON."""
    return status, body if isinstance(body, bytes) else json.dumps(body).encode()


async def serve(host, port, handler):
    """Serves handler(method, path, query, headers, body) on an address."""

    async def on_connection(reader, writer):
        try:
            while True:
                (method, target, _), headers, body = await read_message(reader)
                url = urlsplit(target)
                answer = await handler(
                    method, url.path, dict(parse_qsl(url.query)), headers, body
                )
                if answer is DROP:
                    writer.transport.abort()
                    return
                if answer is SILENT:
                    await reader.read()
                    return
                status, content = answer
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (EOFError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            # The caller has gone, or the run is over.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, host, port, limit=1 << 24)


class Client:
    """Client of one server that keeps its connection open between calls."""

    def __init__(self, host, port):
        self.address = (host, port)
        self.stream = None

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None

    async def _call(self, method, path, headers, body):
        if self.stream is None:
            self.stream = await asyncio.open_connection(*self.address)
        reader, writer = self.stream
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        first, _, content = await read_message(reader)
        return int(first[1]), content

    async def call(self, method, path, headers, body=b"", timeout=3.0):
        """Returns status and body; status None if no answer came."""
        try:
            return await asyncio.wait_for(self._call(method, path, headers, body), timeout)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError):
            self.close()
            return None, b""
