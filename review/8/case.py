"""A node gets SIGTERM; a pipelining caller sends its next request before it reads the first answer."""
import asyncio
import os
import signal
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "parts"))
import site_parts  # noqa: E402

TIMEOUT_S = 6
DEADLINE_MS = 6000
CLIENTS = 6
ANSWER_BYTES = 36_000
WORK_S = 0.3
SIGTERM_AFTER_S = 0.1
SECOND_AFTER_S = 0.5
READ_SECONDS = 1.0
# A client on a small device behind an Ethernet link.
RECEIVE_BUFFER = 8192
SEGMENT_BYTES = 1400


async def work(machine, request_id, method, target, fields, body):
    await asyncio.sleep(WORK_S)
    return b"x" * ANSWER_BYTES


def head(request_id):
    return (f"GET /slots/1 HTTP/1.1\r\nHost: {site_parts.HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode()


async def read_answer(connection, began):
    """Returns head, body bytes and why it ended, if the body isn't whole."""
    loop = asyncio.get_running_loop()
    data = bytearray()
    while True:
        end = data.find(b"\r\n\r\n")
        if end >= 0 and len(data) - end - 4 >= ANSWER_BYTES:
            return bytes(data[:end]), ANSWER_BYTES, ""
        why = "closed"
        part = b""
        try:
            part = await asyncio.wait_for(loop.sock_recv(connection, 2048), 8)
        except (OSError, asyncio.TimeoutError) as error:
            why = type(error).__name__
        if not part:
            return bytes(data[:max(end, 0)]), max(0, len(data) - end - 4) if end >= 0 else 0, why
        data += part
        due = began + READ_SECONDS * len(data) / ANSWER_BYTES
        await asyncio.sleep(max(0.0, due - loop.time()))


async def send_two(record, ip, port, number):
    """Sends two requests on one connection, then reads. Returns true if the first was answered."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    await loop.sock_connect(connection, (ip, port))
    began = loop.time()
    await loop.sock_sendall(connection, head(f"c{number}-first"))
    record.add("sent", id=f"c{number}-first")
    await asyncio.sleep(SECOND_AFTER_S)
    await loop.sock_sendall(connection, head(f"c{number}-second"))
    record.add("sent", id=f"c{number}-second")
    first_line, got, why = await read_answer(connection, loop.time())
    connection.close()
    took = loop.time() - began
    record.add("client", id=f"c{number}-first", status=first_line[9:12].decode("latin-1") or "-",
               bytes=got, of=ANSWER_BYTES, end=why or "whole", after_s=f"{took:.2f}")
    return got == ANSWER_BYTES or took >= TIMEOUT_S


async def case(record, trouble):
    services = [("slots", "zone-a"), ("slots", "zone-b"), ("offers", "zone-a"), ("offers", "zone-b")]
    site = site_parts.Site(record, services, work)
    try:
        await site.start([site_parts.rule("slots", "/slots/", "slots", "idempotent", TIMEOUT_S)])
        await asyncio.sleep(1)
        node = site.machines[0]
        tasks = [asyncio.ensure_future(send_two(record, node.ip, site.ports["outbound"], number))
                 for number in range(CLIENTS)]
        await asyncio.sleep(SIGTERM_AFTER_S)
        if trouble:
            node.signal(signal.SIGTERM)
        lost = 0
        for number, task in enumerate(tasks):
            was_answered = await task
            was_run = any(run == f"c{number}-first" for run, _ in site.runs)
            if was_run and not was_answered:
                lost += 1
        if trouble:
            await asyncio.wait_for(node.process.wait(), 8)
            record.add("node_ended", code=node.process.returncode)
        record.add("result", lost=lost)
        return lost == 0
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(site_parts.main(FOLDER, case))
