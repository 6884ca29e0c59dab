"""Entry point of ``egretliftd``."""

import os
import sys
import time

import anyio

from egretlift.blackboard import Blackboard
from egretlift.daemon.allocation import answer_allocate, keep_shares
from egretlift.daemon.announcements import expire_announcement, publish_own_member
from egretlift.daemon.callers import handle_caller
from egretlift.daemon.claims import remove_claims
from egretlift.daemon.execution import expire_queue
from egretlift.daemon.gossip import (
    announce_departure,
    answer_gossip,
    answer_probe,
    expire_members,
    gossip_periodically,
    spread_changes,
)
from egretlift.daemon.operators import serve_operators
from egretlift.daemon.peers import handle_peer
from egretlift.daemon.tasks import keep_running
from egretlift.daemon.upstreams import handle_upstream
from egretlift.daemon.watch import follow_platform
from egretlift.daemon.zone import (
    answer_lease_question,
    confirm_zone_lease,
    keep_zone_lease,
    publish_seeds,
    release_zone_lease,
)
from egretlift.daemon.zone_shares import keep_zone_shares
from egretlift.errors import EgretliftError
from egretlift.events import record_event, start_logging
from egretlift.idempotency import delete_expired_record, delete_expired_records
from egretlift.platform.client import PlatformClient
from egretlift.settings import parse_settings
from egretlift.signals import handle_signals
from egretlift.transport.control import (
    ControlHandlers,
    close_channels,
    close_control,
    serve_control,
)
from egretlift.transport.forward import open_session
from egretlift.transport.server import close_when_idle, listen

# Time for gossip to tell other daemons that this host drains, before its ports close.
DRAIN_PROPAGATION_S = 1.0
UPSTREAM_ADDRESS = "127.0.0.1"


def bind_board(handle, board):
    """Return a handler that takes one argument and passes the blackboard first."""

    async def handle_one(argument):
        return await handle(board, argument)

    return handle_one


async def open_ports(board):
    """Open the HTTP ports of peers, the upstream and callers.

    Returns
    -------
    dict of str to (server, listener)
        By ``peer``, ``upstream`` and ``caller``.
    """
    settings = board.settings
    return {
        use: await listen(bind_board(handle, board), settings, address, port)
        for use, handle, address, port in (
            ("peer", handle_peer, settings.address, settings.peer_port),
            ("upstream", handle_upstream, UPSTREAM_ADDRESS, settings.upstream_port),
            ("caller", handle_caller, settings.address, settings.caller_port),
        )
    }


async def tidy_ledger(board):
    """Remove expired identifiers from the ledger every 10 seconds."""
    while True:
        await anyio.sleep(10)
        now = time.monotonic()
        # The platform keeps the claim longer than the ledger keeps the record, and a
        # resend that finds the claim without its record is not run again.
        for key in delete_expired_records(board.ledger, now):
            delete_expired_record(board.ledger, now, *key)


async def drain(board, ports):
    """Stop gracefully: finish every request that is in flight.

    New requests from callers are forwarded to other hosts, since this host's own
    upstream gets no new work. Each answer closes its connection, so that callers
    with keep-alive connections move to other hosts.
    """
    board.stopping = True
    record_event("stopping", open_requests=board.open_requests)
    publish_own_member(board, "draining")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(release_zone_lease, board)
        tasks.start_soon(finish_requests, board, ports)
    await announce_departure(board)
    for server, _ in ports.values():
        close_when_idle(server)
    # A request may have arrived on a connection just before it closed.
    with anyio.move_on_after(board.settings.drain_limit_s):
        await wait_until_idle(board)
    for server, listener in ports.values():
        listener.close()
        await server.shutdown(1)
    record_event("stopped")


async def finish_requests(board, ports):
    """Close the peer and caller ports and wait for open requests.

    The ports stay open for ``DRAIN_PROPAGATION_S`` first.
    """
    with anyio.move_on_after(board.settings.drain_limit_s):
        await anyio.sleep(DRAIN_PROPAGATION_S)
        # The upstream port stays open, since running calls may make outgoing calls.
        for use in ("peer", "caller"):
            ports[use][1].close()
        await wait_until_idle(board)
    if board.open_requests:
        record_event("drain-limit-reached", open_requests=board.open_requests)


async def wait_until_idle(board):
    """Wait until no request is open and the upstream runs no call."""
    while board.open_requests or board.calls:
        await anyio.sleep(0.02)


CONTROLLERS = (
    expire_queue,
    expire_announcement,
    expire_members,
    gossip_periodically,
    spread_changes,
    follow_platform,
    keep_zone_lease,
    confirm_zone_lease,
    keep_zone_shares,
    publish_seeds,
    keep_shares,
    tidy_ledger,
    remove_claims,
)


async def run_daemon(settings):
    """Run one daemon until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    settings : Settings
    """
    incarnation = int(time.time() * 1000)
    start_logging(settings.host)
    board = Blackboard(settings, incarnation)
    board.platform = PlatformClient(settings)
    board.sessions = {
        "upstream": open_session(settings),
        "peers": open_session(settings),
    }
    handlers = ControlHandlers(
        settings.mesh_secret,
        bind_board(answer_gossip, board),
        bind_board(answer_probe, board),
        bind_board(answer_allocate, board),
        bind_board(answer_lease_question, board),
    )
    control = await serve_control(handlers, settings.address, settings.control_port)
    ports = await open_ports(board)
    publish_own_member(board, "alive")
    record_event("started", zone=settings.zone, incarnation=incarnation)
    try:
        async with anyio.create_task_group() as tasks:
            board.tasks = tasks
            # Not restarted after an error: a daemon that cannot serve this port ends,
            # since it could not be observed.
            tasks.start_soon(serve_operators, board)
            for controller in CONTROLLERS:
                tasks.start_soon(keep_running, board, controller)
            stop = anyio.Event()
            await tasks.start(handle_signals, stop)
            await stop.wait()
            await drain(board, ports)
            board.stop.set()
            await anyio.sleep(0)
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await close_control(control)
            close_channels(board.channels)
            for session in board.sessions.values():
                await session.close()
            await board.platform.close()


def list_errors(group):
    """Return the errors of an exception group, nested groups flattened."""
    errors = []
    for error in group.exceptions:
        nested = isinstance(error, BaseExceptionGroup)
        errors.extend(list_errors(error) if nested else [error])
    return errors


def main():
    """Check the settings and run the daemon.

    Raises
    ------
    SystemExit
        Status 2 for invalid settings, 1 if a port cannot be opened or the daemon
        fails.
    """
    try:
        settings = parse_settings(sys.argv[1:], os.environ)
    except ExceptionGroup as group:
        for error in group.exceptions:
            print(f"egretliftd: {error}", file=sys.stderr)
        raise SystemExit(2) from None
    try:
        anyio.run(run_daemon, settings)
    except* OSError as group:
        for error in list_errors(group):
            print(
                f"egretliftd: {error}; free the port or choose another",
                file=sys.stderr,
            )
        raise SystemExit(1) from None
    except* EgretliftError as group:
        for error in list_errors(group):
            print(f"egretliftd: {error}", file=sys.stderr)
        raise SystemExit(1) from None


if __name__ == "__main__":
    main()
