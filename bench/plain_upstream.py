"""A fast upstream for measurements of latency.

It answers 200 bytes at once. ``/chain`` first calls ``/small`` of the next service:
through the daemon if the call came from one, and otherwise directly::

    python -m bench.plain_upstream SERVICE PORT DAEMON_PORT [NEXT_SERVICE NEXT_PORT]
"""

import asyncio
import contextlib
import sys

import aiohttp
from aiohttp import web

from egretlift.outcome import CALL_HEADER
from standins.serving import open_session, start_server, wait_for_stop

BODY = b"x" * 200
ROUTES = [
    {"method": "GET", "prefix": "/small", "profile": "lookup"},
    {"method": "GET", "prefix": "/chain", "profile": "lookup"},
    {"method": "POST", "prefix": "/book", "profile": "booking"},
]


async def announce(session, service, port, daemon_port):
    """Announce the service to the daemon each second."""
    body = {"service": service, "port": port, "routes": ROUTES}
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url = f"http://127.0.0.1:{daemon_port}/announce"
            async with session.post(url, json=body):
                pass
        await asyncio.sleep(1.0)


def make_handler(session, daemon_port, next_service=None, next_port=None):
    """Return the handler of all requests."""

    async def handle(request):
        await request.read()
        if request.path != "/chain":
            return web.Response(body=BODY)
        token = request.headers.get(CALL_HEADER)
        url, headers = f"http://127.0.0.1:{next_port}/small", {}
        if token:
            url = f"http://127.0.0.1:{daemon_port}/call/{next_service}/small"
            headers = {CALL_HEADER: token}
        async with session.get(url, headers=headers) as answer:
            return web.Response(body=await answer.read(), status=answer.status)

    return handle


async def run(service, port, daemon_port, *following):
    """Serve until SIGTERM."""
    session = open_session()
    server = web.Server(make_handler(session, daemon_port, *following))
    runner, _ = await start_server(server, int(port))
    announcing = asyncio.ensure_future(
        announce(session, service, int(port), daemon_port)
    )
    await wait_for_stop()
    announcing.cancel()
    await runner.cleanup()
    await session.close()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
