"""Compare HTTP libraries as a reverse proxy in front of one upstream.

Each candidate runs as a process of its own between the load generator and a small
upstream. The command prints latency at one connection, and calls a second and latency
at sixteen connections, for the direct path and each candidate::

    python -m bench.forwarding --calls 2000
"""

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import time

import aiohttp

BODY = b"x" * 200
BASE_PORT = 18400


async def respond_with_body(scope, receive, send):
    """Respond to every request with ``BODY`` (ASGI application)."""
    if scope["type"] != "http":
        return
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", b"200")],
        }
    )
    await send({"type": "http.response.body", "body": BODY})


def make_httpx_proxy(upstream_url):
    """Return an ASGI application that forwards requests with httpx."""
    import httpx

    client = httpx.AsyncClient(limits=httpx.Limits(max_connections=100))

    async def forward(scope, receive, send):
        if scope["type"] != "http":
            return
        response = await client.request(scope["method"], upstream_url + scope["path"])
        await send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": [(b"content-length", str(len(response.content)).encode())],
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    return forward


def make_aiohttp_proxy(upstream_url):
    """Return an ASGI application that forwards requests with the aiohttp client."""
    session = None

    async def forward(scope, receive, send):
        nonlocal session
        if scope["type"] != "http":
            return
        if session is None:
            session = aiohttp.ClientSession(auto_decompress=False)
        async with session.request(
            scope["method"], upstream_url + scope["path"]
        ) as response:
            body = await response.read()
            await send(
                {
                    "type": "http.response.start",
                    "status": response.status,
                    "headers": [(b"content-length", str(len(body)).encode())],
                }
            )
            await send({"type": "http.response.body", "body": body})

    return forward


def serve_uvicorn(application, port):
    """Serve an ASGI application with uvicorn and httptools."""
    import uvicorn

    uvicorn.run(
        application,
        host="127.0.0.1",
        port=port,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        log_level="error",
        access_log=False,
    )


def serve_hypercorn(application, port):
    """Serve an ASGI application with hypercorn."""
    from hypercorn.asyncio import serve
    from hypercorn.config import Config

    config = Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.keep_alive_max_requests = 10**9
    config.errorlog = None
    asyncio.run(serve(application, config, mode="asgi"))


def serve_aiohttp(upstream_url, port):
    """Serve a reverse proxy made of the aiohttp server and client."""
    from aiohttp import web

    async def run():
        session = aiohttp.ClientSession(auto_decompress=False)

        async def forward(request):
            async with session.request(
                request.method, upstream_url + request.path
            ) as response:
                return web.Response(body=await response.read(), status=response.status)

        runner = web.ServerRunner(web.Server(forward))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()

    asyncio.run(run())


def run_role(role, port, upstream_url):
    """Run the upstream or one of the candidates until the process is terminated.

    A role other than the upstream is ``SERVER+CLIENT``, see ``ROLES``.
    """
    if role == "upstream":
        serve_uvicorn(respond_with_body, port)
    elif role == "hypercorn+httpx":
        serve_hypercorn(make_httpx_proxy(upstream_url), port)
    elif role == "hypercorn+aiohttp":
        serve_hypercorn(make_aiohttp_proxy(upstream_url), port)
    elif role == "uvicorn+aiohttp":
        serve_uvicorn(make_aiohttp_proxy(upstream_url), port)
    else:
        serve_aiohttp(upstream_url, port)


async def measure(url, calls, connections):
    """Return (median s, 99th percentile s, calls a second) for one target.

    100 calls are sent before the measurement. Each connection sends its next call
    when the previous one has been answered.
    """
    durations = []
    connector = aiohttp.TCPConnector(limit=connections)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def run_worker(count):
            for _ in range(count):
                started = time.perf_counter()
                async with session.get(url) as response:
                    body = await response.read()
                if len(body) != len(BODY):
                    raise RuntimeError(
                        f"expected 200 bytes, got {len(body)} bytes from {url}"
                    )
                durations.append(time.perf_counter() - started)

        await run_worker(100)
        durations.clear()
        started = time.perf_counter()
        await asyncio.gather(
            *(run_worker(calls // connections) for _ in range(connections))
        )
        elapsed = time.perf_counter() - started
    cuts = statistics.quantiles(durations, n=100)
    return statistics.median(durations), cuts[98], len(durations) / elapsed


ROLES = (
    "upstream",
    "hypercorn+httpx",
    "hypercorn+aiohttp",
    "aiohttp+aiohttp",
    "uvicorn+aiohttp",
)


def main():
    """Run the comparison and print one line per candidate."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--serve")
    parser.add_argument("--port", type=int)
    arguments = parser.parse_args()
    upstream_url = f"http://127.0.0.1:{BASE_PORT}"
    if arguments.serve:
        run_role(arguments.serve, arguments.port, upstream_url)
        return
    processes = [
        subprocess.Popen(
            [sys.executable, __file__, "--serve", role, "--port", str(BASE_PORT + i)],
            env={**os.environ, "PYTHONPATH": os.getcwd()},
        )
        for i, role in enumerate(ROLES)
    ]
    try:
        time.sleep(3)
        print("candidate            p50 ms  p99 ms | 16 connections: calls/s  p99 ms")
        for i, role in enumerate(ROLES):
            url = f"http://127.0.0.1:{BASE_PORT + i}/call"
            single = asyncio.run(measure(url, arguments.calls, 1))
            loaded = asyncio.run(measure(url, arguments.calls, 16))
            name = "none (direct)" if role == "upstream" else role
            print(
                f"{name:20} {single[0] * 1e3:6.2f}  {single[1] * 1e3:6.2f} |"
                f" {loaded[2]:23.0f} {loaded[1] * 1e3:7.1f}"
            )
    finally:
        for process in processes:
            process.terminate()
            process.wait()


if __name__ == "__main__":
    main()
