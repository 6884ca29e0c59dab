"""Entries of hosts as they come from the store or from other daemons, valid or not."""

from egretlift.documents import is_integer, is_text
from egretlift.errors import ObjectInvalid
from egretlift.membership.peers import decode_entry
from egretlift.membership.positions import is_era, split_position
from egretlift.platform.store import StoredObject
from egretlift.recent import remember

# Invalid entries that are remembered, so that each is logged only once.
INVALID_MAXIMUM = 1024
REMEDY = "write the entry of a host under the name of the host"


def decode_stored_entry(found):
    """Return the host entry in an object of the store.

    Raises
    ------
    ObjectInvalid
        The object has no valid entry, or that of another host.
    """
    spec = found.spec if isinstance(found.spec, dict) else {}
    entry = decode_entry(spec.get("entry"))
    if entry.host != found.name:
        raise ObjectInvalid(f"host entry: host is {entry.host!r:.100}", REMEDY)
    return entry


def is_invalid(found):
    """Return whether an object of the store is there but holds no valid entry."""
    if found.spec is None:
        return False
    try:
        decode_stored_entry(found)
    except ObjectInvalid:
        return True
    return False


def decode_forwarded_entry(item):
    """Return the stored object in an item that another daemon sent.

    A malformed item yields an object without a name, which holds no valid entry.

    Examples
    --------
    >>> decode_forwarded_entry([7, "host-1", None]).revision
    7
    """
    if isinstance(item, list) and len(item) == 3:
        position, name, values = item
        era, revision = split_position(position if is_integer(position, 0) else -1)
        if is_era(era) and is_text(name):
            spec = None if values is None else {"entry": values, "era": era}
            return StoredObject(name, revision, spec, era)
    return StoredObject("", 0, {})


def record_invalid_entry(board, found, error):
    """Log and count an invalid entry; return False if it was logged before."""
    known, change = board.invalid_entries, (found.era, found.revision)
    if known.get(found.name) == change:
        return False
    remember(known, found.name, change, INVALID_MAXIMUM)
    board.count("invalid_entries")
    board.log_change(
        "entry-invalid", name=found.name, revision=found.revision, cause=str(error)
    )
    return True
