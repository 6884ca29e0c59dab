"""Simulated upstream service for a host of egretliftd.

::

    python -m standins.upstream '{"service": "scheduler", "port": 7300,
        "daemon_port": 7401, "routes": [{"method": "*", "prefix": "/",
        "profile": "browse"}]}'

The argument is a JSON object with fields of ``DEFAULT_OPTIONS`` and, under
``behaviour``, of ``DEFAULT_BEHAVIOUR``. A route may also have ``service_s``,
``distribution``, ``parallel`` and ``calls``: a list of ``{"service", "method",
"path", "repeats", "identifier"}``, which each execution makes through the daemon.
With ``identifier``, a call passes on the received identifier, extended by the
position of the call.
"""

import argparse
import asyncio
import json
import os
import random
import time

import aiohttp
from aiohttp import web

from standins.execution import serve_request
from standins.records import Records
from standins.serving import (
    LimitedServer,
    change_values,
    open_session,
    read_json_object,
    start_server,
    wait_for_stop,
)

ANNOUNCE_PERIOD_S = 1.0

DEFAULT_OPTIONS = {
    "service": None,
    "port": 0,
    "daemon_port": None,  # the daemon's upstream port; None: no daemon
    "routes": [{"method": "*", "prefix": "/", "profile": "default"}],
    "slots": 60,  # largest number of concurrent executions
    "connections": 450,  # further connections are aborted
    "connect_cost_s": 0.0,  # added to the first request of a connection
    "cold_start_s": 0.0,  # time after the start with longer service times
    "cold_start_factor": 3.0,  # of the service times in that time
    "records_path": None,
    "seed": 0,
    "drain_limit_s": 30.0,  # longest wait for open requests when stopping
}

# service_s: mean service time; service_factor multiplies it on all routes.
# distribution: of the service time, "exponential" or "fixed".
# failure_share, lost_share, truncated_share: shares of the requests that, after the
#     execution, are answered with 500, lose the connection without an answer, or lose
#     it within the answer's body.
# answer_delay_s: pause between the execution, which releases its slot, and the answer.
# queue_limit: number of requests waiting for a slot at which queue_full applies to
#     new ones: "refuse" answers 503, "hang" never answers.
# honour_deadline: stop and answer 504 at the deadline given by the daemon.
# announce: send announcements to the daemon.
DEFAULT_BEHAVIOUR = {
    "service_s": 0.02,
    "service_factor": 1.0,
    "distribution": "exponential",
    "failure_share": 0.0,
    "lost_share": 0.0,
    "truncated_share": 0.0,
    "answer_delay_s": 0.0,
    "queue_limit": 2000,
    "queue_full": "refuse",
    "honour_deadline": True,
    "announce": True,
}


class Upstream:
    """Options, behaviour, slots and records of one upstream.

    ``waiting``, ``running`` and ``answering`` count the requests that wait for a slot,
    hold one, or are being answered.
    """

    __slots__ = (
        "answering",
        "behaviour",
        "options",
        "random",
        "records",
        "running",
        "session",
        "slots",
        "started",
        "waiting",
    )

    def __init__(self, options):
        options = dict(options)
        behaviour = options.pop("behaviour", {})
        self.behaviour = change_values(dict(DEFAULT_BEHAVIOUR), behaviour)
        self.options = change_values(dict(DEFAULT_OPTIONS), options)
        self.random = random.Random(self.options["seed"])
        name = f"{self.options['service']}-{os.getpid()}-{id(self):x}"
        self.records = Records(self.options["records_path"], name)
        self.slots = asyncio.Semaphore(self.options["slots"])
        self.started = time.monotonic()
        self.waiting = 0
        self.answering = 0
        self.running = 0
        self.session = None


