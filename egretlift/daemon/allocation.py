"""Requests of hosts for shares of organisations' rates, and the holder's answers."""

import time

import anyio

from egretlift.blackboard import count
from egretlift.daemon.messages import send_control
from egretlift.daemon.tasks import start_task
from egretlift.daemon.zone import get_own_lease
from egretlift.daemon.zone_shares import ensure_allocator
from egretlift.quotas import (
    Allocation,
    allocate,
    apply_allocation,
    compute_demand,
    holds_lease,
    is_request_due,
    make_request,
)
from egretlift.transport.codec import (
    pack_allocation,
    pack_request,
    unpack_allocation,
    unpack_request,
)
from egretlift.transport.control import ControlFailed

TICK_S = 0.02
# Without open requests no call waits for a token, and only renewals become due. A call
# that needs a token sets ``share_wanted``, which ends the wait at once.
IDLE_TICK_S = 0.1


def allocate_request(board, request):
    """Return the allocation for a request.

    It is empty if this host does not hold the zone lease or the organisation is not
    configured.
    """
    now = time.monotonic()
    if holds_lease(get_own_lease(board), board.settings, now):
        allocator = ensure_allocator(board, request.organisation, now)
        if allocator is not None:
            return allocate(allocator, board.settings, now, request)
    return Allocation(request, 0)


async def answer_allocate(board, message):
    """Answer another host's ``Allocate`` message."""
    count(board, "control_bytes", "received", message.ByteSize())
    reply = pack_allocation(allocate_request(board, unpack_request(message)))
    count(board, "control_bytes", "sent", reply.ByteSize())
    return reply


def find_holder(board, zone):
    """Return the last known holder of a zone's lease, an empty string if unknown."""
    if zone == board.settings.zone:
        return get_own_lease(board).lease.holder
    return board.holders.get(zone, (0, ""))[1]


async def ask_holder(board, zone, share):
    """Request a share from a zone's lease holder and apply its allocation.

    Calls that wait for tokens are woken. Without a reply the share stays as it is.
    """
    holder = find_holder(board, zone)
    sent_at = time.monotonic()
    request = make_request(share, sent_at)
    if holder == board.settings.host:
        allocation = allocate_request(board, request)
    else:
        allocation = await request_from_member(board, holder, request)
    if allocation is None:
        return
    if apply_allocation(share, sent_at, time.monotonic(), allocation):
        held = board.organisation_shares[share.organisation]
        held.allocated.set()
        held.allocated = anyio.Event()


async def request_from_member(board, holder, request):
    """Send a request to a holder; return its allocation, None if it is unreachable."""
    member = board.members.members.get(holder)
    if member is None:
        return None
    try:
        reply = await send_control(board, member, "Allocate", pack_request(request))
    except ControlFailed:
        return None
    return unpack_allocation(request, reply)


async def keep_shares(board):
    """Send the share requests that are due until the daemon stops."""
    settings = board.settings
    while True:
        tick_s = TICK_S if board.open_requests else IDLE_TICK_S
        with anyio.move_on_after(tick_s):
            await board.share_wanted.wait()
        board.share_wanted = anyio.Event()
        now = time.monotonic()
        for held in list(board.organisation_shares.values()):
            for zone, share in held.shares.items():
                if is_request_due(share, settings, now):
                    start_task(board, ask_holder, zone, share)
        await anyio.sleep(0.002)


def describe_shares(board):
    """Return this host's shares as dicts for the state page."""
    now = time.monotonic()
    return [
        {
            "organisation": share.organisation,
            "zone": zone,
            "rate": share.bucket.rate,
            "burst": share.bucket.burst,
            "tokens": share.bucket.tokens,
            "demand": compute_demand(share, now),
            "expires_in_s": share.expires_at - now,
            "epoch": share.epoch,
        }
        for held in board.organisation_shares.values()
        for zone, share in held.shares.items()
    ]


def describe_allocators(board):
    """Return the allocators that this host runs as lease holder, as dicts.

    The list is empty on hosts that do not hold the lease of their zone.
    """
    return [
        {
            "organisation": allocator.organisation,
            "rate": allocator.rate,
            "burst": allocator.burst,
            "granted_rate": allocator.granted_rate,
            "granted_burst": allocator.granted_burst,
            "demand": allocator.demand,
            "hosts": len(allocator.grants),
        }
        for allocator in board.allocators.values()
    ]
