"""TCP proxy that injects network faults.

::

    python -m standins.proxy '{"control_port": 7900, "pairs":
        [{"name": "h2/peer", "listen": 7901, "target": 7402}]}'

``POST /pairs`` on the control port with ``{"names": [patterns]}`` and fields of
``FAULTS`` changes the pairs whose names match; ``GET /pairs`` lists all.
"""

import argparse
import asyncio
import contextlib
import fnmatch
import json
import time

from aiohttp import web

from standins.serving import (
    LimitedServer,
    change_values,
    read_object,
    start_server,
    wait_for_stop,
)

CHUNK_BYTES = 65536
QUEUED_CHUNKS = 64

# mode: "pass"; "cut" refuses new and closes open connections; "freeze" accepts and
#     keeps connections, and passes nothing.
# lost: None, "to-target" or "to-client": the direction that passes nothing.
# delay_s: added in each direction.
# Bytes that are not passed are kept and passed after a change, as TCP does with
# segments that it sends again; dropping them would corrupt the stream.
FAULTS = {"mode": "pass", "lost": None, "delay_s": 0.0}
MODES = ("pass", "cut", "freeze")
DIRECTIONS = ("to-target", "to-client")


class Pair:
    """Listening port, target, faults and open connections of one pair."""

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
        self.faults = dict(FAULTS)
        self.changed = asyncio.Event()
        self.server = None
        self.transports = set()
        self.accepted = 0


def is_blocked(pair, direction):
    """Return whether nothing passes in a direction."""
    return pair.faults["mode"] != "pass" or pair.faults["lost"] == direction


async def wait_open(pair, direction):
    """Wait until bytes pass in a direction."""
    while is_blocked(pair, direction):
        await pair.changed.wait()


async def read_chunks(pair, reader, queue):
    """Queue what arrives with the time when it is due; None marks the end."""
    while chunk := await reader.read(CHUNK_BYTES):
        await queue.put((time.monotonic() + pair.faults["delay_s"], chunk))
    await queue.put((time.monotonic() + pair.faults["delay_s"], None))


async def write_chunks(pair, direction, queue, writer):
    """Pass on the queued chunks when they are due and the direction is open."""
    while True:
        due, chunk = await queue.get()
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        await wait_open(pair, direction)
        if chunk is None:
            writer.write_eof()
            return
        writer.write(chunk)
        await writer.drain()


async def relay(pair, client, open_target):
    """Carry one connection until both sides have ended it."""
    reader, writer = client
    queues = asyncio.Queue(QUEUED_CHUNKS), asyncio.Queue(QUEUED_CHUNKS)
    async with asyncio.TaskGroup() as group:
        reading = group.create_task(read_chunks(pair, reader, queues[0]))
        await wait_open(pair, "to-target")
        # A caller that gave up before the connection was made sends nothing.
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
                target_writer.transport.abort()


def make_acceptor(pair):
    """Return the callback of a pair's listening port."""

    async def open_target():
        streams = await asyncio.open_connection("127.0.0.1", pair.target)
        pair.transports.add(streams[1].transport)
        return streams

    async def accept(reader, writer):
        pair.accepted += 1
        pair.transports.add(writer.transport)
        try:
            await relay(pair, (reader, writer), open_target)
            writer.close()
        except* (OSError, RuntimeError):
            # A reset on one side is passed on as a reset.
            writer.transport.abort()
        finally:
            pair.transports.discard(writer.transport)

    return accept


async def open_pair(pair):
    """Listen on the port of a pair."""
    if pair.server is None:
        pair.server = await asyncio.start_server(
            make_acceptor(pair), "127.0.0.1", pair.listen, backlog=1024
        )
        pair.listen = pair.server.sockets[0].getsockname()[1]


async def cut_pair(pair):
    """Refuse new connections and reset the open ones."""
    if pair.server is not None:
        pair.server.close()
        pair.server = None
    for transport in list(pair.transports):
        transport.abort()


async def change_pair(pair, changes):
    """Change the faults of a pair."""
    change_values(pair.faults, changes)
    if pair.faults["mode"] == "cut":
        await cut_pair(pair)
    else:
        await open_pair(pair)
    pair.changed.set()
    pair.changed = asyncio.Event()


def select_pairs(pairs, patterns):
    """Return the pairs whose names match; each pattern must match one."""
    found = {}
    for pattern in patterns:
        matching = [pair for pair in pairs if fnmatch.fnmatch(pair.name, pattern)]
        if not matching:
            raise ValueError(f"no pair matches {pattern!r}")
        found.update((pair.name, pair) for pair in matching)
    return list(found.values())


def describe_pair(pair):
    """Return the state of a pair."""
    return {
        "name": pair.name,
        "listen": pair.listen,
        "target": pair.target,
        "open": len(pair.transports),
        "accepted": pair.accepted,
        **pair.faults,
    }


def make_control(pairs):
    """Return the coroutine function that answers the control port."""

    async def control(request):
        if request.method == "POST":
            try:
                changes = await read_object(request)
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

    return control


async def start_proxy(pairs, control_port=0):
    """Open all pairs and the control port; return its runner and port."""
    for pair in pairs:
        await open_pair(pair)
    return await start_server(LimitedServer(make_control(pairs)), control_port)


async def stop_proxy(pairs, runner):
    """Close everything."""
    await runner.cleanup()
    for pair in pairs:
        await cut_pair(pair)
    # Lets the aborted connections end before the loop closes.
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(1.0):
            while any(pair.transports for pair in pairs):
                await asyncio.sleep(0.01)


async def run_proxy(options):
    """Serve until SIGTERM."""
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
