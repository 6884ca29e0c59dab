"""Checks of this host's entry after the store has come back from an older copy."""

from egretlift.platform.names import HOST_KIND
from egretlift.sidecar.eras import settle_eras
from egretlift.sidecar.host_entries import apply_host_entry, handle_removed_entry
from egretlift.sidecar.own_entry import is_own_newer


async def check_own_entry(board):
    """Read this host's entry, and have it written again if it is gone or older.

    Raises
    ------
    PlatformUnavailable
    """
    found = await board.store.get_object(HOST_KIND, board.settings.host)
    if found is None:
        handle_removed_entry(board, board.settings.host, 0)
    elif is_own_newer(board, found):
        apply_host_entry(board, found)


async def keep_entry_restored(board):
    """Check this host's entry each time that the store was restored."""
    await settle_eras(board, check_own_entry)
