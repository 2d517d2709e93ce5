"""A server of long requests, run as a process of its own: it begins its answer before it has read
the whole body, gives no length, and ends the answer with its connection. It reads 8 MB a second.

    long_body_server.py PORT INSTANCE

Each line on standard output names what happened: `begins ID`, `whole ID LENGTH`."""

import asyncio
import socket
import sys
import time

PORT, INSTANCE = int(sys.argv[1]), sys.argv[2]
PIECE = 256 * 1024
BYTES_PER_SECOND = 8 * 1024 * 1024


def part(identity, number):
    """What the answer says of each piece of the body."""
    return f"{identity} {INSTANCE} part {number}\n".encode()


def last(identity, size):
    return f"{identity} {INSTANCE} end of {size} bytes\n".encode()


async def serve(reader, writer):
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            headers = {}
            for line in head[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            identity = headers.get("attempt-id")
            size = int(headers.get("content-length", "0"))
            if headers.get("expect-instance", INSTANCE) != INSTANCE:
                await reader.readexactly(size)
                writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                continue
            if identity is None:
                await reader.readexactly(size)
                writer.write(b"HTTP/1.1 200 OK\r\nInstance-Id: " + INSTANCE.encode()
                             + b"\r\nContent-Length: 0\r\n\r\n")
                continue
            print("begins", identity, flush=True)
            writer.write(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: " + identity.encode()
                + b"\r\nServer-Signature: sig." + INSTANCE.encode() + b"." + identity.encode()
                + b"\r\nConnection: close\r\n\r\n")
            done, number, sent = 0, 0, 0
            stop_at = time.monotonic() + int(headers.get("deadline-ms", "60000")) / 1000
            while done < size:
                if time.monotonic() > stop_at:
                    return
                done += len(await reader.readexactly(min(PIECE, size - done)))
                writer.write(part(identity, number))
                sent += len(part(identity, number))
                number += 1
                await writer.drain()
                await asyncio.sleep(PIECE / BYTES_PER_SECOND)
            writer.write(last(identity, size))
            await writer.drain()
            print("whole", identity, sent + len(last(identity, size)), flush=True)
            return
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    listening.bind(("127.0.0.1", PORT))
    server = await asyncio.start_server(serve, sock=listening, limit=64 * 1024)
    print("listens", flush=True)
    async with server:
        await server.serve_forever()


asyncio.run(main())
