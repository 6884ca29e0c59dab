"""Minimal daemon for tests of the mesh: announcements, state and reachability.

It registers itself as a member with the platform and reads the members from there.
"""

import asyncio
import json
import os

import aiohttp
from aiohttp import web

from egretlift.settings import parse_settings
from standins.serving import LimitedServer, open_session, start_server, wait_for_stop


async def run_daemon(settings):
    """Serve the ports of a daemon until SIGTERM or SIGINT.

    ``GET /reach?port=`` connects to a port and returns the status or the error's name.
    """
    service, revision = None, 0
    session = open_session()
    objects = f"{settings.platform_url}/objects/member"

    async def answer(request):
        nonlocal service
        if request.path == "/announce":
            service = json.loads(await request.read())["service"]
            return web.json_response({"lease_s": 3})
        if request.path == "/state":
            async with session.get(objects) as listing:
                members = [
                    {"host": o["name"]} for o in (await listing.json())["objects"]
                ]
            configuration = {"revision": revision}
            state = {"service": service, "members": members}
            return web.json_response({**state, "configuration": configuration})
        if request.path == "/reach":
            url = f"http://127.0.0.1:{request.query['port']}/"
            timeout = aiohttp.ClientTimeout(total=0.3)
            # A new connection each time: on a kept-alive one, a cut link shows as a
            # reset or as a refused connection, depending on timing.
            connector = aiohttp.TCPConnector(force_close=True)
            try:
                async with (
                    open_session(connector=connector, timeout=timeout) as fresh,
                    fresh.get(url) as reached,
                ):
                    return web.json_response({"reached": reached.status})
            except (aiohttp.ClientError, TimeoutError) as error:
                return web.json_response({"reached": type(error).__name__})
        return web.json_response({})

    runners = []
    for use in ("caller", "upstream", "peer", "control", "operators"):
        server = LimitedServer(answer)
        port = getattr(settings, f"{use}_port")
        runners.append((await start_server(server, port))[0])
    async with session.put(f"{objects}/{settings.host}", json={}) as written:
        revision = (await written.json())["revision"]
    print("serving", settings.host, flush=True)
    await wait_for_stop()
    for runner in runners:
        await runner.cleanup()
    await session.close()


if __name__ == "__main__":
    asyncio.run(run_daemon(parse_settings([], os.environ)))
