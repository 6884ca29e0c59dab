"""Entries of hosts as they come from the store or from other daemons, valid or not."""

from egretlift.documents import is_integer, is_text
from egretlift.errors import ObjectInvalid
from egretlift.membership.peers import decode_entry
from egretlift.platform.store import StoredObject

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


def decode_forwarded_entry(item):
    """Return the stored object in an item that another daemon sent.

    A malformed item yields an object without a name, which holds no valid entry.

    Examples
    --------
    >>> decode_forwarded_entry([7, "host-1", None]).revision
    7
    """
    if isinstance(item, list) and len(item) == 3:
        revision, name, values = item
        if is_integer(revision, 0) and is_text(name):
            spec = None if values is None else {"entry": values}
            return StoredObject(name, revision, spec)
    return StoredObject("", 0, {})


def record_invalid_entry(board, found, error):
    """Log and count an invalid entry, once for each revision of it."""
    known = board.invalid_entries
    if known.get(found.name) == found.revision:
        return
    known.pop(found.name, None)
    known[found.name] = found.revision
    while len(known) > INVALID_MAXIMUM:
        del known[next(iter(known))]
    board.count("invalid_entries")
    board.log_change(
        "entry-invalid", name=found.name, revision=found.revision, cause=str(error)
    )
