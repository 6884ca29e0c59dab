"""Positions: the order of changes in a store that may come back from an older copy.

Revisions rise within one era of the store only. A position joins era and revision in
one number, as the transaction identifiers of ZooKeeper do, and is 0 for "not stored".
"""

REVISION_BITS = 48
# An era above this bound, or a revision that needs more bits, is not used.
ERA_MAXIMUM = 2**32


def make_position(era, revision):
    """Return the position of a revision of an era.

    Examples
    --------
    >>> make_position(2, 7) > make_position(1, 9), make_position(0, 9)
    (True, 9)
    >>> split_position(make_position(2, 7))
    (2, 7)
    """
    return (era << REVISION_BITS) | revision


def split_position(position):
    """Return (era, revision) of a position."""
    return position >> REVISION_BITS, position & (2**REVISION_BITS - 1)


def is_era(value):
    """Return whether a value that another process stated can be an era."""
    return type(value) is int and 0 <= value <= ERA_MAXIMUM
