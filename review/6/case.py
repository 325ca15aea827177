"""Callers read answers of 30 KB slowly and without a pause; a short request follows each of them."""
import asyncio
import os
import socket
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "parts"))
import site_parts  # noqa: E402

TIMEOUT_S = 6
DEADLINE_MS = 6000
CLIENTS = 8
ANSWER_BYTES = 30_000
READ_BYTES = 500
READ_SECONDS = 5.2
# A client on a small device behind an Ethernet link.
RECEIVE_BUFFER = 4096
SEGMENT_BYTES = 1400


async def work(machine, request_id, method, target, fields, body):
    await asyncio.sleep(0.05)
    return b"x" * (ANSWER_BYTES if target == "/slots/list" else 4)


def head(target, request_id):
    return (f"GET {target} HTTP/1.1\r\nHost: {site_parts.HOST}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n").encode()


class SlowReader:
    """The bytes of a connection, read at an even pace. Raises an OSError if it ends."""

    def __init__(self, connection, bytes_per_s):
        self.connection = connection
        self.bytes_per_s = bytes_per_s
        self.loop = asyncio.get_running_loop()
        self.data = b""
        self.total = 0
        self.began = self.loop.time()

    async def read_more(self):
        part = await asyncio.wait_for(self.loop.sock_recv(self.connection, READ_BYTES),
                                      2 * TIMEOUT_S)
        if not part:
            raise ConnectionError("closed")
        self.data += part
        self.total += len(part)
        if self.bytes_per_s:
            due = self.began + self.total / self.bytes_per_s
            await asyncio.sleep(max(0.0, due - self.loop.time()))

    async def read_answer(self):
        """Returns status and length of the next answer."""
        while b"\r\n\r\n" not in self.data:
            await self.read_more()
        text, _, self.data = self.data.partition(b"\r\n\r\n")
        length = int(text.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(self.data) < length:
            await self.read_more()
        self.data = self.data[length:]
        return text[9:12].decode(), length


async def play_client(record, ip, port, number, trouble):
    """Returns the ids of the requests that got no whole answer."""
    loop = asyncio.get_running_loop()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    await loop.sock_connect(connection, (ip, port))
    await loop.sock_sendall(connection, head("/slots/1", f"c{number}-kept"))
    await SlowReader(connection, 0).read_answer()
    ids = [f"c{number}-long", f"c{number}-short"]
    await loop.sock_sendall(connection, head("/slots/list", ids[0]) + head("/slots/1", ids[1]))
    record.add("sent", ids="+".join(ids))
    reader = SlowReader(connection, ANSWER_BYTES / READ_SECONDS if trouble else 0)
    missing = []
    for request_id in ids:
        try:
            status, length = await reader.read_answer()
            record.add("client", id=request_id, status=status, bytes=length,
                       after_s=f"{loop.time() - reader.began:.2f}")
        except (OSError, asyncio.TimeoutError) as error:
            missing.append(request_id)
            record.add("client", id=request_id, end=type(error).__name__, bytes=len(reader.data),
                       after_s=f"{loop.time() - reader.began:.2f}")
    connection.close()
    return missing


async def case(record, trouble):
    services = [("slots", "zone-a"), ("slots", "zone-b"), ("offers", "zone-a"), ("offers", "zone-b")]
    site = site_parts.Site(record, services, work)
    try:
        await site.start([site_parts.rule("slots", "/slots/", "slots", "idempotent", TIMEOUT_S)])
        # Longer than stableWindowS: the machine is in touch.
        await asyncio.sleep(5)
        node = site.machines[0]
        results = await asyncio.gather(*[
            play_client(record, node.ip, site.ports["outbound"], number, trouble)
            for number in range(CLIENTS)])
        runs = {run for run, _ in site.runs}
        lost = [request_id for missing in results for request_id in missing if request_id in runs]
        # Without one byte of an answer: those behind the long answers.
        unanswered = [request_id for request_id in lost if request_id.endswith("-short")]
        record.add("result", lost=len(lost), unanswered=len(unanswered))
        return len(unanswered) <= 3
    finally:
        await site.stop()


if __name__ == "__main__":
    sys.exit(site_parts.main(FOLDER, case))
