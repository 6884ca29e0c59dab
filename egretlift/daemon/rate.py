"""Rate tokens of organisations on this host.

A call reserves a token when it arrives and draws it from the bucket when it is
dispatched. Because of the reservation, no call waits in the queue for a token that
other calls will take. Only the draw uses up the rate: if tokens were drawn before
queueing, calls could be dispatched in a burst.

A host has one share of an organisation's rate for each zone whose lease holder has
granted it one. It draws from the share of its own zone first. If that runs short, it
also asks the holders of other zones, so that calls are not refused while tokens are
unused in other zones, as happens if the rate is small for the number of zones. Each
holder counts all hosts that it grants to, so the rate limit holds as with one share.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import find_organisation
from egretlift.quotas import (
    Share,
    count_available_tokens,
    count_demand,
    draw_from_share,
)

# A call that waits for a token checks again after this time, since buckets refill
# without any notice.
TOKEN_RECHECK_S = 0.02
# Other zones asked at the same time when the own zone's tokens run short.
ZONES_ASKED = 2


class OrganisationShares:
    """The shares of an organisation's rate that this host holds.

    Attributes
    ----------
    shares : dict of str to Share
        By the zone whose lease holder grants the share; the own zone comes first.
    reserved : dict of str to int
        Number of tokens reserved by calls that are not yet dispatched, by zone.
    allocated : anyio.Event
        Set, and replaced by a new event, when an allocation arrives.
    """

    __slots__ = ("allocated", "reserved", "shares")

    def __init__(self):
        self.shares = {}
        self.reserved = {}
        self.allocated = anyio.Event()


def ensure_share(board, organisation, zone):
    """Return this host's share from a zone; create an empty one if there is none."""
    held = board.organisation_shares.get(organisation)
    if held is None:
        held = board.organisation_shares[organisation] = OrganisationShares()
        if zone != board.settings.zone:
            ensure_share(board, organisation, board.settings.zone)
    share = held.shares.get(zone)
    if share is None:
        share = held.shares[zone] = Share(
            organisation, board.settings.host, board.incarnation, time.monotonic()
        )
        held.reserved[zone] = 0
    return share


def try_reserve(held):
    """Reserve a token of any share.

    Returns
    -------
    str or None
        Zone of the share; None if no share has an unreserved token.
    """
    now = time.monotonic()
    for zone, share in held.shares.items():
        if count_available_tokens(share, now) - held.reserved[zone] >= 1:
            held.reserved[zone] += 1
            return zone
    return None


def request_tokens(board, organisation, asked):
    """Mark shares as urgent: the own zone's first, then those of other zones.

    Parameters
    ----------
    asked : int
        Number of earlier requests by the same call. Other zones are asked at the
        second request, or at the first if the own zone granted nothing last time.
    """
    own = ensure_share(board, organisation, board.settings.zone)
    own.urgent = True
    # Waiting for an own zone that granted nothing last time would be in vain.
    if asked == 1 or (asked == 0 and own.number and not own.bucket.burst):
        others = [zone for zone in board.holders if zone != board.settings.zone]
        chosen = board.random.sample(others, min(ZONES_ASKED, len(others)))
        for zone in chosen:
            share = ensure_share(board, organisation, zone)
            count_demand(share, time.monotonic())
            share.urgent = True
    board.share_wanted.set()


async def reserve_token(board, call):
    """Reserve a token for a call, waiting up to ``share_wait_s`` for one to arrive.

    Returns
    -------
    str or None
        Zone of the share with the token; None if there was none in time, or if the
        organisation has no quota.
    """
    organisation = call.organisation
    if find_organisation(board.catalog, organisation) is None:
        return None
    share = ensure_share(board, organisation, board.settings.zone)
    held = board.organisation_shares[organisation]
    count_demand(share, time.monotonic())
    give_up_at = min(time.monotonic() + board.settings.share_wait_s, call.deadline)
    asked = 0
    while True:
        zone = try_reserve(held)
        wait_s = min(give_up_at - time.monotonic(), TOKEN_RECHECK_S)
        if zone is not None or wait_s <= 0:
            return zone
        request_tokens(board, organisation, asked)
        asked += 1
        with anyio.move_on_after(wait_s):
            await held.allocated.wait()


def draw_token(board, organisation, zone):
    """Draw a reserved token just before dispatch; return whether there was one.

    There may be none, for instance if the share expired after the reservation.
    """
    share = board.organisation_shares[organisation].shares[zone]
    drawn = draw_from_share(share, time.monotonic(), again=True)
    if not drawn:
        count(board, "draws_failed", organisation)
    return drawn


def release_reservation(board, organisation, zone):
    """End a reservation, whether its token was drawn or not."""
    board.organisation_shares[organisation].reserved[zone] -= 1
