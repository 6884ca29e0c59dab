"""The entry of this host itself: writing it, and putting it right in the store."""

import anyio

from egretlift.admission.slots import refuse_waiting
from egretlift.clock import read_clock
from egretlift.errors import ConflictError, ObjectInvalid, PlatformUnavailable
from egretlift.membership.peers import encode_entry
from egretlift.membership.positions import make_position
from egretlift.membership.upstream import ABSENT, GONE, may_serve, restore_upstream
from egretlift.platform.names import HOST_KIND
from egretlift.sidecar.entries import decode_stored_entry, record_invalid_entry
from egretlift.sidecar.eras import read_position
from egretlift.sidecar.following import BACKOFF_MAXIMUM_S

# Heartbeat intervals to wait for the upstream before an entry without it is written.
FIRST_HEARTBEATS = 3
# Time of a stopping daemon for writing its last entry, and the pause between tries.
LAST_WRITE_S = 0.3
LAST_RETRY_S = 0.05


def restore_state(board, entry, source):
    """Restore the state of the upstream from an entry of an earlier process.

    ``source`` is logged: who knew the entry.
    """
    upstream = board.upstream
    if entry.boot == board.boot:
        return
    if not restore_upstream(upstream, entry, read_clock()):
        return
    board.log_change(
        "upstream-restored",
        upstream=entry.upstream_id,
        born=entry.born,
        state=upstream.status,
        source=source,
    )
    if not may_serve(upstream):
        refuse_waiting(board.slots, upstream.status)
    board.mark_entry_changed()


def apply_own_entry(board, found, entry):
    """Apply this host's own entry as the store has it.

    It is written again if this process wrote another one, or if a later one is known,
    which a restored store has lost.
    """
    restore_state(board, entry, "store")
    board.own_era, board.own_revision = found.era, found.revision
    board.own_entry = entry
    position = read_position(found)
    if position < board.own_position:
        request_writing(board, "older")
    elif entry.boot == board.boot and not are_equivalent(entry, board.make_entry()):
        request_writing(board, "different")
    board.own_position = max(position, board.own_position)


def receive_own_entry(board, found):
    """Apply this host's own entry, or its removal, as another daemon knows it.

    After a restart of this daemon the others may know a later entry than the store.
    """
    position = read_position(found)
    if found.spec is None and board.stopping:
        # A host whose upstream has left writes its entry once more at its end.
        return
    if found.spec is not None and not restore_from_object(board, found, "daemon"):
        return
    if position > board.own_position:
        board.own_position = position
        if found.spec is None:
            board.own_revision = None
        request_writing(board, "forwarded")


def restore_from_object(board, found, source):
    """Restore the state from an object of this host; return whether it is valid."""
    try:
        restore_state(board, decode_stored_entry(found), source)
    except ObjectInvalid as error:
        record_invalid_entry(board, found, error)
        return False
    return True


def request_writing(board, cause):
    """Have this host's entry written again."""
    board.entry_missing = True
    board.entry_changed.set()
    board.log_change("own-entry-outdated", cause=cause)


def read_stored_position(board):
    """Return the position of this host's object in the store.

    It is the beginning of the era if no object is known.
    """
    return make_position(board.own_era, board.own_revision or 0)


def is_own_newer(board, found):
    """Return whether the store has had this host's entry later than known."""
    if board.own_revision is None:
        return found.spec is not None
    known = (board.own_era, board.own_revision)
    position = (found.era, found.revision)
    return position > known or (found.spec is None and position >= known)


def are_equivalent(one, other):
    """Return whether two entries agree in all that a starting daemon reads in them."""
    names = ("zone", "address", "upstream_id", "state", "born", "slots")
    return all(getattr(one, name) == getattr(other, name) for name in names)


def must_replace(stored, entry):
    """Return whether a stored entry, None for none, has to be written anew.

    That is also the case if an earlier process marked the host as stopped in it.
    """
    if stored is None or not are_equivalent(stored, entry):
        return True
    return stored.stopping and not entry.stopping


async def keep_entry(board):
    """Write this host's entry whenever it changes."""
    # After a restart the stored entry mostly stays valid: the upstream's heartbeats
    # show whether it does.
    if not board.settings.is_first_start:
        await board.hosts_listed.wait()
    with anyio.move_on_after(FIRST_HEARTBEATS * board.settings.heartbeat_s):
        while board.upstream.status == ABSENT:
            await board.entry_changed.wait()
            board.entry_changed = anyio.Event()
    stored = board.own_entry
    while True:
        entry, wanted = board.make_entry(), board.counter
        if board.entry_missing:
            board.entry_missing = False
            stored = None
        if must_replace(stored, entry):
            if not await write_entry(board, entry):
                await anyio.sleep(BACKOFF_MAXIMUM_S * (0.5 + board.random.random()))
                continue
            stored = entry
        board.counter_stored = wanted
        board.entry_stored.set()
        board.entry_stored = anyio.Event()
        if board.counter == wanted:
            await board.entry_changed.wait()
        board.entry_changed = anyio.Event()


async def write_entry(board, entry):
    """Write an entry and return whether the store accepted it."""
    host, era = board.settings.host, board.store.era
    spec = {"entry": encode_entry(entry), "era": era or 0}
    try:
        found = await board.store.put_object(HOST_KIND, host, spec, board.own_revision)
    except ConflictError as error:
        record_own_object(board, error.current)
        board.log_change("entry-conflict", revision=board.own_revision)
        if error.current is not None:
            # It may tell of a departure, and is replaced next.
            restore_from_object(board, error.current, "store")
        return False
    except PlatformUnavailable as error:
        board.log_change("entry-not-stored", cause=str(error))
        return False
    record_own_object(board, found)
    board.log_change("entry-stored", state=entry.state, upstream=entry.upstream_id)
    if is_era_outdated(board, era):
        # Other hosts order entries by the era in which they were written.
        request_writing(board, "era")
    return True


async def write_last_entry(board):
    """Mark this host as stopped in the store if its upstream has left for good.

    The entry stays in the store, since a daemon that is started again learns from it
    that the upstream has left; see `egretlift.membership.departures`.
    """
    if board.upstream.status != GONE:
        return
    with anyio.move_on_after(LAST_WRITE_S):
        while not await write_entry(board, board.make_entry()):
            await anyio.sleep(LAST_RETRY_S)


def is_era_outdated(board, era):
    """Return whether the store is in a later era than the one in a written entry.

    At the first start of all hosts there is no entry of an earlier era.
    """
    if era is None and board.settings.is_first_start:
        return False
    return (board.store.era or 0) > (era or 0)


def record_own_object(board, found):
    """Record which object the store has for this host, None for none."""
    board.own_revision = found.revision if found else None
    if found is not None:
        board.own_era = found.era
        board.own_position = max(board.own_position, read_position(found))
