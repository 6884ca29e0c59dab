"""Rate tokens of organisations, which hosts request from the owner of their zone.

In each zone one host, the owner, manages the zone's share of an organisation's rate. It
grants tokens to the hosts of its zone, and borrows from owners of other zones when it
runs out.
"""

from urllib.parse import parse_qs, urlencode

import anyio

from egretlift.clock import read_clock
from egretlift.documents import is_number, parse_integer
from egretlift.errors import ObjectInvalid
from egretlift.membership.peers import eject
from egretlift.quotas.home import (
    BORROW_BACKOFF_S,
    add_loan,
    find_fallback_fraction,
    find_lenders,
    find_shortfall,
    grant_tokens,
    lend_tokens,
    postpone_loan,
)
from egretlift.quotas.purse import (
    REQUEST_BACKOFF_S,
    TOKEN_WAIT_S,
    TOKEN_WAIT_SHARE,
    add_fallback_tokens,
    add_granted_tokens,
    may_wait,
    prepare_request,
    return_local_token,
    take_local_token,
)
from egretlift.sidecar.documents import read_document
from egretlift.sidecar.rates import refill_quota
from egretlift.transport.exchange import ExchangeBroken, NotSent

TOKENS_PATH = "/egretlift/tokens"
LOANS_PATH = "/egretlift/loans"
TOKENS_TIMEOUT_S = 0.25
LOAN_TIMEOUT_S = 0.1
TOKENS_REMEDY = "answer with the tokens that are granted, or with null"


async def take_token(board, name, rank, deadline):
    """Take a token of an organisation's rate and return whether there was one.

    Always returns True for an organisation without a rate. ``rank`` is that of the
    route; the last tokens are reserved for rank 0. A call that finds no token waits
    for one, for a fraction of the time until its ``deadline``, unless more calls wait
    than will probably get one in time.
    """
    organisation = board.configuration.organisations.get(name)
    if organisation is None or not organisation.rate:
        return True
    local = board.ensure_local_tokens(name)
    local.counted += 1
    now = read_clock()
    if take_local_token(local, now):
        return True
    if not may_wait(local):
        return False
    local.waiting += 1
    try:
        wait_s = min(TOKEN_WAIT_S, TOKEN_WAIT_SHARE * (deadline - now))
        return await wait_for_token(board, organisation, local, rank, now + wait_s)
    finally:
        local.waiting -= 1


async def wait_for_token(board, organisation, local, rank, waits_until):
    """Take a token as soon as there is one; return False if there is none in time."""
    while (now := read_clock()) < waits_until:
        request = board.awaited_tokens.get(organisation.name)
        if request is not None:
            await request.wait()
        elif now < local.next_request_at:
            await anyio.sleep(local.next_request_at - now)
        else:
            await fetch_tokens(board, organisation, local, rank)
        # Read the clock again: the tokens may have expired while this process waited.
        if take_local_token(local, read_clock()):
            return True
    log_refusal(board, organisation, local, rank)
    return False


def log_refusal(board, organisation, local, rank):
    """Log this host's view of a rate when it refuses a request for lack of tokens."""
    board.log_change(
        "rate-used-up",
        organisation=organisation.name,
        rate=organisation.rate,
        rank=rank,
        tokens=round(local.tokens, 2),
        demand=round(local.demand, 2),
        home=board.find_owner(organisation.name) or "-",
        heard=board.view.host_count - board.view.silent_count,
        silent=board.view.silent_count,
        complete=board.view.is_complete,
    )


def return_token(board, name):
    """Put the token of a request that has not run back on this host."""
    local = board.local_tokens.get(name)
    if local is not None:
        return_local_token(local, read_clock())


async def fetch_tokens(board, organisation, local, rank):
    """Request tokens from the owner of this zone, and add them to the local tokens.

    Without a reachable owner this host's own share of the rate is used.
    """
    name = organisation.name
    ended = board.awaited_tokens[name] = anyio.Event()
    try:
        owner = board.find_owner(name)
        asked_at = read_clock()
        given = None
        if owner == board.settings.host:
            counted, wanted = prepare_request(local, asked_at)
            given = await grant_from_quota(board, organisation, counted, wanted, rank)
        elif owner in board.peers:
            counted, wanted = prepare_request(local, asked_at)
            peer = board.peers[owner]
            given = await request_from_owner(board, peer, name, counted, wanted, rank)
        if given is None:
            part = find_fallback_fraction(board.count_zone_hosts(), board.view)
            add_fallback_tokens(local, asked_at, organisation, part)
        else:
            add_granted_tokens(local, given, asked_at)
        if max(local.tokens, local.fallback_tokens) < 1.0:
            local.next_request_at = read_clock() + REQUEST_BACKOFF_S
    finally:
        del board.awaited_tokens[name]
        ended.set()


