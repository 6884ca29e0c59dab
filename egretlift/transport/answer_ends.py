"""Whether an answer that ended with its connection can still turn out to be cut off.

A peer that closes its side in order before it has read the whole request may have
crashed, or may close for good while more of the request is on its way. Its reset then
follows the end.
"""

from egretlift.transport.sockets import count_unsent

# Time between two looks at a connection whose answer has ended.
END_CHECK_S = 0.01
# The kernel of a peer acknowledges a request of more bytes than these before the peer
# has read it. A reset this much later still belongs to the end of the peer's side.
LONG_REQUEST_BYTES = 64 * 1024
LATE_RESET_S = 0.25


def may_be_reset(transport, request_bytes, ended_s):
    """Return whether a reset may still follow an orderly end of a connection.

    Parameters
    ----------
    transport : asyncio.Transport
    request_bytes : int
        Bytes of the request written so far.
    ended_s : float
        Seconds since the end.
    """
    is_recent = request_bytes > LONG_REQUEST_BYTES and ended_s < LATE_RESET_S
    return is_recent or count_unsent(transport) > 0
