"""What upstreams have stated in answers that this daemon has passed on.

An upstream is limited, or leaves, whatever happens to the daemon on its host. If that
daemon restarts, it has forgotten both, and its upstream may say nothing more before it
gets further requests. Each daemon therefore remembers what it has passed on: it tells
the daemon of the upstream the rate limit with each call, and sends no call to an
upstream that leaves.
"""

from egretlift.documents import is_number
from egretlift.load import RATE_MAXIMUM_PER_S
from egretlift.recent import remember

# Upstreams whose statements are remembered, the ones last heard of.
STATEMENTS_MAXIMUM = 1024
NO_RATE = "-"


class Statement:
    """What one upstream has stated.

    Attributes
    ----------
    upstream : str
        See `name_incarnation`.
    rate_per_s : float or None
        Rate limit in requests a second, None if there is none.
    is_leaving : bool
        Whether the upstream is about to end.
    """

    __slots__ = ("is_leaving", "rate_per_s", "upstream")

    def __init__(self, upstream, rate_per_s=None, is_leaving=False):
        self.upstream = upstream
        self.rate_per_s = rate_per_s
        self.is_leaving = is_leaving


def name_incarnation(upstream_id, born):
    """Return the name of one start of an upstream.

    An upstream may start again with the same identifier.

    Examples
    --------
    >>> name_incarnation("i-7f3a", 1792328537291)
    'i-7f3a@1792328537291'
    """
    return f"{upstream_id}@{born}"


def encode_statement(statement):
    """Return a statement as the value of a header.

    Examples
    --------
    >>> encode_statement(Statement("i-7f3a@17", 10.4))
    'i-7f3a@17 10.4 0'
    """
    rate = NO_RATE if statement.rate_per_s is None else statement.rate_per_s
    return f"{statement.upstream} {rate} {int(statement.is_leaving)}"


def decode_statement(text):
    """Return the statement in the value of a header, None if it is not valid.

    Examples
    --------
    >>> decode_statement("i-7f3a@17 - 1").is_leaving, decode_statement("i-7f3a@17")
    (True, None)
    """
    try:
        upstream, rate, leaving = text.split(" ")
        rate_per_s = None if rate == NO_RATE else float(rate)
    except (AttributeError, ValueError):
        return None
    if leaving not in ("0", "1"):
        return None
    is_rate = is_number(rate_per_s, 0, RATE_MAXIMUM_PER_S) and rate_per_s > 0
    if rate_per_s is not None and not is_rate:
        return None
    return Statement(upstream, rate_per_s, leaving == "1")


def remember_statement(statements, statement):
    """Remember the latest statement of an upstream.

    Parameters
    ----------
    statements : dict of str to Statement
        By incarnation, the latest last. Statements of the upstreams that were heard of
        least recently are forgotten.
    statement : Statement
        The statement that an upstream leaves is final.
    """
    known = statements.get(statement.upstream)
    if known is not None and known.is_leaving:
        statement.is_leaving = True
    remember(statements, statement.upstream, statement, STATEMENTS_MAXIMUM)


def end_limit(statements, upstream_id, born):
    """Forget the rate limit of an upstream that states none any more."""
    name = name_incarnation(upstream_id, born)
    known = statements.get(name)
    if known is not None and not known.is_leaving:
        del statements[name]


def is_leaving(statements, upstream_id, born):
    """Return whether an upstream has stated that it leaves."""
    if not statements:
        return False
    statement = statements.get(name_incarnation(upstream_id, born))
    return statement is not None and statement.is_leaving