async def request_from_owner(board, peer, name, counted, wanted, rank):
    """Return the tokens that the owner grants, None if it fails or is not the owner."""
    query = {
        "organisation": name,
        "counted": counted,
        "wanted": wanted,
        "rank": rank,
    }
    return await request_tokens(board, peer, TOKENS_PATH, query, TOKENS_TIMEOUT_S)


async def request_tokens(board, peer, path, query, timeout_s):
    """Return the tokens that another host grants, None if it grants none in time.

    Tokens of a lost or late answer are never used: none is used twice.
    """
    host, target = peer.entry.host, f"{path}?{urlencode(query)}"
    try:
        document = await read_document(board, peer, target, timeout_s)
        return decode_tokens(document, float(query["wanted"]))
    except NotSent as error:
        eject(peer, read_clock())
        board.log_change("home-unreachable", peer=host, cause=str(error))
    except (ExchangeBroken, TimeoutError, ObjectInvalid) as error:
        board.log_change("tokens-not-given", peer=host, cause=repr(error))
    return None


def decode_tokens(document, wanted):
    """Return the tokens in the answer of another host, None if it grants none.

    Raises
    ------
    ObjectInvalid
        The answer has no number of tokens from 0 to ``wanted``.
    """
    tokens = document.get("tokens", "") if isinstance(document, dict) else ""
    if tokens is None:
        return None
    if not is_number(tokens, 0, wanted):
        raise ObjectInvalid(f"tokens are {tokens!r:.100}", TOKENS_REMEDY)
    return float(tokens)


async def answer_tokens(board, target):
    """Return the tokens that another host gets for its request.

    None if this host is not the owner, 0 if the request is malformed.
    """
    query = parse_qs(target.partition("?")[2])
    counted, rank, wanted = (
        parse_integer(query.get(name, [""])[0])
        for name in ("counted", "rank", "wanted")
    )
    organisation = find_organisation(board, query)
    if organisation is None or None in (counted, rank) or not wanted:
        return 0
    if board.find_owner(organisation.name) != board.settings.host:
        return None
    return await grant_from_quota(board, organisation, counted, wanted, rank)


def answer_loan(board, target):
    """Return the tokens that the owner of another zone gets as a loan.

    None if this host is not the owner, 0 if the request is malformed.
    """
    query = parse_qs(target.partition("?")[2])
    organisation = find_organisation(board, query)
    try:
        wanted = float(query["wanted"][0])
    except (KeyError, ValueError):
        return 0.0
    if organisation is None or not wanted > 0:
        return 0.0
    if board.find_owner(organisation.name) != board.settings.host:
        return None
    quota = refill_quota(board, organisation)
    return lend_tokens(quota, wanted)


def find_organisation(board, query):
    """Return the organisation that a query names, None if unknown or without a rate."""
    name = query.get("organisation", [""])[0]
    configuration = board.configuration
    organisation = configuration.organisations.get(name) if configuration else None
    return organisation if organisation is not None and organisation.rate else None


async def grant_from_quota(board, organisation, counted, wanted, rank):
    """Return the tokens that this host grants as the owner of a rate.

    Borrows from other zones if there are none. ``counted`` is the number of requests
    that the asking host received since it last asked.
    """
    quota = refill_quota(board, organisation)
    quota.bucket.counted += counted
    given = grant_tokens(quota, wanted, rank)
    if given or read_clock() < quota.next_borrow_at:
        return given
    quota.next_borrow_at = read_clock() + BORROW_BACKOFF_S
    await borrow(board, organisation.name, quota, wanted)
    # Another host may have become the owner during the wait.
    if board.find_owner(organisation.name) != board.settings.host:
        return 0
    return grant_tokens(quota, wanted, rank)


async def borrow(board, name, quota, wanted):
    """Borrow tokens from the owners of other zones until there is at least one."""
    for zone in find_lenders(quota, read_clock()):
        peer = board.peers.get(quota.zones[zone].host)
        if peer is None:
            continue
        shortfall = f"{find_shortfall(quota, wanted):.2f}"
        query = {"organisation": name, "wanted": shortfall}
        given = await request_tokens(board, peer, LOANS_PATH, query, LOAN_TIMEOUT_S)
        if given is None:
            postpone_loan(quota, zone, read_clock())
            continue
        add_loan(quota, zone, given)
        if quota.bucket.tokens >= 1.0:
            quota.next_borrow_at = read_clock()
            return
