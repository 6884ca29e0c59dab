"""Tokens of organisations' rates: taken here, or borrowed from another host."""

import json
import time
from urllib.parse import parse_qs, urlencode

import anyio

from egretlift.membership.peers import eject
from egretlift.quotas.demand import (
    BORROW_PAUSE_S,
    draw,
    give_back,
    lend,
    wanted_tokens,
)
from egretlift.transport.exchange import (
    ExchangeBroken,
    NotSent,
    encode_request,
    exchange,
)

TOKENS_PATH = "/egretlift/tokens"
BORROW_TIMEOUT_S = 0.05
# Hosts that are asked for tokens, those that reported most first.
LENDERS_MAXIMUM = 3
LENT_MINIMUM = 1.0


async def take_token(board, name, rank):
    """Take a token of an organisation's rate and return whether there was one.

    ``rank`` is that of the route; the last tokens are kept for rank 0.
    """
    organisation = board.configuration.organisations.get(name)
    if organisation is None or not organisation.rate:
        return True
    bucket = board.find_bucket(organisation)
    bucket.counted += 1
    if draw(bucket, rank):
        return True
    under_way = board.borrowing.get(name)
    if under_way is not None:
        await under_way.wait()
        return draw(bucket, rank)
    if time.monotonic() < bucket.borrow_after:
        return False
    await borrow(board, name, bucket)
    if draw(bucket, rank):
        return True
    log_refusal(board, organisation, bucket, rank)
    return False


def log_refusal(board, organisation, bucket, rank):
    """Log what this host knew of a rate when it refused a request for it."""
    others = board.find_others(organisation.name)
    board.log_change(
        "rate-used-up",
        organisation=organisation.name,
        rate=organisation.rate,
        rank=rank,
        tokens=round(bucket.tokens + bucket.borrowed, 2),
        fullness=round(bucket.fullness, 2),
        demand=round(bucket.demand, 1),
        heard=len(others.heard),
        unheard=len(others.unheard),
    )


def return_token(board, name):
    """Give back the token of a request that has not run."""
    bucket = board.buckets.get(name)
    if bucket is not None:
        give_back(bucket)


async def borrow(board, name, bucket):
    """Borrow tokens from the hosts that reported most of them."""
    ended = board.borrowing[name] = anyio.Event()
    try:
        for peer in find_lenders(board, name):
            bucket.borrowed += await ask_for_tokens(
                board, peer, name, wanted_tokens(bucket)
            )
            if bucket.tokens + bucket.borrowed >= 1.0:
                return
        bucket.borrow_after = time.monotonic() + BORROW_PAUSE_S
    finally:
        del board.borrowing[name]
        ended.set()


def find_lenders(board, name):
    """Return the peers that reported tokens of an organisation, most first."""
    found = []
    now = time.monotonic()
    for peer in board.find_sharing(now):
        if now < peer.ejected_until:
            continue
        tokens = peer.report.demand.get(name, (0.0, 0.0))[1]
        if tokens >= LENT_MINIMUM:
            found.append((tokens, peer.entry.host, peer))
    found.sort(reverse=True)
    return [peer for _, _, peer in found[:LENDERS_MAXIMUM]]


async def ask_for_tokens(board, peer, name, wanted):
    """Return the tokens that another host gives, 0 if it does not answer."""
    entry = peer.entry
    query = urlencode({"organisation": name, "wanted": f"{wanted:.2f}"})
    data = encode_request(
        "GET", f"{TOKENS_PATH}?{query}", [("Host", entry.address)], b""
    )
    endpoint = (entry.address, entry.peer_port)
    try:
        with anyio.fail_after(BORROW_TIMEOUT_S):
            received = await exchange(
                board.peer_pool, endpoint, "GET", data, lambda fields: True
            )
        return float(json.loads(received.body)["tokens"])
    except (NotSent, ExchangeBroken, TimeoutError, ValueError, KeyError) as error:
        eject(peer, time.monotonic())
        board.log_change("borrowing-failed", peer=entry.host, cause=repr(error))
        return 0.0


def lend_tokens(board, target):
    """Return the tokens that a request of another host gets.

    The answer's time is short, so tokens that arrive late are lost for the window
    rather than counted twice.
    """
    query = parse_qs(target.partition("?")[2])
    name = query.get("organisation", [""])[0]
    configuration = board.configuration
    organisation = configuration.organisations.get(name) if configuration else None
    try:
        wanted = float(query.get("wanted", ["0"])[0])
    except ValueError:
        wanted = 0.0
    if organisation is None or not organisation.rate or not wanted > 0:
        return 0.0
    return lend(board.find_bucket(organisation), wanted)
