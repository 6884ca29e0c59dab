"""JSON documents read from other daemons."""

import json

from egretlift.serving.peer_requests import exchange_with_peer


async def read_document(board, peer, target, timeout_s):
    """Return the decoded JSON document at a path of another daemon.

    Raises
    ------
    NotSent, ExchangeBroken
        The daemon is unreachable, or the connection broke before the whole answer.
    TimeoutError
        There was no answer within ``timeout_s`` seconds.
    ValueError
        The answer is a refusal, or not JSON.
    """
    entry = peer.entry
    request = ("GET", target, [("Host", entry.address)], b"")
    received = await exchange_with_peer(board, entry, request, timeout_s)
    if received is None:
        raise TimeoutError(f"no answer of {entry.host} in {timeout_s} s")
    if received.status != 200:
        raise ValueError(f"{entry.host} answered with status {received.status}")
    return json.loads(received.body)
