"""TCP proxy that injects network faults.

A pair consists of a listening port and the target port to which it forwards.

::

    python -m standins.proxy '{"control_port": 7900, "pairs":
        [{"name": "h2/peer", "listen": 7901, "target": 7402}]}'

``POST /pairs`` on the control port, with ``{"names": [patterns]}`` and fields of
``DEFAULT_FAULTS``, changes the pairs whose names match; ``GET /pairs`` lists all.
"""

import argparse
import asyncio
import contextlib
import fnmatch
import json
import time

from aiohttp import web

from egretlift.transport.sockets import reset_connection
from standins.serving import (
    LimitedServer,
    change_values,
    read_json_object,
    start_server,
    wait_for_stop,
)

CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 64

# mode: "pass" forwards; "cut" refuses new and closes open connections; "freeze"
#     accepts and keeps connections, but forwards nothing.
# lost: None, or the direction in which nothing is forwarded: "to-target" or
#     "to-client".
# delay_s: added in each direction.
# Blocked bytes are queued and forwarded once the fault ends, as TCP retransmits lost
# segments; dropping them would corrupt the stream.
DEFAULT_FAULTS = {"mode": "pass", "lost": None, "delay_s": 0.0}
MODES = ("pass", "cut", "freeze")
DIRECTIONS = ("to-target", "to-client")


class Pair:
    """Listening port, target port, faults and open connections of one pair.

    ``changed`` is set and replaced at each change of the faults.
    """

    __slots__ = (
        "accepted",
        "changed",
        "faults",
        "listen",
        "name",
        "server",
        "target",
        "transports",
    )

    def __init__(self, name, listen, target):
        self.name = name
        self.listen = listen
        self.target = target
        self.faults = dict(DEFAULT_FAULTS)
        self.changed = asyncio.Event()
        self.server = None
        self.transports = set()
        self.accepted = 0


def is_blocked(pair, direction):
    """Return whether the faults block a direction."""
    return pair.faults["mode"] != "pass" or pair.faults["lost"] == direction


async def wait_until_open(pair, direction):
    """Wait until the faults no longer block a direction."""
    while is_blocked(pair, direction):
        await pair.changed.wait()


async def read_chunks(pair, reader, queue):
    """Queue received chunks with the time at which each is due; None marks the end."""
    while chunk := await reader.read(CHUNK_BYTES):
        await queue.put((time.monotonic() + pair.faults["delay_s"], chunk))
    await queue.put((time.monotonic() + pair.faults["delay_s"], None))


async def write_chunks(pair, direction, queue, writer):
    """Forward queued chunks once they are due and the direction is not blocked."""
    while True:
        due, chunk = await queue.get()
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        await wait_until_open(pair, direction)
        if chunk is None:
            writer.write_eof()
            return
        writer.write(chunk)
        await writer.drain()


async def relay_connection(pair, client, open_target):
    """Forward one connection until both sides have closed it.

    ``client`` is the accepted connection's (reader, writer).
    """
    reader, writer = client
    queues = asyncio.Queue(MAX_QUEUED_CHUNKS), asyncio.Queue(MAX_QUEUED_CHUNKS)
    async with asyncio.TaskGroup() as group:
        reading = group.create_task(read_chunks(pair, reader, queues[0]))
        await wait_until_open(pair, "to-target")
        # A client that has already disconnected opens no connection to the target.
        if reading.done():
            return
        target_reader, target_writer = await open_target()
        try:
            async with asyncio.TaskGroup() as inner:
                for task in (
                    write_chunks(pair, "to-target", queues[0], target_writer),
                    read_chunks(pair, target_reader, queues[1]),
                    write_chunks(pair, "to-client", queues[1], writer),
                ):
                    inner.create_task(task)
        finally:
            pair.transports.discard(target_writer.transport)
            if reading.done() and not reading.cancelled() and not reading.exception():
                target_writer.close()
            else:
                reset_connection(target_writer.transport)


