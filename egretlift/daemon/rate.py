"""Tokens of an organisation's rate on this host.

A call reserves a token when it arrives and draws it when it is dispatched. A
reservation keeps the call from waiting in the queue for a token that others
will take; only the draw counts, since calls drawn before queueing could be
dispatched in a burst.

A host holds one share for each zone whose holder has granted it one. It draws
from its own zone's share first. When that is short it also asks the holders of
other zones, so that a rate that is small for the number of zones is not refused
while tokens lie unused elsewhere. Each zone's holder counts all hosts that it
grants to, so the bound holds as it does with one share.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import find_quota
from egretlift.quotas import Share, available_tokens, count_demand, draw_share

# A waiting call looks again after this time, since its bucket also refills.
TOKEN_RECHECK_S = 0.02
# Zones other than the own one that are asked at once when tokens are short.
ZONES_ASKED = 2


class Quota:
    """What this host holds of an organisation's rate.

    Attributes
    ----------
    shares : dict of str to Share
        By the zone whose holder granted the share; the own zone comes first.
    reserved : dict of str to int
        Tokens reserved by calls that have not been dispatched, by zone.
    allocated : anyio.Event
        Set and replaced when an allocation arrives.
    """

    __slots__ = ("allocated", "reserved", "shares")

    def __init__(self):
        self.shares = {}
        self.reserved = {}
        self.allocated = anyio.Event()


def ensure_share(board, organisation, zone):
    """Return this host's share from a zone, opened empty if needed."""
    quota = board.quotas.get(organisation)
    if quota is None:
        quota = board.quotas[organisation] = Quota()
        if zone != board.settings.zone:
            ensure_share(board, organisation, board.settings.zone)
    share = quota.shares.get(zone)
    if share is None:
        share = quota.shares[zone] = Share(
            organisation, board.settings.host, board.incarnation, time.monotonic()
        )
        quota.reserved[zone] = 0
    return share


def try_reserve(quota):
    """Reserve a token of any share; return its zone, or None."""
    now = time.monotonic()
    for zone, share in quota.shares.items():
        if available_tokens(share, now) - quota.reserved[zone] >= 1:
            quota.reserved[zone] += 1
            return zone
    return None


def request_tokens(board, organisation, asked):
    """Mark shares as urgent: the own zone's first, then those of other zones.

    Parameters
    ----------
    asked : int
        How often the call has asked before.
    """
    own = ensure_share(board, organisation, board.settings.zone)
    own.urgent = True
    # An own zone that granted nothing last time is not waited for again.
    if asked == 1 or (asked == 0 and own.number and not own.bucket.burst):
        others = [zone for zone in board.holders if zone != board.settings.zone]
        chosen = board.random.sample(others, min(ZONES_ASKED, len(others)))
        for zone in chosen:
            share = ensure_share(board, organisation, zone)
            count_demand(share, time.monotonic())
            share.urgent = True
    board.share_wanted.set()


async def reserve_token(board, call):
    """Reserve a token for a call, waiting a little for tokens to arrive.

    Returns
    -------
    str or None
        Zone of the share with the token; None if none could be had in time.
    """
    organisation = call.organisation
    if find_quota(board.catalog, organisation) is None:
        return None
    share = ensure_share(board, organisation, board.settings.zone)
    quota = board.quotas[organisation]
    count_demand(share, time.monotonic())
    give_up_at = min(time.monotonic() + board.settings.share_wait_s, call.deadline)
    asked = 0
    while True:
        zone = try_reserve(quota)
        wait_s = min(give_up_at - time.monotonic(), TOKEN_RECHECK_S)
        if zone is not None or wait_s <= 0:
            return zone
        request_tokens(board, organisation, asked)
        asked += 1
        with anyio.move_on_after(wait_s):
            await quota.allocated.wait()


def draw_token(board, organisation, zone):
    """Draw the reserved token of a call that is about to be dispatched."""
    share = board.quotas[organisation].shares[zone]
    drawn = draw_share(share, time.monotonic(), again=True)
    if not drawn:
        count(board, "draws_failed", organisation)
    return drawn


def release_reservation(board, organisation, zone):
    """End a reservation, whether its token was drawn or not."""
    board.quotas[organisation].reserved[zone] -= 1
