"""Announcements of this host's upstream, and their lease."""

import time

import anyio

from egretlift.events import record_event
from egretlift.membership import advance_member, merge_members, parse_announcement

# An upstream announces itself three times in each lease and cancels an announcement
# when the next one is due. So once a third of the lease has passed since a drain or
# leave, no announcement that was sent before it can still arrive.
ANNOUNCEMENTS_PER_LEASE = 3


def publish_own_member(board, status, **changes):
    """Update this host's own member record and gossip it without delay.

    The record gets a new version, also if only the status is given.
    """
    board.me = advance_member(board.me, status=status, **changes)
    merge_members(board.members, time.monotonic(), [board.me])
    board.gossip_wanted.set()


def accept_announcement(board, body):
    """Apply an announcement and renew its lease.

    Returns
    -------
    bool
        False if it is ignored because it arrives less than a third of a lease after
        a drain or leave, so that it was probably sent earlier.

    Raises
    ------
    ExceptionGroup
        One ``AnnouncementInvalid`` for each invalid value.
    """
    announcement = parse_announcement(body)
    upstream = board.upstream
    if time.monotonic() < upstream.ignore_announcements_until:
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
    """Send no new work to the upstream after its request to drain or leave.

    Parameters
    ----------
    kind : str
        ``drain`` or ``leave``.
    """
    board.upstream.status = "left" if kind == "leave" else "draining"
    wait_s = board.settings.announcement_lease_s / ANNOUNCEMENTS_PER_LEASE
    board.upstream.ignore_announcements_until = time.monotonic() + wait_s
    record_event("upstream-leaving", kind=kind, service=board.upstream.service)
    publish_own_member(board, "draining")


async def expire_announcement(board):
    """Send no new work to the upstream once its announcement has expired."""
    while True:
        await anyio.sleep(0.1)
        upstream = board.upstream
        if upstream.status == "serving" and time.monotonic() > upstream.expires_at:
            upstream.status = "absent"
            record_event("announcement-lapsed", service=upstream.service)
            publish_own_member(board, "draining")
