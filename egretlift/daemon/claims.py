"""Removal of expired claims from the platform by one daemon of the mesh, the remover.

Every step is idempotent and every write is conditional, so two daemons that both act
as remover only duplicate work. If the platform fails, the step ends and the next one
reads the state again.
"""

import time

import anyio

from egretlift.blackboard import count
from egretlift.daemon.zone import get_own_lease
from egretlift.daemon.zone_shares import list_other_zones
from egretlift.errors import ConflictError, EgretliftError, NotFound
from egretlift.events import record_event
from egretlift.idempotency import (
    RemovalState,
    collect_claims,
    find_due_batch,
    is_index_due,
    make_batch,
    make_index_spec,
    record_batch,
    record_index,
    restore_state,
)
from egretlift.quotas import holds_lease

# Longest time between two reads of new claims. Those read are held in memory.
READ_PERIOD_S = 60.0
READS_PER_RETENTION = 200
# At most 50 removals a second, which is an eighth of 400 platform writes a second.
REMOVAL_GAP_S = 0.02
INDEX = "index"


def is_remover(board):
    """Return whether this host is the remover.

    It is the holder of the zone lease in the first zone, by name, with a live holder.
    """
    zone = board.settings.zone
    holds = holds_lease(get_own_lease(board), board.settings, time.monotonic())
    return holds and all(zone < other for other in list_other_zones(board))


async def remove_claims(board):
    """Remove claims past their retention until the daemon stops."""
    settings = board.settings
    period_s = min(READ_PERIOD_S, settings.claim_retention_s / READS_PER_RETENTION)
    state = None
    while True:
        await anyio.sleep(period_s * board.random.uniform(0.9, 1.1))
        if not is_remover(board):
            state = None
            continue
        try:
            if state is None:
                state = await read_index(board)
            await read_claims(board, state)
            await write_batches(board, state)
            await remove_due_batches(board, state)
            if is_index_due(state, settings, time.monotonic()):
                await write_index(board, state)
        except (EgretliftError, KeyError, TypeError, ValueError) as error:
            # After a lost answer or a conflict the index on the platform is what
            # counts. The other errors come from a malformed index or batch, which
            # another program wrote.
            record_event("claims-not-removed", error=repr(error))
            state = None


async def read_index(board):
    """Return the removal state stored in the platform's index, empty without one."""
    count(board, "platform_calls", "claim-batch")
    try:
        item = await board.platform.get_object("claim-batch", INDEX)
    except NotFound:
        return RemovalState(time.monotonic())
    return restore_state(time.monotonic(), item["revision"], item["spec"])


async def read_claims(board, state):
    """Collect the claims created since the last read, without waiting for more."""
    count(board, "platform_calls", "claim-batch")
    revision, claims = await board.platform.watch(("claim",), state.read_revision, 0)
    collect_claims(state, time.monotonic(), revision, claims)


async def write_batches(board, state):
    """Write each batch that is ready to close, then the index that names it."""
    while True:
        closed = make_batch(state, board.settings, time.monotonic())
        if closed is None:
            return
        batch, claims = closed
        try:
            await write_batch(board, batch.name, {"claims": claims}, 0)
        except ConflictError:
            # The batch was left by a remover that stopped before it wrote the index.
            # Any further claims that it lists have been removed since.
            pass
        now = time.monotonic()
        spec = make_index_spec(state, board.settings, now, batch)
        item = await write_batch(board, INDEX, spec, state.version)
        record_batch(state, now, item["revision"], batch, claims)


async def write_batch(board, name, spec, version):
    """Write a batch or the index if its version on the platform is the given one."""
    count(board, "platform_calls", "claim-batch")
    return await board.platform.put_object("claim-batch", name, spec, version)


async def remove_due_batches(board, state):
    """Remove every batch past the retention with its claims, then update the index."""
    while is_remover(board):
        batch = find_due_batch(state, board.settings, time.monotonic())
        if batch is None:
            return
        await remove_batch(board, batch.name)
        state.batches.remove(batch)
        await write_index(board, state)


async def write_index(board, state):
    """Write the index with the current ages of the batches."""
    now = time.monotonic()
    spec = make_index_spec(state, board.settings, now)
    item = await write_batch(board, INDEX, spec, state.version)
    record_index(state, now, item["revision"])


async def remove_batch(board, name):
    """Remove the claims of a batch and then the batch itself."""
    count(board, "platform_calls", "claim-batch")
    try:
        item = await board.platform.get_object("claim-batch", name)
    except NotFound:
        return
    for claim, revision in item["spec"]["claims"]:
        await remove_object(board, "claim", claim, revision)
        count(board, "claims_removed")
        await anyio.sleep(REMOVAL_GAP_S)
    await remove_object(board, "claim-batch", name, item["revision"])


async def remove_object(board, kind, name, revision):
    """Remove an object unless it has changed since the given revision."""
    count(board, "platform_calls", kind)
    try:
        await board.platform.delete_object(kind, name, revision)
    except (NotFound, ConflictError):
        # It was removed before, or the identifier was claimed again after that.
        pass
