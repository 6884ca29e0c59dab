"""Answers to callers that pipeline and leave, from upstreams that answer twice."""

import asyncio
import collections
import random
import unittest
from pathlib import Path

from standins.sidecars import KEY, SidecarMesh, make_configuration

CONNECTIONS = 12
REQUESTS = 120
# Requests that a caller sends before it reads answers.
PIPELINED = 6
TIMEOUT_S = 4.0
# Part of the connections whose callers leave before they have read all answers.
LEAVING_SHARE = 0.25


def encode(number, place):
    """Return the bytes of a request, whose path and identifier name it."""
    return (
        f"GET /view/{number}-{place} HTTP/1.1\r\nHost: m.example\r\n"
        f"X-Request-Id: {number}-{place}\r\nX-Deadline-Ms: 2000\r\n"
        f"Authorization: Token {KEY}\r\n\r\n"
    ).encode()


async def read_answer(reader):
    """Return (status, fields by name in lower case, body) of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    fields = {name.lower(): value for name, value in (x.split(": ", 1) for x in lines)}
    body = await reader.readexactly(int(fields["content-length"]))
    return int(first.split()[1]), fields, body.decode()


async def call(sidecar, number, draw, seen):
    """Pipeline the requests of one connection, and record what each got in ``seen``.

    The requests behind an answer that closes the connection go over another one.
    """
    leaves_at = draw.randrange(REQUESTS) if draw.random() < LEAVING_SHARE else REQUESTS
    place = 0
    while place < leaves_at:
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", sidecar.ports[1]
            )
        except OSError:
            await asyncio.sleep(0.1)
            continue
        sent = place
        try:
            while place < leaves_at:
                upto = min(REQUESTS, place + PIPELINED)
                for following in range(sent, upto):
                    writer.write(encode(number, following))
                sent = max(sent, upto)
                async with asyncio.timeout(TIMEOUT_S):
                    answer = await read_answer(reader)
                seen[number, place] = answer
                place += 1
                if answer[1].get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            place += 1
        writer.close()


class TestOwnAnswers(unittest.TestCase):
    """Each caller gets the whole answer to its own request, or none."""

    def check(self, seen, counts):
        """Check that the answers name their request; count them by status."""
        for (number, place), (status, fields, body) in seen.items():
            counts[status] += 1
            named = fields.get("x-request-id", f"{number}-{place}")
            self.assertEqual(named, f"{number}-{place}")
            if status == 200:
                self.assertEqual(body, f"/view/{number}-{place}")
                self.assertIn("x-server-seal", fields)

    def test_late_second_answers(self):
        """Guards against a late second answer that another caller gets (MIXED).

        All upstreams answer twice, callers pipeline and leave, and a daemon is killed
        and starts again.
        """

        async def scenario():
            seen, draw = {}, random.Random(1)
            async with SidecarMesh(3, slots=6) as mesh:
                # Without a rate, no call is refused while the rate's owner is killed.
                mesh.store.put("config", "main", make_configuration(4, rate=0))
                await asyncio.sleep(0.5)
                for sidecar in mesh.sidecars:
                    sidecar.upstream.behaviour = "stutter"
                calls = [
                    asyncio.create_task(call(mesh.sidecars[n % 3], n, draw, seen))
                    for n in range(CONNECTIONS)
                ]
                await asyncio.sleep(0.2)
                first = mesh.sidecars[0]
                await mesh.restart(first)
                async with asyncio.timeout(60.0):
                    await asyncio.gather(*calls)
                ran = [len(s.upstream.requests) for s in mesh.sidecars]
                logs = Path(mesh.folder.name).glob("*.log")
                dropped = sum(log.read_text().count("answers-dropped") for log in logs)
            return seen, ran, dropped

        seen, ran, dropped = asyncio.run(scenario())
        counts = collections.Counter()
        self.check(seen, counts)
        self.assertGreater(counts[200], 0.8 * len(seen), counts)
        self.assertGreater(dropped, 0)
        # Calls went to other hosts as well.
        self.assertGreater(min(ran), 0, ran)
        self.assertGreater(len(seen), CONNECTIONS * REQUESTS // 2)


if __name__ == "__main__":
    unittest.main()
