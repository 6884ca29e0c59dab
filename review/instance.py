"""Stand-in of an application instance that runs beside a daemon."""

import asyncio
import json
import time

from review.wire import Message, call, encode_answer, read_body, read_head

HEARTBEAT_S = 1.5
IDLE_S = 10


class Instance:
    """One instance: it runs requests, and sends heartbeats to its daemon.

    Attributes
    ----------
    runs : list of (float, str, str)
        Monotonic time, request id and tenant of each request that it ran.
    arrivals : set of str
        Ids of the requests whose head has reached it.
    work : callable
        Takes a request and returns (seconds of work, body of the answer).
    read_bytes_per_s : float or None
        How fast it reads bodies; None for as fast as they come.
    """

    def __init__(self, name, service, zone, address, control, slots, work):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.slots = slots
        self.work = work
        self.read_bytes_per_s = None
        self.running = 0
        self.runs = []
        self.arrivals = set()
        self.beats = 0
        self.born = int(1000 * time.time())
        self.server = None
        self.task = None

    async def start(self):
        """Listen, and begin to send heartbeats."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.accept, host, int(port))
        self.task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        """Send a heartbeat at once and then at intervals."""
        while True:
            acknowledged = await self.beat()
            await asyncio.sleep(HEARTBEAT_S if acknowledged else 0.2)

    async def beat(self, late_s=0.0):
        """Send one heartbeat and return whether it was acknowledged.

        ``late_s`` is the time for which the network holds it back.
        """
        self.beats += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_s": 0,
            "seq": self.beats,
            "born": self.born,
        }
        await asyncio.sleep(late_s)
        answer = await call(
            self.control,
            "PUT",
            f"/-/instances/{self.name}",
            [("Content-Type", "application/json")],
            json.dumps(body).encode(),
        )
        return answer is not None and answer.status == 200

    async def leave(self):
        """Deregister, go on serving, and return whether it was acknowledged."""
        self.task.cancel()
        answer = await call(self.control, "DELETE", f"/-/instances/{self.name}")
        return answer is not None and answer.status == 200

    async def accept(self, reader, writer):
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                self.arrivals.add(head[1].get("x-request-id", ""))
                body = await self.read_body(reader, head[1])
                await self.answer(Message(*head, body), reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def read_body(self, reader, fields):
        """Return a body, read as fast as this instance reads."""
        left = int(fields.get("content-length", 0))
        if self.read_bytes_per_s is None or not left:
            return await read_body(reader, fields)
        parts = []
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise ConnectionResetError
            parts.append(part)
            left -= len(part)
            await asyncio.sleep(len(part) / self.read_bytes_per_s)
        return b"".join(parts)

    async def answer(self, message, reader, writer):
        """Run one request, or reject it, and write the answer."""
        fields = message.fields
        request_id = fields.get("x-request-id", "")
        echoed = [("X-Request-Id", request_id), ("Keep-Alive", f"timeout={IDLE_S}")]
        if fields.get("x-expect-instance") != self.name:
            writer.write(encode_answer(421, [*echoed, ("X-Instance-Id", self.name)]))
            return
        if self.running >= self.slots:
            writer.write(encode_answer(503, [*echoed, ("X-Not-Executed", "1")]))
            return
        self.runs.append((time.monotonic(), request_id, fields.get("x-tenant", "")))
        self.running += 1
        try:
            work_s, body = self.work(message)
            await asyncio.sleep(work_s)
        finally:
            self.running -= 1
        seal = ("X-Server-Seal", f"{self.name}.{len(self.runs)}")
        writer.write(encode_answer(200, [*echoed, seal], body))
        await writer.drain()
