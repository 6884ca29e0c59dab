"""Eras of the store, which may come back from an older copy of itself."""


def adopt_era(board, era):
    """Record the era of an answer of the store; log and count a later one."""
    before = board.store_era
    if before is not None and era <= before:
        return
    board.store_era = era
    if before is not None:
        board.count("store_restores")
        board.log_change("store-restored", era=era, before=before)


def log_listed(board, kind, objects, before, revision):
    """Log a list that was read in place of changes, and what is known beyond it.

    ``before`` is the revision of the watch that could not be continued.
    """
    known = [peer.revision for peer in board.peers.values()]
    board.log_change(
        "store-listed",
        kind=kind,
        objects=len(objects),
        before=before,
        revision=revision,
        own=board.own_revision,
        ahead=sum(1 for number in known if number > revision),
    )
