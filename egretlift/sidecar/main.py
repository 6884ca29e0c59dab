"""Entry point of the sidecar daemon: ``python -m egretlift.sidecar``."""

import gc
import math
import os
import resource
import sys
from functools import partial
from pathlib import Path

import anyio

from egretlift.admission.slots import refuse_waiting
from egretlift.admission.upstream_limit import get_stated_rate
from egretlift.clock import read_clock
from egretlift.daemon.tasks import keep_running
from egretlift.events import record_event, start_logging
from egretlift.events.output import Output
from egretlift.outcome import EXCHANGE_HEADER
from egretlift.platform import requests as dialect
from egretlift.platform.bootfile import read_settings_file
from egretlift.platform.names import SETTINGS_FILE_VARIABLE
from egretlift.platform.store import StoreClient
from egretlift.sidecar.board import Board
from egretlift.sidecar.bodies import get_body_bytes
from egretlift.sidecar.callers import handle_caller, refuse_early
from egretlift.sidecar.configurations import follow_configuration
from egretlift.sidecar.eras import adopt_era
from egretlift.sidecar.fetching import fetch_configuration, fetch_hosts
from egretlift.sidecar.heap import return_large_blocks
from egretlift.sidecar.heartbeats import handle_heartbeat, handle_readiness
from egretlift.sidecar.host_entries import follow_hosts, forget_hosts
from egretlift.sidecar.metrics import handle_metrics
from egretlift.sidecar.own_entry import keep_entry, write_last_entry
from egretlift.sidecar.peers import handle_peer
from egretlift.sidecar.rates import send_rates
from egretlift.sidecar.reporting import send_reports
from egretlift.sidecar.restored_entry import keep_entry_restored
from egretlift.sidecar.suspects import share_suspects
from egretlift.signals import handle_signals
from egretlift.transport.exchange import close_idle, close_pool
from egretlift.transport.http_server import (
    cancel_pending,
    check_connections,
    listen,
)
from egretlift.transport.memory import set_memory
from egretlift.transport.server_group import ServerGroup

STDOUT = 1
# Descriptors that are not for sockets, and the share of the others that is for
# connections which the ports accept.
FILE_DESCRIPTORS = 200
ACCEPTED_SHARE = 0.75
CONNECTIONS_MINIMUM = 20
# The platform needs up to this long to notice that the daemon is not ready.
READINESS_LAG_S = 2.7
# A stopping daemon takes calls of other daemons for this long: in a rolling restart
# most upstreams of a service would otherwise be unavailable at once. The remaining
# time of READINESS_LAG_S allows for lost reports.
PEER_CALLS_S = 1.6
# Part of the grace time that is kept for closing connections.
CLOSE_RESERVE_S = 0.6
# Before that, the requests that are still open get an answer of the daemon within this
# time. An upstream answers at the deadline that it was given, which ends before.
CUT_OFF_S = 0.15
MAINTENANCE_INTERVAL_S = 1.0

CONTROLLERS = (
    follow_configuration,
    follow_hosts,
    keep_entry,
    forget_hosts,
    keep_entry_restored,
    send_reports,
    send_rates,
    share_suspects,
    fetch_configuration,
    fetch_hosts,
)


def bind_board(handle, board):
    """Return a handler of one argument that passes the board to another handler."""

    async def handle_one(request):
        return await handle(board, request)

    return handle_one