async def notify_daemon(upstream, message, body=None):
    """Send an announcement, a drain or a leave; return whether it was accepted.

    ``message`` is the path of the daemon's endpoint: ``announce``, ``drain`` or
    ``leave``. Without a daemon nothing is sent, and the result is False.
    """
    if upstream.options["daemon_port"] is None:
        return False
    url = f"http://127.0.0.1:{upstream.options['daemon_port']}/{message}"
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_PERIOD_S)
    try:
        async with upstream.session.post(url, json=body, timeout=timeout) as answer:
            upstream.records.counts[f"{message} {answer.status}"] += 1
            return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        upstream.records.counts[f"{message} failed"] += 1
        return False


async def announce(upstream, port):
    """Announce the service to the daemon every ``ANNOUNCE_PERIOD_S``, forever."""
    names = ("method", "prefix", "profile")
    body = {
        "service": upstream.options["service"],
        "port": port,
        "routes": [
            {name: route[name] for name in names}
            for route in upstream.options["routes"]
        ],
    }
    while True:
        if upstream.behaviour["announce"]:
            await notify_daemon(upstream, "announce", body)
        await asyncio.sleep(ANNOUNCE_PERIOD_S)


async def announce_departure(upstream, message):
    """Stop the announcements and send a drain or a leave.

    Returns whether the daemon accepted it.
    """
    upstream.behaviour["announce"] = False
    return await notify_daemon(upstream, message)


async def answer_control_call(upstream, request):
    """Answer a call to a health endpoint or a control endpoint of the stand-in."""
    # Always healthy: the health endpoints of real upstreams may also hide overload
    # or faults.
    if request.path == "/health":
        return web.json_response({"status": "healthy"})
    if request.path == "/load":
        return web.json_response({"in_use": 0, "queued": 0})
    name = request.path.removeprefix("/stand-in/")
    if name == "records":
        records = upstream.records
        now = {"waiting": upstream.waiting, "running": upstream.running}
        return web.json_response(
            {
                "counts": {**records.counts, **now},
                "records": list(records.executions),
                "headers": list(records.headers),
            }
        )
    if name in ("drain", "leave"):
        return web.json_response({"accepted": await announce_departure(upstream, name)})
    if name == "behaviour":
        try:
            change_values(upstream.behaviour, await read_json_object(request))
        except ValueError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(upstream.behaviour)
    return web.json_response({"error": "no such call"}, status=404)


async def start_upstream(upstream):
    """Start serving an upstream; return its runner, port and announcement task."""
    upstream.session = open_session(timeout=aiohttp.ClientTimeout(total=None))

    async def handle(request):
        is_new_connection = server.mark_used(request.protocol)
        if request.path in ("/health", "/load") or request.path.startswith("/stand-in"):
            return await answer_control_call(upstream, request)
        return await serve_request(upstream, request, is_new_connection)

    server = LimitedServer(
        handle, limit=upstream.options["connections"], handler_cancellation=True
    )
    runner, port = await start_server(server, upstream.options["port"])
    return runner, port, asyncio.ensure_future(announce(upstream, port))


def count_open_requests(upstream):
    """Return the number of requests that have not been answered completely."""
    return upstream.running + upstream.waiting + upstream.answering


async def stop_upstream(upstream, runner, announcement_task):
    """Drain, wait for open requests up to ``drain_limit_s``, leave and stop."""
    # Cancelled first, so that no announcement can arrive after the drain.
    announcement_task.cancel()
    await announce_departure(upstream, "drain")
    limit = time.monotonic() + upstream.options["drain_limit_s"]
    while count_open_requests(upstream) and time.monotonic() < limit:
        await asyncio.sleep(0.02)
    await announce_departure(upstream, "leave")
    await runner.cleanup()
    await upstream.session.close()


async def run_upstream(options):
    """Serve until SIGTERM or SIGINT, then stop gracefully."""
    upstream = Upstream(options)
    runner, _, announcement_task = await start_upstream(upstream)
    await wait_for_stop()
    await stop_upstream(upstream, runner, announcement_task)


def main():
    """Run the upstream from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("options", type=json.loads, help="JSON object")
    asyncio.run(run_upstream(parser.parse_args().options))


if __name__ == "__main__":
    main()
