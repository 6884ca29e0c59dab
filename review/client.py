"""Clients of one machine that send requests at a steady rate."""

import asyncio
import time

from review.mesh import make_fields
from review.wire import encode_request, read_message, split_address


class Client:
    """Connections to the daemon of one machine, and what came of the requests.

    Attributes
    ----------
    sent : dict of str to float
        Monotonic time at which each request was sent, by its id.
    statuses : dict of str to int
        Status of the answer; 0 if the connection ended, -1 after the deadline, -2 if
        there was no connection.
    """

    def __init__(self, machine, deadline_s):
        self.machine = machine
        self.deadline_s = deadline_s
        self.free = []
        self.tasks = []
        self.sent = {}
        self.statuses = {}

    async def send(self, request_id, method, target, body=b""):
        """Send one request and return the status."""
        streams, status = None, -2
        try:
            async with asyncio.timeout(self.deadline_s):
                if self.free:
                    streams = self.free.pop()
                else:
                    address = split_address(self.machine.outbound)
                    streams = await asyncio.open_connection(*address)
                reader, writer = streams
                fields = make_fields(request_id, self.deadline_s)
                self.sent[request_id] = time.monotonic()
                status = 0
                writer.write(encode_request(method, target, fields, body))
                answer = await read_message(reader)
            if answer is not None:
                status = answer.status
        except TimeoutError:
            status = -1 if streams else -2
        except OSError:
            pass
        if status > 0 and not answer.is_last:
            self.free.append(streams)
        elif streams:
            streams[1].close()
        self.statuses[request_id] = status
        return status

    async def send_steadily(self, per_s, prefix, method, targets, until):
        """Send requests to targets in turn, at a rate, until a monotonic time."""
        number, started = 0, time.monotonic()
        while time.monotonic() < until:
            target = targets[number % len(targets)]
            number += 1
            request_id = f"{prefix}{number:012x}"
            self.tasks.append(
                asyncio.create_task(self.send(request_id, method, target))
            )
            pause_s = started + number / per_s - time.monotonic()
            await asyncio.sleep(max(0.0, pause_s))
        await asyncio.gather(*self.tasks)

    def count_statuses(self):
        """Return the number of answers by status."""
        found = list(self.statuses.values())
        return {status: found.count(status) for status in sorted(set(found))}
