"""The ports for the platform: the readiness check and the upstream's heartbeats."""

import anyio

from egretlift.admission.slots import refuse_waiting, set_slot_count
from egretlift.admission.upstream_limit import UpstreamLimit
from egretlift.clock import read_clock
from egretlift.errors import AnnouncementInvalid
from egretlift.membership.upstream import (
    DRAINING,
    GONE,
    READY,
    accept_announcement,
    record_departure,
)
from egretlift.platform.heartbeats import decode_heartbeat
from egretlift.platform.names import READINESS_PATH, UPSTREAMS_PATH
from egretlift.serving.upstream_ends import name_upstream, record_upstream_end
from egretlift.transport.http_messages import Response, make_json_response

# Longest time that the acknowledgement of a leaving upstream waits for the store.
STORE_WAIT_S = 0.6


async def handle_readiness(board, request):
    """Answer 200 if the daemon is ready for callers, 503 if it is not."""
    if request.target != READINESS_PATH:
        return Response(404)
    ready = board.configuration is not None and not board.stopping
    return Response(200 if ready else 503)


async def handle_heartbeat(board, request):
    """Handle a heartbeat of the upstream (PUT) or its deregistration (DELETE)."""
    path = request.target
    if not path.startswith(UPSTREAMS_PATH):
        return Response(404)
    upstream_id = path[len(UPSTREAMS_PATH) :]
    if request.method == "DELETE":
        left = record_departure(board.upstream, upstream_id, read_clock())
        board.log_change("upstream-left", upstream=upstream_id, current=left)
        if board.upstream.status == GONE:
            await disable_upstream(board, GONE)
        return make_json_response({})
    if request.method != "PUT":
        return Response(405)
    try:
        announcement = decode_heartbeat(upstream_id, request.body)
    except AnnouncementInvalid as error:
        board.count("invalid_heartbeats")
        board.log_change("heartbeat-invalid", upstream=upstream_id, cause=str(error))
        return make_json_response({"error": str(error)}, 400)
    await process_heartbeat(board, announcement)
    return make_json_response({})


async def process_heartbeat(board, announcement):
    """Update the state of the upstream from a heartbeat, and publish a change."""
    state = board.upstream
    was_silent = state.silent
    before, was_ready = state.current, state.status == READY
    now = read_clock()
    changed = accept_announcement(state, announcement, board.settings.service, now)
    if not changed and state.silent == was_silent:
        if state.status == DRAINING:
            # The departure may be known from an answer and not be stored yet.
            await wait_until_stored(board)
        return
    board.log_change(
        "upstream-changed",
        upstream=announcement.upstream_id,
        state=state.status,
        born=announcement.born,
        beat=announcement.sequence,
    )
    if was_ready and name_upstream(before) != name_upstream(announcement):
        record_upstream_end(board, before)
    if state.status == DRAINING:
        await disable_upstream(board, DRAINING)
        return
    set_slot_count(board.slots, announcement.slots)
    upstream = name_upstream(announcement)
    if board.slots.rate_limit.upstream != upstream:
        board.slots.rate_limit = UpstreamLimit(upstream)
    board.mark_entry_changed()


async def disable_upstream(board, reason):
    """Send no further calls to the upstream, publish that, and wait for the store."""
    refuse_waiting(board.slots, reason)
    board.mark_entry_changed()
    await wait_until_stored(board)


async def wait_until_stored(board):
    """Wait until the store has this host's entry, so that a restarted daemon knows it.

    Returns after `STORE_WAIT_S` at the latest.
    """
    expected = board.counter
    with anyio.move_on_after(STORE_WAIT_S):
        while board.counter_stored < expected:
            await board.entry_stored.wait()