def make_connection_handler(pair):
    """Return the callback for connections to a pair's listening port."""

    async def open_target():
        streams = await asyncio.open_connection("127.0.0.1", pair.target)
        pair.transports.add(streams[1].transport)
        return streams

    async def accept(reader, writer):
        pair.accepted += 1
        pair.transports.add(writer.transport)
        try:
            await relay_connection(pair, (reader, writer), open_target)
            writer.close()
        except* (OSError, RuntimeError):
            # A reset on one side is forwarded as a reset to the other.
            reset_connection(writer.transport)
        finally:
            pair.transports.discard(writer.transport)

    return accept


async def open_pair(pair):
    """Listen on the port of a pair; port 0 is replaced by the allocated one."""
    if pair.server is None:
        pair.server = await asyncio.start_server(
            make_connection_handler(pair), "127.0.0.1", pair.listen, backlog=1024
        )
        pair.listen = pair.server.sockets[0].getsockname()[1]


async def cut_pair(pair):
    """Refuse new connections and reset the open ones."""
    if pair.server is not None:
        pair.server.close()
        pair.server = None
    for transport in list(pair.transports):
        reset_connection(transport)


async def change_pair(pair, changes):
    """Change the faults of a pair, for new and open connections."""
    change_values(pair.faults, changes)
    if pair.faults["mode"] == "cut":
        await cut_pair(pair)
    else:
        await open_pair(pair)
    pair.changed.set()
    pair.changed = asyncio.Event()


def select_pairs(pairs, patterns):
    """Return the pairs whose names match any pattern.

    Raises ValueError if a pattern matches no pair.
    """
    found = {}
    for pattern in patterns:
        matching = [pair for pair in pairs if fnmatch.fnmatch(pair.name, pattern)]
        if not matching:
            raise ValueError(f"no name listed by GET /pairs matches {pattern!r}")
        found.update((pair.name, pair) for pair in matching)
    return list(found.values())


def describe_pair(pair):
    """Return the JSON fields of a pair, with its connection counts and faults."""
    return {
        "name": pair.name,
        "listen": pair.listen,
        "target": pair.target,
        "open": len(pair.transports),
        "accepted": pair.accepted,
        **pair.faults,
    }


def make_control_handler(pairs):
    """Return the coroutine function that answers calls to the control port."""

    async def answer_control_call(request):
        if request.method == "POST":
            try:
                changes = await read_json_object(request)
                selected = select_pairs(pairs, changes.pop("names"))
                if changes.get("mode", "pass") not in MODES:
                    raise ValueError(f"mode is not one of {', '.join(MODES)}")
                if changes.get("lost") not in (None, *DIRECTIONS):
                    raise ValueError(f"lost is not one of {', '.join(DIRECTIONS)}")
                for pair in selected:
                    await change_pair(pair, changes)
            except (KeyError, ValueError) as error:
                return web.json_response({"error": str(error)}, status=400)
        return web.json_response([describe_pair(pair) for pair in pairs])

    return answer_control_call


async def start_proxy(pairs, control_port=0):
    """Open all pairs and the control port; return the latter's runner and port."""
    for pair in pairs:
        await open_pair(pair)
    return await start_server(LimitedServer(make_control_handler(pairs)), control_port)


async def stop_proxy(pairs, runner):
    """Close the control port, all pairs and their connections."""
    await runner.cleanup()
    for pair in pairs:
        await cut_pair(pair)
    # Lets the aborted connections end before the event loop closes.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            while any(pair.transports for pair in pairs):
                await asyncio.sleep(0.01)


async def run_proxy(options):
    """Serve until SIGTERM or SIGINT."""
    pairs = [Pair(**fields) for fields in options["pairs"]]
    runner, _ = await start_proxy(pairs, options["control_port"])
    await wait_for_stop()
    await stop_proxy(pairs, runner)


def main():
    """Run the proxy from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("options", type=json.loads, help="JSON object")
    asyncio.run(run_proxy(parser.parse_args().options))


if __name__ == "__main__":
    main()
