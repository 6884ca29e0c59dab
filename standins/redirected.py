"""Run a module with its outgoing connections redirected to proxies.

All daemons of a local mesh share one address and advertise their own ports to each
other, so no setting can place a proxy between two of them. Instead, the event loop
of the connecting process replaces the target address::

    STANDINS_REDIRECTIONS='{"127.0.0.1:7402": 7901}' \
        python -m standins.redirected egretlift.daemon
"""

import asyncio.selector_events
import json
import os
import runpy
import sys

REDIRECTIONS_VARIABLE = "STANDINS_REDIRECTIONS"


def redirect_connections(redirections):
    """Redirect the connections that event loops open from now on.

    This replaces ``sock_connect`` of the loop class, which every asyncio client in
    use calls to connect: aiohttp, httpx through anyio, and grpclib.

    Parameters
    ----------
    redirections : dict of str to int
        Port of the proxy on 127.0.0.1 for each ``address:port`` of a target.
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
    """Run the module named by the first argument as ``__main__``.

    The remaining arguments are passed on to it.
    """
    redirect_connections(json.loads(os.environ[REDIRECTIONS_VARIABLE]))
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
