"""Entry point of the sidecar daemon: ``python -m egretlift.sidecar``."""

import gc
import os
import signal
import sys
import time

import anyio

from egretlift.daemon.tasks import keep_running
from egretlift.events import record_event, start_logging
from egretlift.events.output import Output
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import read_settings_file
from egretlift.platform.names import HOST_KIND, SETTINGS_FILE_VARIABLE
from egretlift.platform.store import StoreClient
from egretlift.sidecar.board import Board
from egretlift.sidecar.callers import handle_caller
from egretlift.sidecar.heartbeats import handle_heartbeat, handle_readiness
from egretlift.sidecar.metrics import handle_metrics
from egretlift.sidecar.peers import handle_peer
from egretlift.sidecar.reporting import fetch_configuration, send_reports
from egretlift.sidecar.watching import follow_configuration, follow_hosts, keep_entry
from egretlift.transport.exchange import close_idle, close_pool
from egretlift.transport.server import listen

STDOUT = 1
# The platform notices within this time that the daemon takes no callers.
LINGER_S = 2.7
# Left of the grace time for closing connections.
CLOSE_S = 0.6
TIDY_INTERVAL_S = 1.0

CONTROLLERS = (
    follow_configuration,
    follow_hosts,
    keep_entry,
    send_reports,
    fetch_configuration,
)


def bind_board(handle, board):
    """Return a handler of one argument that uses the blackboard."""

    async def handle_one(request):
        return await handle(board, request)

    return handle_one


async def open_ports(board):
    """Open the HTTP ports and return their (server, listener) pairs."""
    settings = board.settings
    metrics = (settings.address, settings.metrics_port)
    ports = []
    for handle, endpoint in (
        (handle_readiness, settings.readiness),
        (handle_heartbeat, settings.heartbeats),
        (handle_peer, settings.peer),
        (handle_metrics, metrics),
        (handle_caller, settings.caller),
    ):
        ports.append(await listen(bind_board(handle, board), settings, *endpoint))
    return ports


async def tidy(board):
    """Close idle connections and check the settings file at intervals."""
    while True:
        await anyio.sleep(TIDY_INTERVAL_S)
        now = time.monotonic()
        close_idle(board.upstream_pool, now)
        close_idle(board.peer_pool, now)


async def wait_for_stop(board):
    """Return when the process is asked to stop; reload the settings on SIGHUP."""
    wanted = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*wanted) as signals:
        async for number in signals:
            if number != signal.SIGHUP:
                return
            record_event("settings-signalled")


async def drain(board):
    """Stop gracefully: take what still comes, finish it, and close.

    The daemon is not ready from the first moment. It goes on serving until the
    platform has noticed that. What comes later could not end before the kill and is
    refused, as callers may still be sent here when a zone has few daemons left.
    """
    settings = board.settings
    started = time.monotonic()
    board.stopping = True
    board.change_entry()
    record_event("stopping", open_requests=board.open_requests)
    await anyio.sleep(LINGER_S)
    board.refusing = True
    with anyio.move_on_after(settings.bounds.grace_s - CLOSE_S - LINGER_S):
        while board.open_requests:
            await anyio.sleep(0.02)
    seconds = round(time.monotonic() - started, 3)
    record_event("stopped", open_requests=board.open_requests, seconds=seconds)


async def remove_entry(board):
    """Remove this host's entry if its upstream has left for good."""
    if board.upstream.status == "gone" and board.own_revision is not None:
        with anyio.move_on_after(CLOSE_S / 2):
            await board.store.delete_object(
                HOST_KIND, board.settings.host, board.own_revision
            )


async def run_daemon(settings):
    """Run the daemon until it is asked to stop.

    Parameters
    ----------
    settings : SidecarSettings
    """
    start_logging(settings.host, Output(STDOUT))
    board = Board(settings, dialect, StoreClient(settings.store))
    record_event("started", zone=settings.zone, service=settings.service)
    try:
        async with anyio.create_task_group() as tasks:
            board.tasks = tasks
            for controller in CONTROLLERS:
                tasks.start_soon(keep_running, board, controller)
            tasks.start_soon(keep_running, board, tidy)
            ports = await open_ports(board)
            # What was built so far stays; collections need not walk it again.
            gc.collect()
            gc.freeze()
            await wait_for_stop(board)
            await drain(board)
            await remove_entry(board)
            for _, listener in ports:
                listener.close()
            tasks.cancel_scope.cancel()
    finally:
        close_pool(board.upstream_pool)
        close_pool(board.peer_pool)


def main():
    """Check the settings and run the daemon; exit status 2 for bad settings."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    try:
        settings = read_settings_file(path)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f"event=settings-invalid error={str(error)!r}", file=sys.stderr)
        raise SystemExit(2) from None
    anyio.run(run_daemon, settings)
