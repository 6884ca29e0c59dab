"""Run a module whose outgoing connections are redirected to proxies.

All daemons of a local mesh share one address, and each names its own ports to the
others, so a proxy between two of them cannot be set by configuration::

    STANDINS_REDIRECTIONS='{"127.0.0.1:7402": 7901}' \
        python -m standins.redirected egretlift.daemon
"""

import asyncio.selector_events
import json
import os
import runpy
import sys

VARIABLE = "STANDINS_REDIRECTIONS"


def redirect_connections(redirections):
    """Redirect the connections that event loops open from now on.

    Every client on asyncio connects by ``sock_connect``: aiohttp, httpx through
    anyio, and grpclib.

    Parameters
    ----------
    redirections : dict of str to int
        Port of the proxy on 127.0.0.1 by ``address:port`` of the target.
    """
    loop_class = asyncio.selector_events.BaseSelectorEventLoop
    connect = loop_class.sock_connect

    async def sock_connect(loop, sock, address):
        port = redirections.get(f"{address[0]}:{address[1]}")
        if port is not None:
            address = ("127.0.0.1", port)
        return await connect(loop, sock, address)

    loop_class.sock_connect = sock_connect


def main():
    """Run the module named by the first argument as the main module."""
    redirect_connections(json.loads(os.environ[VARIABLE]))
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
