"""Ends of this host's upstream, and the requests that are suspected of causing them."""

import asyncio

from egretlift.admission import quarantine as policy
from egretlift.admission import slots as admission
from egretlift.clock import read_clock
from egretlift.membership.directory import weigh
from egretlift.membership.peers import may_call
from egretlift.membership.statements import name_incarnation
from egretlift.membership.upstream import READY
from egretlift.outcome import Outcome
from egretlift.serving.call import ensure_fingerprint
from egretlift.serving.parents import break_off
from egretlift.transport.exchange import NotSent, connect


def name_upstream(announcement):
    """Return the name of the start of an upstream from its heartbeat."""
    return name_incarnation(announcement.upstream_id, announcement.born)


def judge_call(board, call):
    """Return why a call is not to be run on this host's upstream, None if it may be."""
    quarantine = board.quarantine
    if not quarantine.suspects:
        return None
    fingerprint = ensure_fingerprint(call)
    if fingerprint not in quarantine.suspects:
        return None
    reason = policy.judge(
        quarantine, fingerprint, is_designated(board, fingerprint), read_clock()
    )
    if reason:
        board.count("suspects_refused", reason)
        board.log(
            "suspect-refused",
            call,
            fingerprint=fingerprint,
            reason=reason,
            request=describe_request(call),
        )
    return reason


def describe_request(call):
    """Return method and path of a call; its query may hold secrets."""
    return f"{call.method} {call.target.partition('?')[0]}"


def is_designated(board, fingerprint):
    """Return whether this host is the one of its service that runs a suspect.

    All hosts of the service find the same one. While they know different hosts, it may
    be several.
    """
    settings, now = board.settings, read_clock()
    interval_s = board.report_interval_s()
    own = weigh(fingerprint, settings.host)
    return all(
        weigh(fingerprint, peer.entry.host) < own
        for peer in board.list_service_peers()
        if may_call(peer, settings.zone, now, interval_s)
    )


def record_ended_call(board, call, answer):
    """Record that the upstream has completed a call, unless it is not known to have."""
    if answer.outcome not in (Outcome.WHOLE, Outcome.FAILED_WAS_RUN):
        return
    fingerprint = ensure_fingerprint(call)
    was_quarantined = policy.is_quarantined(board.quarantine, fingerprint)
    if policy.record_completion(board.quarantine, fingerprint, read_clock()):
        board.share_suspects([fingerprint])
    if was_quarantined:
        log_release(board, fingerprint, "completed")


def log_release(board, fingerprint, cause):
    """Log that a request is quarantined no more."""
    board.log_change("quarantine-ended", fingerprint=fingerprint, cause=cause)


def record_broken_call(board, call, announcement):
    """Record a call whose connection broke, and check whether the upstream has ended.

    ``announcement`` is the heartbeat that was current when the call was sent.
    """
    has_ended = policy.record_broken(
        board.quarantine,
        name_upstream(announcement),
        ensure_fingerprint(call),
        read_clock(),
    )
    if has_ended:
        record_upstream_end(board, announcement)
    elif board.upstream_check is None or board.upstream_check.done():
        board.upstream_check = asyncio.create_task(check_upstream(board, announcement))


async def check_upstream(board, announcement):
    """Mark the upstream as unreachable if it takes no connection any more."""
    try:
        connection = await connect(board.upstream_pool, board.settings.upstream)
    except NotSent:
        mark_unreachable(board, announcement.upstream_id)
    else:
        connection.abort()


def mark_unreachable(board, upstream_id):
    """Stop using the upstream until its next heartbeat and refuse waiting calls.

    Does nothing if the upstream has been replaced by another in the meantime.
    """
    current = board.upstream.current
    if current is None or current.upstream_id != upstream_id:
        return
    board.upstream.silent = True
    board.log_change("upstream-unreachable", upstream=upstream_id)
    admission.refuse_waiting(board.slots, "unreachable")
    board.mark_entry_changed()
    if board.upstream.status == READY:
        record_upstream_end(board, current)


def record_upstream_end(board, announcement):
    """Suspect the calls that were running when the upstream ended, and tell others.

    ``announcement`` is a heartbeat of the upstream. Nothing is recorded for an upstream
    none of whose calls broke.
    """
    quarantine = board.quarantine
    upstream = name_upstream(announcement)
    known = {name for name in quarantine.broken if name in quarantine.suspects}
    changed = policy.record_end(quarantine, upstream, read_clock())
    if not changed:
        return
    board.count("upstream_ends")
    board.log_change(
        "upstream-ended",
        upstream=upstream,
        suspects=len(changed),
        known=len(known.intersection(changed)),
    )
    enforce_quarantine(board, changed, "upstream")
    board.share_suspects(changed)


def enforce_quarantine(board, fingerprints, source):
    """Break off the running calls of those suspects that are quarantined, and log it.

    An upstream that drops them in time does not end. ``source`` tells where the last
    end was seen.
    """
    for fingerprint in fingerprints:
        if policy.is_quarantined(board.quarantine, fingerprint):
            suspect = board.quarantine.suspects[fingerprint]
            board.count("quarantines")
            board.log_change(
                "request-quarantined",
                fingerprint=fingerprint,
                ends=len(suspect.ends),
                seconds=policy.compute_quarantine_s(suspect),
                source=source,
                running=break_off_calls(board, fingerprint),
            )


def break_off_calls(board, fingerprint):
    """Break off the running calls with a fingerprint and return their number."""
    found = [
        running
        for _, _, running in board.running_calls.by_deadline
        if ensure_fingerprint(running.call) == fingerprint
    ]
    for running in found:
        break_off(running)
    return len(found)
