"""What a daemon does when the store comes back from an older copy of itself.

The store is then in a later era. Entries that the daemons wrote since the copy are
gone or older, and revisions are given out again. Each daemon that learns of a later
era, from an answer of the store or from the report of another daemon,

* reads the lists that it follows once more, in place of changes,
* checks its own entry in the store, and writes it again if it is gone or older,
* takes an entry that is missing from a list for removed only after `SETTLE_S`, as its
  host may not have written it again before.
"""

import anyio

from egretlift.errors import PlatformUnavailable
from egretlift.membership.positions import is_era, make_position, split_position

# Pause before a daemon checks its own entry, at most: all daemons do so at once.
CHECK_SPREAD_S = 0.5
# Pauses between failed checks.
CHECK_RETRY_S = 1.0
# Time for all daemons to write their entries again. A write without an answer may be
# done late; own entries are checked once more after this time.
SETTLE_S = 6.0


def adopt_era(board, era, source="store"):
    """Record the era of the store that an answer or another daemon stated.

    A later one than the one known means that the store was restored. The first one that
    a daemon learns of changes nothing, as it has read nothing in another one.
    """
    before = board.store_era
    if before is not None and era <= before:
        return
    board.store_era = era
    if before is None:
        board.settled_era = era
        return
    board.count("store_restores")
    board.log_change("store-restored", era=era, before=before, source=source)
    board.era_changed.set()
    board.report_due.set()
    end_watches(board)


def end_watches(board):
    """Make the tasks that follow the store list all objects again."""
    board.listings_due += 1
    for scope in board.watch_scopes:
        scope.cancel()


async def watch_until_restored(board, kind, position, allow_stale):
    """Return what `StoreClient.watch` does, None if the list has to be read instead."""
    with anyio.CancelScope() as scope:
        board.watch_scopes.add(scope)
        try:
            return await board.store.watch(kind, position, allow_stale)
        finally:
            board.watch_scopes.discard(scope)
    return None


def read_position(found):
    """Return the position of an object that was read from the store.

    An entry states the era in which its host wrote it. An entry of the copy thus comes
    before all that its host wrote after the copy, in this era or the one before.
    """
    era = found.era
    if found.spec is not None:
        written = found.spec.get("era") if isinstance(found.spec, dict) else None
        era = min(written, era) if is_era(written) else 0
    return make_position(era, found.revision)


def is_settled(board, era):
    """Return whether all hosts had time to write their entries in an era."""
    return board.settled_era is None or era <= board.settled_era


async def settle_eras(board, check_entry):
    """Check this host's entry after each change of the era, twice.

    Parameters
    ----------
    board : Board
    check_entry : callable
        Coroutine function that takes the board; see `restored_entry.check_own_entry`.
    """
    while True:
        await board.era_changed.wait()
        board.era_changed = anyio.Event()
        era = board.store_era
        await anyio.sleep(CHECK_SPREAD_S * board.random.random())
        await check_until_read(board, check_entry)
        await anyio.sleep(SETTLE_S)
        await check_until_read(board, check_entry)
        if not board.era_changed.is_set():
            board.settled_era = era
            end_watches(board)


async def check_until_read(board, check_entry):
    """Call ``check_entry`` until the store answers."""
    while True:
        try:
            await check_entry(board)
            return
        except PlatformUnavailable as error:
            board.log_change("entry-not-checked", cause=str(error))
            await anyio.sleep(CHECK_RETRY_S * (0.5 + board.random.random()))


def log_listed(board, kind, objects, before, position):
    """Log a list that was read in place of changes, and what is known beyond it.

    ``before`` is the position of the watch that was not continued.
    """
    era, revision = split_position(position)
    known = [split_position(peer.position) for peer in board.peers.values()]
    board.log_change(
        "store-listed",
        kind=kind,
        objects=len(objects),
        era=era,
        revision=revision,
        before=split_position(before)[1],
        own=board.own_revision,
        ahead=sum(1 for _, number in known if number > revision),
    )
