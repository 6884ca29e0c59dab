"""The announcement of this host's upstream and its lease."""

import time

import anyio

from egretlift.events import record_event
from egretlift.membership import advance_member, merge_members, parse_announcement

# An upstream announces three times in each lease, and gives up an announcement when
# the next one is due. A third of the lease after a drain or leave, none that was sent
# before it is still on its way.
ANNOUNCEMENTS_PER_LEASE = 3


def publish_own_member(board, status, **changes):
    """Give the own member record a new version and spread it soon."""
    board.me = advance_member(board.me, status=status, **changes)
    merge_members(board.members, time.monotonic(), [board.me])
    board.kick_gossip.set()


def accept_announcement(board, body):
    """Take an announcement, renewing its lease.

    Returns
    -------
    bool
        False if it comes so soon after a drain or leave that it was probably sent
        before it.

    Raises
    ------
    ExceptionGroup
        One ``AnnouncementInvalid`` for each invalid value.
    """
    announcement = parse_announcement(body)
    upstream = board.upstream
    if time.monotonic() < upstream.closed_until:
        return False
    changed = (
        upstream.status != "serving"
        or upstream.service != announcement.service
        or upstream.routes != announcement.routes
        or (upstream.address, upstream.port)
        != (announcement.address, announcement.port)
    )
    upstream.expires_at = time.monotonic() + board.settings.announcement_lease_s
    if not changed:
        return True
    upstream.service = announcement.service
    upstream.address = announcement.address
    upstream.port = announcement.port
    upstream.routes = announcement.routes
    upstream.status = "serving"
    record_event("upstream-announced", service=upstream.service, port=upstream.port)
    publish_own_member(
        board,
        "draining" if board.stopping else "alive",
        service=announcement.service,
        routes=announcement.routes,
    )
    return True


def mark_upstream_leaving(board, kind):
    """Send the upstream no new work, after ``drain``, ``leave`` or a lapse."""
    board.upstream.status = "left" if kind == "leave" else "draining"
    wait_s = board.settings.announcement_lease_s / ANNOUNCEMENTS_PER_LEASE
    board.upstream.closed_until = time.monotonic() + wait_s
    record_event("upstream-leaving", kind=kind, service=board.upstream.service)
    publish_own_member(board, "draining")


async def expire_announcement(board):
    """Stop new work when an announcement's lease lapses."""
    while True:
        await anyio.sleep(0.1)
        upstream = board.upstream
        if upstream.status == "serving" and time.monotonic() > upstream.expires_at:
            upstream.status = "absent"
            record_event("announcement-lapsed", service=upstream.service)
            publish_own_member(board, "draining")
