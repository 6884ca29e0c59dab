"""Execution of a call on this host's upstream."""

import time

import anyio

from egretlift.admission import (
    QueuedCall,
    cancel_call,
    refuse_expired,
    release_slot,
    request_slot,
)
from egretlift.blackboard import count
from egretlift.configuration import find_key_owner, find_organisation
from egretlift.daemon.rate import draw_token, release_reservation, reserve_token
from egretlift.outcome import (
    CALL_HEADER,
    DEADLINE_HEADER,
    IDENTIFIER_HEADER,
    ORGANISATION_HEADER,
    PRIORITY_HEADER,
    Outcome,
    Refusal,
)
from egretlift.transport.forward import classify_upstream_answer, send_request
from egretlift.transport.messages import make_refusal_answer

REMEDIES = {
    "overload": "retry later; the host is overloaded",
    "deadline": "allow more time; the call cannot finish before its deadline",
    "no-upstream": "retry; no upstream is announced on this host",
    "draining": "retry; the upstream of this host is leaving",
    "rate": "slow down; the organisation's rate and burst are used up",
    "key-unknown": "use a key that is in force",
}

QUEUE_TICK_S = 0.01
# Without calls no entry can expire, and polling at the shorter interval took most of
# an idle daemon's processor time.
IDLE_TICK_S = 0.05


def refuse(reason):
    """Return the answer to a call that this host refuses for a key of ``REMEDIES``."""
    status = {"rate": 429, "key-unknown": 401, "deadline": 504}.get(reason, 503)
    return make_refusal_answer(Refusal(reason, status, REMEDIES[reason]))


def check_upstream(board):
    """Return the reason why the upstream takes no new work, or None."""
    upstream = board.upstream
    if upstream.status == "serving" and time.monotonic() < upstream.expires_at:
        return None
    return "draining" if upstream.status in ("draining", "left") else "no-upstream"


def apply_decisions(board, decisions):
    """Wake the waiting calls that the admission queue has started or refused."""
    for decision in decisions:
        entry = board.slots.pop(decision.call.call_id, None)
        if entry is not None:
            entry.decision = decision
            entry.event.set()


class QueueEntry:
    """A call that waits for the decision of the admission queue.

    Attributes
    ----------
    queued : QueuedCall
        The call as the admission queue knows it.
    event : anyio.Event
        Set once ``decision`` is.
    """

    __slots__ = ("decision", "event", "queued")

    def __init__(self, queued):
        self.queued = queued
        self.event = anyio.Event()
        self.decision = None


async def enter_queue(board, call):
    """Wait for a slot of the upstream and return (queued call, refusal reason).

    The reason is None if the call holds a slot, which the caller must release.
    """
    settings, now = board.settings, time.monotonic()
    quota = find_organisation(board.catalog, call.organisation)
    queued = QueuedCall(
        call_id=call.token,
        organisation=call.organisation or "",
        priority=call.priority,
        weight=quota.weight if quota else 1.0,
        queued_at=now,
        deadline=call.deadline,
        kind=call.route[1] if call.route else "",
    )
    entry = board.slots[call.token] = QueueEntry(queued)
    apply_decisions(board, request_slot(board.admission, settings, now, queued))
    if entry.decision is None:
        try:
            await entry.event.wait()
        except BaseException:
            leave_queue(board, entry)
            raise
    decision = entry.decision
    return queued, None if decision.started else decision.reason


def leave_queue(board, entry):
    """Remove a cancelled call from the queue and release a slot it was given."""
    now, state = time.monotonic(), board.admission
    board.slots.pop(entry.queued.call_id, None)
    if entry.decision is None:
        decisions = cancel_call(state, board.settings, now, entry.queued)
    elif entry.decision.started:
        decisions = release_slot(state, board.settings, now, entry.queued, 0.0, None)
    else:
        return
    apply_decisions(board, decisions)


async def expire_queue(board):
    """Refuse queued calls that have waited too long, until the daemon stops."""
    while True:
        busy = board.slots or board.calls
        await anyio.sleep(QUEUE_TICK_S if busy else IDLE_TICK_S)
        apply_decisions(
            board, refuse_expired(board.admission, board.settings, time.monotonic())
        )


