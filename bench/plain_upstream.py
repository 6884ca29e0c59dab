"""An upstream without service time, for measurements of latency.

It responds with 200 bytes at once. ``/chain`` first calls ``/small`` of the next
service: through the daemon if the call came from one, and otherwise directly::

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
    """Announce the service to the daemon each second.

    Failed announcements are ignored: the daemon may not be running yet.
    """
    body = {"service": service, "port": port, "routes": ROUTES}
    while True:
        with contextlib.suppress(aiohttp.ClientError, OSError):
            url = f"http://127.0.0.1:{daemon_port}/announce"
            async with session.post(url, json=body):
                pass
        await asyncio.sleep(1.0)


def make_handler(session, daemon_port, next_service=None, next_port=None):
    """Return the handler of all requests.

    The next service is only needed for ``/chain``.
    """

    async def handle(request):
        await request.read()
        if request.path != "/chain":
            return web.Response(body=BODY)
        token = request.headers.get(CALL_HEADER)
        url, headers = f"http://127.0.0.1:{next_port}/small", {}
        if token:
            url = f"http://127.0.0.1:{daemon_port}/call/{next_service}/small"
            headers = {CALL_HEADER: token}
        async with session.get(url, headers=headers) as response:
            return web.Response(body=await response.read(), status=response.status)

    return handle


async def run(service, port, daemon_port, *next_service_and_port):
    """Serve and announce the service until SIGTERM.

    The arguments are those of the command line, as strings.
    """
    session = open_session()
    server = web.Server(make_handler(session, daemon_port, *next_service_and_port))
    runner, _ = await start_server(server, int(port))
    announce_task = asyncio.ensure_future(
        announce(session, service, int(port), daemon_port)
    )
    await wait_for_stop()
    announce_task.cancel()
    await runner.cleanup()
    await session.close()


if __name__ == "__main__":
    asyncio.run(run(*sys.argv[1:]))
