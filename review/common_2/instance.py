"""An application instance: runs requests in slots and sends heartbeats."""

import asyncio
import hashlib
import itertools
import json
import time

from review.common_2.wire import encode_message, read_message, serve


class Instance:
    """One instance beside a daemon.

    Attributes
    ----------
    work_s : callable
        Takes the path of a request and returns how long it runs.
    make_body : callable
        Takes the path of a request and returns the body of its answer.
    runs : list of (float, str, str)
        Monotonic time, identifier and tenant of each request that began to run.
    ended : list of (float, str)
        Monotonic time and identifier of each run that came to its end.
    """

    def __init__(self, record, name, service, zone, address, slots, queue=100):
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.born = int(1000 * time.time())
        self.sequence = itertools.count(1)
        self.work_s = lambda path: 0.02
        self.make_body = lambda path: f"body of {path}\n".encode() * 4
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.runs = []
        self.ended = []
        self.acknowledged = {}
        self.server = None
        self.beating = None
        self.writers = set()

    async def start(self, control, heartbeat_s, delay_s=0.0):
        """Open the port, and send heartbeats to the daemon's control address.

        With ``delay_s`` the first heartbeat arrives late.
        """
        host, port = self.address
        self.server = await serve(self.handle, host, port)
        sending = self.send_heartbeats(control, heartbeat_s, delay_s)
        self.beating = asyncio.create_task(sending)

    def crash(self):
        """End without notice: the port closes and all connections are reset."""
        self.server.close()
        self.beating.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record(f"instance {self.name}: crashes")

    async def handle(self, message, writer):
        """Run one request, or reject it, and return the answer."""
        self.writers.add(writer)
        fields, path = message.fields, message.first[1]
        request_id = fields.get("x-request-id")
        own = [("X-Request-Id", request_id)] if request_id else []
        if fields.get("x-expect-instance", self.name) != self.name:
            own.append(("X-Instance-Id", self.name))
            return encode_message("HTTP/1.1 421 Misdirected Request", own)
        not_run = [*own, ("X-Not-Executed", "1")]
        if not request_id:
            return encode_message("HTTP/1.1 400 Bad Request", not_run)
        if self.running >= self.slots and self.waiting >= self.queue:
            return encode_message("HTTP/1.1 503 Service Unavailable", not_run)
        left_s = int(fields.get("x-deadline-ms", "60000")) / 1000
        ends_at = time.monotonic() + left_s
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() >= ends_at:
                return encode_message("HTTP/1.1 503 Service Unavailable", not_run)
            return await self.run(request_id, fields, path, ends_at)
        finally:
            self.free.release()

    async def run(self, request_id, fields, path, ends_at):
        """Run one request and return its answer."""
        self.running += 1
        try:
            tenant = fields.get("x-tenant", "-")
            self.runs.append((time.monotonic(), request_id, tenant))
            self.record(f"instance {self.name}: runs {request_id} {path} of {tenant}")
            work_s = self.work_s(path)
            await asyncio.sleep(min(work_s, ends_at - time.monotonic()))
            self.ended.append((time.monotonic(), request_id))
            in_time = time.monotonic() < ends_at
            body = self.make_body(path) if in_time else b""
            status = "200 OK" if in_time else "504 Gateway Timeout"
            seal = f"{self.name}.{hashlib.md5(body).hexdigest()}"
            headers = [("X-Request-Id", request_id), ("X-Server-Seal", seal)]
            return encode_message(f"HTTP/1.1 {status}", headers, body)
        finally:
            self.running -= 1

    def describe(self):
        """Return the body of a heartbeat."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_s": 0,
            "seq": next(self.sequence),
            "born": self.born,
        }

    async def beat(self, control):
        """Send one heartbeat; return whether it was acknowledged in a second."""
        body = self.describe()
        state = body["state"]
        data = encode_message(
            f"PUT /-/instances/{self.name} HTTP/1.1",
            [("Host", "control"), ("Content-Type", "application/json")],
            json.dumps(body).encode(),
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*control)
                writer.write(data)
                message = await read_message(reader)
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        is_taken = message.first[1].startswith("2")
        if is_taken and state not in self.acknowledged:
            self.acknowledged[state] = time.monotonic()
            self.record(f"instance {self.name}: heartbeat {state!r} acknowledged")
        return is_taken

    async def send_heartbeats(self, control, heartbeat_s, delay_s):
        """Send heartbeats at the interval of the settings, the first one late."""
        await asyncio.sleep(delay_s)
        while True:
            await self.beat(control)
            await asyncio.sleep(heartbeat_s)
