"""HTTP/1.1 over asyncio streams, for the callers, the operator and the stand-in upstreams of the soak."""

import asyncio
import contextlib

MAX_HEAD_BYTES = 64 * 1024
ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


def write_message(writer, first_line, headers=None, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in (headers or {}).items()),
             f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


async def read_message(reader):
    """Returns the words of the first line, the headers with names in lower case, and the body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0].split(" ", 2), headers, body


def source_of(host):
    """An address of the run's network. Connections from 127.0.0.1 could take the ports of other programs there."""
    return ".".join(host.split(".")[:2]) + ".0.2"


async def connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES, local_addr=(source_of(host), 0))


async def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """Sends one request on a new connection; returns status, headers and body. Raises one of ERRORS."""
    async with asyncio.timeout(timeout):
        reader, writer = await connect(address)
        try:
            write_message(writer, f"{method} {path} HTTP/1.1", {"Host": address, **(headers or {})}, body)
            first, answer_headers, answer_body = await read_message(reader)
            return int(first[1]), answer_headers, answer_body
        finally:
            writer.close()


def abort(writer):
    """Closes the connection with a reset."""
    with contextlib.suppress(Exception):
        writer.transport.abort()
