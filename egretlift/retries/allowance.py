"""Retry allowance of one caller's request.

The allowance limits the retries of a request over its whole call chain. Retries are
transferred, never copied: those that a nested call receives are subtracted here until
the call returns them.
"""


class RetryAllowance:
    """Retries that one call may still spend or lend to nested calls.

    The sum of ``available`` and ``lent`` never grows.

    Attributes
    ----------
    available : int
        Retries available to this daemon.
    lent : int
        Retries held by nested calls that have not been settled.
    outstanding : int
        Nested calls that have not been settled.
    closed : bool
        Whether the response has been sent; returned retries are then discarded.
    """

    __slots__ = ("closed", "available", "lent", "outstanding")

    def __init__(self, available):
        self.available = available
        self.lent = 0
        self.outstanding = 0
        self.closed = False


def open_allowance(total):
    """Return the allowance of a call that may cause ``total`` retries.

    A negative total counts as 0.
    """
    return RetryAllowance(max(0, int(total)))


def spend_retry(allowance):
    """Subtract one retry; return False if none was left."""
    if allowance.available < 1:
        return False
    allowance.available -= 1
    return True


def lend_retries(allowance, keep=0):
    """Transfer retries to a nested call and return their number.

    The call receives all available retries, or half of them, rounded up, if another
    nested call is outstanding.

    Parameters
    ----------
    allowance : RetryAllowance
    keep : int
        Retries that are not lent. A lost response returns no retries, so a call that
        is to be retried after a lost response needs at least one that was not lent.

    Returns
    -------
    int
        The number to pass to `settle_loan` when the call ends.

    Examples
    --------
    >>> allowance = open_allowance(3)
    >>> lend_retries(allowance, keep=1)
    2
    >>> settle_loan(allowance, 2, 1)
    >>> allowance.available
    2
    """
    available = max(0, allowance.available - keep)
    lent = (available + 1) // 2 if allowance.outstanding else available
    allowance.available -= lent
    allowance.lent += lent
    allowance.outstanding += 1
    return lent


def settle_loan(allowance, lent, returned):
    """Take back the retries that a nested call did not spend.

    Parameters
    ----------
    allowance : RetryAllowance
    lent : int
        The value that `lend_retries` returned for the call.
    returned : int or None
        Unused retries that the response reports; None if the response was lost.
        A negative number counts as 0, one above ``lent`` as ``lent``.
    """
    allowance.lent -= lent
    allowance.outstanding -= 1
    if not allowance.closed:
        allowance.available += min(max(0, returned or 0), lent)


def close_allowance(allowance):
    """Close an allowance and return its unused retries, to report in the response.

    Retries that nested calls return afterwards are discarded, as the response that
    could have reported them has been sent.
    """
    left, allowance.available, allowance.closed = allowance.available, 0, True
    return left