def check_dispatch(board, call):
    """Return the reason why the call may not be sent now, or None.

    The caller must not await between this check and sending the request, so that
    a daemon whose process was paused notices what has expired in the meantime. The
    rate token is drawn last, since the other checks use nothing up.
    """
    if time.monotonic() >= call.deadline:
        return "deadline"
    reason = check_upstream(board)
    if reason:
        return reason
    if call.organisation is not None:
        catalog = board.catalog
        if call.key_digest is not None:
            if find_key_owner(catalog, call.key_digest) != call.organisation:
                return "key-unknown"
        elif find_organisation(catalog, call.organisation) is None:
            return "key-unknown"
        zone = call.token_zone
        if zone is not None and not draw_token(board, call.organisation, zone):
            return "rate"
    return None


async def execute_locally(board, call):
    """Run a call on the upstream of this host.

    Returns
    -------
    Answer
        The call holds its slot until the answer is closed.
    """
    reason = "draining" if board.stopping else check_upstream(board)
    if reason:
        return refuse(reason)
    if call.organisation is not None and call.depth == 0:
        call.token_zone = await reserve_token(board, call)
        if call.token_zone is None:
            count(board, "refused_rate", call.organisation)
            return refuse("rate")
    try:
        queued, reason = await enter_queue(board, call)
        if reason:
            count(board, "refused_admission", reason)
            return refuse(reason)
        return await dispatch(board, call, queued)
    finally:
        if call.token_zone is not None:
            release_reservation(board, call.organisation, call.token_zone)
            call.token_zone = None


async def dispatch(board, call, queued):
    """Send a call that holds a slot to the upstream and return its answer.

    The slot is returned at once if the call fails or its answer is complete, and
    otherwise when the answer is closed.
    """
    settings = board.settings
    started = time.monotonic()
    reason = check_dispatch(board, call)
    if reason:
        return_slot(board, queued, 0.0, None)
        return refuse(reason)
    board.calls[call.token] = call
    try:
        answer, received = await send_request(
            board.sessions["upstream"],
            make_upstream_url(board.upstream, call.path),
            call,
            make_upstream_headers(call),
            max(call.deadline - started, 0.001),
        )
    except BaseException:
        board.calls.pop(call.token, None)
        return_slot(board, queued, 0.0, None)
        raise
    duration_s = time.monotonic() - started
    if received:
        classify_upstream_answer(answer, received)
    elif answer.reason == "no-connection" and board.upstream.port:
        count(board, "upstream_refused_connection", settings.host)
    # An upstream that answers at its deadline may have an outgoing call still open.
    answer.nested_failure = call.outgoing_failed or call.outgoing_open > 0
    outgoing_s = measure_outgoing(call)
    count(board, "executions", call.service)

    def finish(whole):
        board.calls.pop(call.token, None)
        # A failure of a service that it called says nothing about this upstream.
        abandoned = (
            not whole or answer.nested_failure and answer.outcome is not Outcome.WHOLE
        )
        outcome = None if abandoned else answer.outcome
        return_slot(board, queued, duration_s, outcome, outgoing_s)

    answer.on_finish = finish
    if answer.body is not None:
        answer.on_finish = None
        finish(whole=True)
    return answer


def measure_outgoing(call):
    """Return the seconds that the upstream spent in outgoing calls during a call."""
    if call.outgoing_open:
        return call.outgoing_s + time.monotonic() - call.outgoing_since
    return call.outgoing_s


def return_slot(board, queued, duration_s, outcome, outgoing_s=0.0):
    """Release a slot and start the queued calls that now fit.

    ``outcome`` is None if the call says nothing about the upstream, for instance
    because it was abandoned.
    """
    decisions = release_slot(
        board.admission,
        board.settings,
        time.monotonic(),
        queued,
        duration_s,
        outcome,
        outgoing_s,
    )
    apply_decisions(board, decisions)


def make_upstream_url(upstream, path):
    """Return the URL of a path on this host's upstream."""
    return f"http://{upstream.address}:{upstream.port}{path}"


def make_upstream_headers(call):
    """Return the headers with which a call is sent to the upstream.

    They add the call token, the remaining time in milliseconds, the priority, and
    the organisation and identifier if there are any.
    """
    headers = [
        *call.headers,
        (CALL_HEADER, call.token),
        (DEADLINE_HEADER, str(max(0, int(1000 * (call.deadline - time.monotonic()))))),
        (PRIORITY_HEADER, call.priority.name.lower()),
    ]
    if call.organisation is not None:
        headers.append((ORGANISATION_HEADER, call.organisation))
    if call.identifier:
        headers.append((IDENTIFIER_HEADER, call.identifier))
    return headers
