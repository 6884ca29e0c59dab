"""JSON documents read from other daemons."""

from egretlift.documents import parse_document
from egretlift.serving.peer_requests import exchange_with_peer
from egretlift.transport.body import join_body
from egretlift.transport.exchange import ExchangeBroken


async def read_document(board, peer, target, timeout_s):
    """Return the decoded JSON document at a path of another daemon.

    Raises
    ------
    NotSent, ExchangeBroken
        The daemon is unreachable, the connection broke before the whole answer, or the
        daemon refused the request, which was then meant for another host.
    TimeoutError
        There was no answer within ``timeout_s`` seconds.
    ObjectInvalid
        The answer is not JSON.
    """
    entry = peer.entry
    request = ("GET", target, [("Host", entry.address)], b"")
    received = await exchange_with_peer(board, entry, request, timeout_s)
    if received is None:
        raise TimeoutError(f"no answer of {entry.host} in {timeout_s} s")
    if received.status != 200:
        raise ExchangeBroken(f"{entry.host} answered with status {received.status}")
    return parse_document(join_body(received.body))
