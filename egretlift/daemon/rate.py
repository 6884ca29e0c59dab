"""Tokens of an organisation's rate on this host.

A call reserves a token when it arrives and draws it when it is dispatched. A
reservation keeps the call from waiting in the queue for a token that others
will take; only the draw counts, since calls drawn before queueing could be
dispatched in a burst.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.configuration import find_quota
from egretlift.quotas import Share, available_tokens, count_demand, draw_share

# A waiting call looks again after this time, since its bucket also refills.
LOOK_AGAIN_S = 0.02


def find_share(board, organisation):
    """Return this host's share of an organisation's rate, opened if needed."""
    share = board.shares.get(organisation)
    if share is None:
        share = board.shares[organisation] = Share(
            organisation, board.settings.host, board.incarnation, time.monotonic()
        )
        board.reserved[organisation] = 0
        board.share_news[organisation] = anyio.Event()
    return share


def try_reserve(board, organisation, share):
    """Reserve a token if one is left over."""
    free = available_tokens(share, time.monotonic()) - board.reserved[organisation]
    if free < 1:
        return False
    board.reserved[organisation] += 1
    return True


async def reserve_token(board, call):
    """Reserve a token for a call, waiting a little for the rate to refill.

    Returns
    -------
    bool
        False if no token could be had in time; then nothing is reserved.
    """
    organisation = call.organisation
    if find_quota(board.catalog, organisation) is None:
        return False
    share = find_share(board, organisation)
    count_demand(share, time.monotonic())
    give_up_at = min(time.monotonic() + board.settings.share_wait_s, call.deadline)
    while not try_reserve(board, organisation, share):
        share.urgent = True
        board.share_wanted.set()
        wait_s = min(give_up_at - time.monotonic(), LOOK_AGAIN_S)
        if wait_s <= 0:
            return False
        with anyio.move_on_after(wait_s):
            await board.share_news[organisation].wait()
    return True


def draw_token(board, organisation):
    """Draw the reserved token of a call that is about to be dispatched."""
    drawn = draw_share(board.shares[organisation], time.monotonic(), again=True)
    if not drawn:
        count(board, "draws_failed", organisation)
    return drawn


def cancel_token(board, organisation):
    """End a reservation, whether its token was drawn or not."""
    board.reserved[organisation] -= 1
