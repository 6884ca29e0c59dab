"""Memory that the connections of a process hold together for their peers.

A limit for one request bounds nothing as long as any number of connections may send
one. All connections of a process therefore share one account, whose capacity follows
from the memory limit of the process. When it is full, the connections that hold most
are refused or closed, so that callers with small requests are served on.
"""

MEGABYTE = 1_000_000
# Memory limit of a process whose settings state none.
MEMORY_DEFAULT_MB = 300
# Share of the memory limit that connections may take. The rest is for the interpreter,
# for what the daemon knows, and for memory that the allocator cannot reuse.
CONNECTIONS_SHARE = 0.45
# Share of the capacity above which no large request is read on.
LARGE_SHARE = 0.85
# A connection that holds no more than this is small.
SMALL_BYTES = 64 * 1024


class MemoryAccount:
    """Bytes held by the connections of a process.

    A holder is an object with the attribute ``held``, its bytes in the account, and
    with the methods ``may_refuse``, whether it can refuse what it holds most of, which
    ``refuse_for_memory`` then does, and ``drop_for_memory``, which closes it.

    Parameters
    ----------
    memory_mb : float
        Memory limit of the process, in megabytes.

    Attributes
    ----------
    capacity, large_capacity : float
        Bytes that all holders may have together, and above which the large ones are
        refused.
    total : int
        Bytes of all holders.
    holders, large : set
        Holders that may be closed, and those of them with more than ``SMALL_BYTES``.
    is_making_room : bool
        Whether holders are being refused or closed at the moment.
    report : callable
        Called with ``"refused"`` or ``"closed"`` and the bytes for each such holder.

    Examples
    --------
    >>> account = MemoryAccount(200)
    >>> account.capacity, account.large_capacity, account.total
    (90000000.0, 76500000.0, 0)
    """

    __slots__ = (
        "capacity",
        "holders",
        "is_making_room",
        "large",
        "large_capacity",
        "report",
        "total",
    )

    def __init__(self, memory_mb=MEMORY_DEFAULT_MB):
        self.total = 0
        self.holders = set()
        self.large = set()
        self.is_making_room = False
        self.report = ignore_report
        set_memory(self, memory_mb)


def ignore_report(action, held):
    """Report nothing."""


def set_memory(account, memory_mb):
    """Set the capacity from the memory limit of the process, in megabytes."""
    account.capacity = CONNECTIONS_SHARE * memory_mb * MEGABYTE
    account.large_capacity = LARGE_SHARE * account.capacity


def add_holder(account, holder, held):
    """Add a holder with its first bytes."""
    holder.held = 0
    account.holders.add(holder)
    change_held(account, holder, held)


def pin_holder(account, holder):
    """Keep the bytes of a holder in the account, but no longer close it for them.

    They are in use elsewhere, so that closing the holder would not release them.
    """
    account.holders.discard(holder)
    account.large.discard(holder)


def remove_holder(account, holder):
    """Remove a holder, pinned or not, which then has no bytes."""
    change_held(account, holder, 0)
    account.holders.discard(holder)


def change_held(account, holder, held):
    """Set the bytes of a holder, and make room if it has more than before."""
    growth = held - holder.held
    holder.held = held
    account.total += growth
    if held > SMALL_BYTES:
        account.large.add(holder)
    else:
        account.large.discard(holder)
    if growth > 0 and account.total > account.large_capacity:
        make_room(account)


def make_room(account):
    """Refuse the largest requests that are being read, and close the largest holders.

    Large requests are refused first, which promises that they have not run. Holders are
    closed, the largest first, only once the account is full.
    """
    if account.is_making_room:
        return
    account.is_making_room = True
    try:
        while account.total > account.large_capacity:
            refusable = [holder for holder in account.large if holder.may_refuse()]
            if not refusable:
                break
            largest = max(refusable, key=get_held)
            account.report("refused", largest.held)
            largest.refuse_for_memory()
        while account.total > account.capacity and account.holders:
            largest = max(account.holders, key=get_held)
            account.report("closed", largest.held)
            largest.drop_for_memory()
            remove_holder(account, largest)
    finally:
        account.is_making_room = False


def get_held(holder):
    """Return the bytes of a holder."""
    return holder.held
