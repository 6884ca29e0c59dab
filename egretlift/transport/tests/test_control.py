"""Control calls to a peer whose reply is broken or has no end."""

import asyncio
import struct
import tracemalloc
import unittest

import h2.config
import h2.connection
import h2.events

from egretlift.transport.control import ControlFailed, call_control, close_channels
from egretlift.transport.generated.control_pb2 import ProbeReply, ProbeRequest
from egretlift.transport.tests.peers import open_peer

MEGABYTE = 1024 * 1024
TIMEOUT_S = 1.0
FRAME_BYTES = 16 * 1024
# A peer stops after this many bytes.
SENT_MAXIMUM = 64 * MEGABYTE
# Windows of the connection and of the stream, and what the libraries copy.
MEMORY_MAXIMUM = 16 * MEGABYTE
HEADERS = ((":status", "200"), ("content-type", "application/grpc"))
TRAILERS = (("grpc-status", "0"),)
REPLY = ProbeReply(reachable=True).SerializeToString()


def frame(data, length=None, compressed=0):
    """Return a message as gRPC frames it, with another length if one is given."""
    stated = len(data) if length is None else length
    return struct.pack(">BI", compressed, stated) + data


# Bytes of a reply, and whether the stream ends with trailers behind them.
BROKEN = {
    "no protobuf": (frame(b"\xff\xff\xff"), True),
    "compressed": (frame(REPLY, compressed=1), True),
    "cut in the message": (frame(REPLY, length=100), True),
    "cut in the length": (frame(REPLY)[:3], True),
    "no message": (b"", True),
    "no trailers": (frame(REPLY), False),
}


def make_peer(data, ends, is_endless=False):
    """Return a peer that answers each request with bytes.

    If it is endless, it sends more as fast as flow control lets it.
    """

    async def serve(reader, writer):
        config = h2.config.H2Configuration(client_side=False, header_encoding="utf-8")
        connection = h2.connection.H2Connection(config)
        connection.initiate_connection()
        streams, sent = [], 0
        writer.write(connection.data_to_send())
        while received := await reader.read(65536):
            for event in connection.receive_data(received):
                if isinstance(event, h2.events.RequestReceived):
                    connection.send_headers(event.stream_id, HEADERS)
                if isinstance(event, h2.events.StreamEnded):
                    streams.append(event.stream_id)
                    connection.send_data(event.stream_id, data)
                    if ends:
                        connection.send_headers(event.stream_id, TRAILERS, True)
            for stream in streams if is_endless else ():
                sent += send_more(connection, stream, SENT_MAXIMUM - sent)
            writer.write(connection.data_to_send())
            await writer.drain()

    return serve


def send_more(connection, stream, limit):
    """Send what flow control allows on a stream, and return how much that was."""
    sent = 0
    while sent < limit and (
        size := min(connection.local_flow_control_window(stream), FRAME_BYTES)
    ):
        connection.send_data(stream, bytes(size))
        sent += size
    return sent


async def call(serve):
    """Return the reply of a peer, None if the call failed."""
    channels = {}
    async with open_peer(serve) as endpoint:
        try:
            return await call_control(
                channels, "s", endpoint, "Probe", ProbeRequest(), TIMEOUT_S
            )
        except ControlFailed:
            return None
        finally:
            close_channels(channels)


class TestControl(unittest.TestCase):
    """Which replies are taken, and what the others do."""

    def test_whole_reply(self):
        """Guards against a peer of this test whose replies always fail."""
        found = asyncio.run(call(make_peer(frame(REPLY), True)))
        self.assertEqual(found, ProbeReply(reachable=True))

    def test_broken_replies(self):
        """Guards against a reply whose error ends the task that asked for it."""
        for name, (data, ends) in BROKEN.items():
            with self.subTest(name):
                self.assertIsNone(asyncio.run(call(make_peer(data, ends))))

    def test_reply_without_end(self):
        """Guards against a reply that fills the memory of the daemon."""
        for name, length in (("one message", 2**32 - 1), ("many messages", 0)):
            with self.subTest(name):
                data = frame(b"", length)
                tracemalloc.start()
                found = asyncio.run(call(make_peer(data, False, is_endless=True)))
                peak = tracemalloc.get_traced_memory()[1]
                tracemalloc.stop()
                self.assertIsNone(found)
                self.assertLess(peak, MEMORY_MAXIMUM)


if __name__ == "__main__":
    unittest.main()
