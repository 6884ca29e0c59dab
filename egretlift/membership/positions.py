"""Positions: the order of changes in a store that may come back from an older copy.

Revisions rise within one era of the store only. A position joins era and revision in
one number, as the transaction identifiers of ZooKeeper do, and is 0 for "not stored".
"""

from egretlift.documents import is_integer

# Positions have at most 18 digits, so that every JSON reader takes them for whole
# numbers: 400 changes a second reach the largest revision after 87 years.
REVISION_BITS = 40
REVISION_MAXIMUM = 2**REVISION_BITS - 1
ERA_MAXIMUM = 2**19


def make_position(era, revision):
    """Return the position of a revision of an era.

    Examples
    --------
    >>> make_position(2, 7) > make_position(1, 9), make_position(0, 9)
    (True, 9)
    >>> make_position(ERA_MAXIMUM, REVISION_MAXIMUM + 1) < 10**18
    True
    >>> split_position(make_position(2, 7))
    (2, 7)
    """
    return (era << REVISION_BITS) + min(revision, REVISION_MAXIMUM)


def split_position(position):
    """Return (era, revision) of a position."""
    return position >> REVISION_BITS, position & REVISION_MAXIMUM


def is_era(value):
    """Return whether a value that another process stated can be an era."""
    return is_integer(value, 0, ERA_MAXIMUM)