def compute_connections_maximum(settings):
    """Return how many connections all ports may have open together.

    The rest of the process's descriptors is for its own connections, and for files.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [settings.descriptors or math.inf, math.inf if soft < 0 else soft]
    sockets = min(limits) - FILE_DESCRIPTORS
    return max(CONNECTIONS_MINIMUM, ACCEPTED_SHARE * sockets)


async def open_ports(board):
    """Open the HTTP ports and return their (server, listener) pairs."""
    settings = board.settings
    metrics = (settings.address, settings.metrics_port)
    group = ServerGroup(board.memory, compute_connections_maximum(settings))
    group.report = board.report_surplus
    ports = []
    calls = {"get_body_bytes": partial(get_body_bytes, board)}
    callers = {**calls, "check_head": partial(refuse_early, board)}
    for handle, endpoint, repeated_header, options in (
        (handle_readiness, settings.readiness, "", {}),
        (handle_heartbeat, settings.heartbeats, "", {}),
        (handle_peer, settings.peer, EXCHANGE_HEADER, calls),
        (handle_metrics, metrics, "", {}),
        (handle_caller, settings.caller, "", callers),
    ):
        handle_one = bind_board(handle, board)
        ports.append(
            await listen(
                handle_one, settings, *endpoint, repeated_header, group, **options
            )
        )
    return ports


async def tidy(board):
    """Close idle connections and check the settings file at intervals."""
    while True:
        await anyio.sleep(MAINTENANCE_INTERVAL_S)
        now = read_clock()
        close_idle(board.upstream_pool, now)
        close_idle(board.peer_pool, now)
        log_limited_upstream(board)
        reload_settings(board)


def log_limited_upstream(board):
    """Log how many requests the upstream has got while it states a rate limit."""
    rate_per_s = get_stated_rate(board.slots.rate_limit)
    if rate_per_s is not None:
        board.log_change(
            "upstream-limited",
            rate_per_s=rate_per_s,
            requests=board.count_upstream_requests(),
            running=board.slots.running,
            queued=len(board.slots.waiting),
        )


def reload_settings(board):
    """Apply the settings file if it has changed; an invalid one changes nothing.

    New bounds and intervals take effect; ports that are open stay where they are.
    """
    try:
        content = Path(board.settings_path).read_bytes()
    except OSError as error:
        board.log_change("settings-unreadable", cause=str(error))
        return
    if content == board.settings_content:
        return
    board.settings_content = content
    try:
        board.settings = read_settings_file(board.settings_path)
    except ExceptionGroup as group:
        for error in group.exceptions:
            board.log_change("settings-invalid", cause=str(error))
        return
    set_memory(board.memory, board.settings.memory_mb)
    board.log_change("settings-reloaded", heartbeat_s=board.settings.heartbeat_s)


async def drain(board, servers):
    """Stop gracefully: accept requests for a while, then finish the open ones.

    The daemon reports at once that it is not ready. It serves callers until the
    platform has noticed that, and calls of other daemons for a shorter time. Later
    requests could not end before the process is killed and are refused: when a zone
    has few daemons left, the platform may still send callers here. Requests that are
    taken during the stop must end within it, those that wait for a slot by then go
    elsewhere, and what is open in the end is told whether it may have run.
    """
    settings = board.settings
    started = read_clock()
    board.stopping = True
    stopped_at = started + settings.bounds.grace_s - CLOSE_RESERVE_S
    board.end_at = stopped_at - CUT_OFF_S
    record_event("stopping", open_requests=board.open_requests)
    await anyio.sleep(PEER_CALLS_S)
    board.leaving = True
    board.mark_entry_changed()
    await anyio.sleep(READINESS_LAG_S - PEER_CALLS_S)
    board.refusing = True
    refuse_waiting(board.slots, "stopping")
    await wait_until_answered(board, stopped_at - CUT_OFF_S / 2)
    board.ending = True
    for server in servers:
        cancel_pending(server)
    await wait_until_answered(board, stopped_at)
    seconds = round(read_clock() - started, 3)
    record_event("stopped", open_requests=board.open_requests, seconds=seconds)


async def wait_until_answered(board, latest):
    """Wait until no request is open, or until the clock reads ``latest``."""
    while board.open_requests and read_clock() < latest:
        await anyio.sleep(0.02)


async def run_daemon(settings, path):
    """Run the daemon until it is asked to stop.

    Parameters
    ----------
    settings : SidecarSettings
    path : str
        Path of the settings file, which is read again when it changes.
    """
    start_logging(settings.host, Output(STDOUT))
    board = Board(settings, dialect, StoreClient(settings.store))
    board.store.report_era = partial(adopt_era, board)
    board.settings_path = path
    board.settings_content = Path(path).read_bytes()
    record_event("started", zone=settings.zone, service=settings.service)
    try:
        async with anyio.create_task_group() as tasks:
            # Before any port is open, so that no signal cuts off a request.
            stop = anyio.Event()
            await tasks.start(handle_signals, stop, partial(reload_settings, board))
            for controller in CONTROLLERS:
                tasks.start_soon(keep_running, board, controller)
            tasks.start_soon(keep_running, board, tidy)
            ports = await open_ports(board)
            for server, _ in ports:
                tasks.start_soon(check_connections, server)
            # Objects made so far live until the end: exempt them from collection.
            gc.collect()
            gc.freeze()
            await stop.wait()
            await drain(board, [server for server, _ in ports])
            await write_last_entry(board)
            for _, listener in ports:
                listener.close()
            tasks.cancel_scope.cancel()
    finally:
        close_pool(board.upstream_pool)
        close_pool(board.peer_pool)


def main():
    """Run the daemon; exit with status 2 if its settings are invalid."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE, "")
    try:
        settings = read_settings_file(path)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f"event=settings-invalid error={str(error)!r}", file=sys.stderr)
        raise SystemExit(2) from None
    # The users' platform does not permit io_uring, which libuv uses unless told not to.
    # From uvloop 0.23 on, libuv uses it in any case; the dependencies exclude that.
    os.environ["UV_USE_IO_URING"] = "0"
    return_large_blocks()
    options = {"use_uvloop": True}
    anyio.run(run_daemon, settings, path, backend_options=options)
