"""Retry allowance of one caller's request.

The allowance bounds the retries of a request over its whole call chain. It is
never copied: what a downstream call gets is gone here until it is returned.
"""


class Allowance:
    """Retries that one call may still spend or lend.

    ``left`` is what this daemon holds and ``lent`` what downstream calls hold;
    their sum only ever falls.
    """

    __slots__ = ("closed", "left", "lent", "outstanding")

    def __init__(self, left):
        self.left = left
        self.lent = 0
        self.outstanding = 0
        self.closed = False


def open_allowance(total):
    """Return the allowance of a call that may cause ``total`` retries.

    A negative total counts as none.
    """
    return Allowance(max(0, int(total)))


def spend_retry(allowance):
    """Take one retry; return whether one was left."""
    if allowance.left < 1:
        return False
    allowance.left -= 1
    return True


def lend(allowance, keep=0):
    """Return the retries that a downstream call gets.

    A call gets all that is left; a call parallel to another gets half of it,
    rounded up.

    Parameters
    ----------
    allowance : Allowance
    keep : int
        Retries that stay here. A lost response returns nothing, so a call that
        is to be retried after one needs a retry that was not lent.

    Examples
    --------
    >>> allowance = open_allowance(3)
    >>> lend(allowance, keep=1)
    2
    >>> settle(allowance, 2, 1)
    >>> allowance.left
    2
    """
    available = max(0, allowance.left - keep)
    lent = (available + 1) // 2 if allowance.outstanding else available
    allowance.left -= lent
    allowance.lent += lent
    allowance.outstanding += 1
    return lent


def settle(allowance, lent, returned):
    """Take back what a downstream call did not spend.

    Parameters
    ----------
    allowance : Allowance
    lent : int
        The value that `lend` returned for the call.
    returned : int or None
        Unused retries reported by the response; None if the response was lost.
        More than was lent is not accepted.
    """
    allowance.lent -= lent
    allowance.outstanding -= 1
    if not allowance.closed:
        allowance.left += min(max(0, returned or 0), lent)


def close_allowance(allowance):
    """Return the unused retries for the response of a call and keep none.

    What downstream calls return after that is lost, as it can no longer reach
    the caller.
    """
    left, allowance.left, allowance.closed = allowance.left, 0, True
    return left
