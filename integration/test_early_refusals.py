"""Refusals of sidecar daemons, run as real processes, before a body is read."""

import asyncio
import unittest

from integration.test_crowds import CALLER, allow_long_requests
from standins.crowds import CHUNK_BYTES, MEBIBYTE, encode_chunk, make_head
from standins.sidecars import run_mesh

CHUNKED = "Transfer-Encoding: chunked\r\n"
EXPECT = CHUNKED + "Expect: 100-continue\r\n"
PART = encode_chunk(b"p" * CHUNK_BYTES)
NO_ID = make_head(extra=CHUNKED).replace(b"X-Request-Id: crowd\r\n", b"")
# Bytes of a request whose body does not end, and the status of its refusal.
UNFINISHED = {
    "unknown key": (make_head(extra=CHUNKED, key="nobody") + PART, 401),
    "unknown key, head alone": (make_head(extra=EXPECT, key="nobody"), 401),
    "no route": (make_head(extra=CHUNKED, path="/nowhere/") + PART, 404),
    "no identifier": (NO_ID + PART, 400),
    "stated length": (
        make_head(extra=f"Content-Length: {2 * MEBIBYTE}\r\n") + b"p" * 100,
        413,
    ),
    "length, head alone": (make_head(extra=f"Content-Length: {2 * MEBIBYTE}\r\n"), 413),
    "sent length": (make_head(extra=CHUNKED) + 17 * PART, 413),
}


class TestEarlyRefusals(unittest.TestCase):
    """Requests that can be refused although their body is still to come."""

    def test_refusals(self):
        """Guards against bodies that are read for a request that is refused anyway."""

        async def scenario(mesh):
            await allow_long_requests(mesh, MEBIBYTE)
            port = mesh.sidecars[0].ports[CALLER]
            for name, (data, status) in UNFINISHED.items():
                with self.subTest(name):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(data)
                    received = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    self.assertIn(f"HTTP/1.1 {status} ".encode(), received[:13])
                    self.assertIn(b"\r\nConnection: close\r\n", received)
                    self.assertFalse(mesh.ran("crowd"))

        run_mesh(scenario)


if __name__ == "__main__":
    unittest.main()
