"""JSON documents read from other daemons."""

from egretlift.documents import parse_document
from egretlift.transport.exchange import encode_request, exchange


async def read_document(board, peer, target, timeout_s):
    """Return the decoded JSON document at a path of another daemon.

    Raises
    ------
    NotSent, ExchangeBroken
        The daemon is unreachable, or the connection broke before the whole answer.
    TimeoutError
        There was no answer within ``timeout_s`` seconds.
    ObjectInvalid
        The answer is not JSON.
    """
    entry = peer.entry
    endpoint = (entry.address, entry.peer_port)
    data = encode_request("GET", target, [("Host", entry.address)], b"")
    received = await exchange(
        board.peer_pool, endpoint, "GET", data, lambda fields: True, timeout_s
    )
    if received is None:
        raise TimeoutError(f"no answer of {entry.host} in {timeout_s} s")
    return parse_document(received.body)
