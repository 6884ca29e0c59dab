"""Requests to other daemons, and which answers belong to them.

A daemon's address may be used by another host or by another program by now, and a
connection may carry bytes that are left from an earlier request. Each request therefore
names the host that it is meant for and the exchange, and its answer repeats both.
"""

from egretlift.outcome import EXCHANGE_HEADER, OUTCOME_HEADER, Outcome
from egretlift.transport.exchange import encode_request, exchange

# The number must differ from those of earlier requests on the same connection.
EXCHANGE_BITS = 32


def make_exchange_id(host, random):
    """Return the value of the exchange header for a new request to a host."""
    return f"{host} {random.getrandbits(EXCHANGE_BITS):08x}"


def is_meant_for(exchange_id, host):
    """Return whether a request with an exchange header is meant for a host.

    Requests without the header are of daemons of an earlier version, or of operators.

    Examples
    --------
    >>> is_meant_for("host-1 00ff", "host-1"), is_meant_for("host-2 00ff", "host-1")
    (True, False)
    >>> is_meant_for(None, "host-1")
    True
    """
    return exchange_id is None or exchange_id.rpartition(" ")[0] == host


async def exchange_with_peer(board, entry, request, timeout_s, request_id=None):
    """Send a request to the daemon of a host and return its answer.

    Parameters
    ----------
    board : Board
    entry : HostEntry
        The host.
    request : tuple of (str, str, list of (str, str), bytes)
        Method, target, headers and body.
    timeout_s : float
        Longest time until the whole answer, in seconds.
    request_id : str or None
        Identifier of a call. Its answer may come from a daemon of an earlier version,
        which repeats the identifier and states an outcome, but not the exchange.

    Returns
    -------
    ReceivedAnswer or None
        None if no answer to this request comes in time.

    Raises
    ------
    NotSent, ExchangeBroken
    """
    method, target, headers, body = request
    exchange_id = make_exchange_id(entry.host, board.random)
    # It comes first, so that a refusal for too many headers repeats it as well.
    data = encode_request(
        method, target, [(EXCHANGE_HEADER, exchange_id), *headers], body
    )

    def accepts(fields):
        repeated = fields.get(EXCHANGE_HEADER)
        if repeated is None and request_id is not None:
            is_named = board.dialect.read_request_id(fields) == request_id
            return is_named and OUTCOME_HEADER in fields
        return repeated == exchange_id

    endpoint = (entry.address, entry.peer_port)
    return await exchange(board.peer_pool, endpoint, method, data, accepts, timeout_s)


def is_consistent(dialect, request_id, received):
    """Return whether a daemon's answer to a call states an outcome that it can have.

    The answer of an upstream names the call and has a seal; a daemon's own answer is
    never a success.

    Parameters
    ----------
    dialect : module
        See `Board`.
    request_id : str
        Identifier of the call.
    received : ReceivedAnswer
    """
    fields, status = received.fields, received.status
    outcome = fields.get(OUTCOME_HEADER)
    if outcome in (Outcome.WHOLE.value, Outcome.FAILED_WAS_RUN.value):
        is_whole = outcome == Outcome.WHOLE.value
        is_named = dialect.read_request_id(fields) == request_id
        is_sealed = dialect.is_sealed(fields, received.headers)
        return is_named and is_sealed and is_whole == (status < 500)
    is_known = outcome in (Outcome.UNKNOWN.value, Outcome.REFUSED_NOT_RUN.value)
    return is_known and status >= 400
