"""Execution of a call on the upstream of this host."""

import asyncio

from egretlift.admission import slots as admission
from egretlift.admission.pace import record_finished, should_admit
from egretlift.admission.quarantine import end_suspect, start_suspect
from egretlift.admission.upstream_limit import compute_rate
from egretlift.clock import read_clock
from egretlift.membership.upstream import may_serve, refusal_reason
from egretlift.outcome import Outcome
from egretlift.retries.arrivals import (
    admit_repeat,
    may_admit_call_of_repeat,
    record_first_arrival,
    record_repeated_arrival,
)
from egretlift.serving.call import ensure_fingerprint
from egretlift.serving.checks import ROUTE_RANKS
from egretlift.serving.dependencies import find_limited_dependency, record_route_calls
from egretlift.serving.parents import end_call, start_call
from egretlift.serving.refusals import (
    NESTED_FAILURE,
    NESTED_OVERLOAD,
    QUARANTINED,
    answer_unknown,
    refuse,
)
from egretlift.serving.starts import schedule_start
from egretlift.serving.statements import read_statements
from egretlift.serving.upstream_ends import (
    judge_call,
    mark_unreachable,
    record_broken_call,
    record_ended_call,
)
from egretlift.transport.exchange import (
    ExchangeBroken,
    NotSent,
    encode_request,
    exchange,
)
from egretlift.transport.messages import Answer, select_answer_headers

# Time after the deadline, in seconds, that an answer sent at the deadline may take to
# arrive.
ANSWER_MARGIN_S = 0.03
MIN_REMAINING_S = 0.005
# Fraction of its remaining time that a nested call may wait for a slot, and any call
# for a start under a rate limit.
WAIT_SHARE = 0.25


async def execute_locally(board, call):
    """Run a call on this host's upstream and return its answer.

    The attribute ``reached`` of the answer tells whether the request was sent to the
    upstream.
    """
    if not may_serve(board.upstream):
        return refuse(refusal_reason(board.upstream))
    suspicion = judge_call(board, call)
    if suspicion:
        return refuse(suspicion)
    now = read_clock()
    if not call.is_inner:
        route_admission = board.ensure_route_admission(call.route)
        if not should_admit(route_admission, call.returned, board.random):
            return refuse("pressure")
        limited = find_limited_dependency(board, route_admission)
        if limited is not None:
            board.log("dependency-limited", call, dependency=limited)
            return refuse("pressure")
    if not check_repeat_budget(board, call, now):
        return refuse("repeat-budget")
    started = asyncio.get_running_loop().create_future()

    def notify(reason):
        if not started.done():
            started.set_result(reason)

    admission_deadline = compute_admission_deadline(board, call, now)
    slot_request = admission.SlotRequest(
        call.rank, call.origin_at, call.route, admission_deadline, notify
    )
    reason = admission.request_slot(board.slots, slot_request, read_clock())
    if reason:
        return refuse(reason)
    try:
        if slot_request.state == "waiting":
            schedule_start(board)
            reason = await started
            if reason:
                return refuse(reason)
        return await send_with_slot(board, call, slot_request)
    finally:
        admission.withdraw_request(board.slots, slot_request, read_clock())
        schedule_start(board)


def is_important(call):
    """Return whether a call is of a route that is shed last.

    A nested call has the rank of the request for which it is made.
    """
    return call.rank % ROUTE_RANKS == 0


def check_repeat_budget(board, call, now):
    """Return whether the budget of repeats admits a call, and count it if repeated.

    First attempts that do not belong to a repeated request are always admitted.
    """
    arrivals, bounds = board.arrivals, board.settings.bounds
    hosts = board.count_hosts()
    if call.repeated:
        important = is_important(call)
        return admit_repeat(arrivals, bounds, hosts, call.is_inner, now, important)
    return not call.of_repeat or may_admit_call_of_repeat(arrivals, bounds, hosts, now)


def compute_admission_deadline(board, call, now):
    """Return the latest expected end at which a call is still admitted.

    The value is a monotonic time in seconds. It is the deadline, except for nested
    calls and under a rate limit, where a call may wait only for a fraction of the
    remaining time. An upstream usually makes several calls for a request; if one of
    them waited until the deadline, the request would miss it. A rate limit lasts, so a
    call that does not start soon is better told to come back.
    """
    if not call.is_inner and compute_rate(board.slots.rate_limit, now) is None:
        return call.deadline
    wait_s = WAIT_SHARE * (call.deadline - now)
    mean_duration_s = admission.get_mean_duration_s(board.slots, call.route)
    return min(call.deadline, now + wait_s + mean_duration_s)


async def send_with_slot(board, call, slot_request):
    """Send a call that holds a slot to the upstream and return its answer.

    The call counts as running until it ends. The duration of a complete answer and the
    end of a caller's request are recorded for the slots and the route's admission.
    """
    upstream = board.upstream
    now = read_clock()
    if not may_serve(upstream):
        return refuse(refusal_reason(upstream))
    if call.deadline - now < MIN_REMAINING_S:
        return refuse("deadline")
    # Other daemons may have told of ends while the call waited for its slot.
    suspicion = judge_call(board, call)
    if suspicion:
        return refuse(suspicion)
    is_isolated = start_suspect(board.quarantine, call.fingerprint)
    running = start_call(board.running_calls, call)
    remaining_s = max(MIN_REMAINING_S, running.expires_at - now)
    running.task = asyncio.current_task()
    try:
        answer = await send_to_upstream(board, call, remaining_s)
    except asyncio.CancelledError:
        # The caller may have left at the same time, which cancels the task as well.
        if not running.is_broken_off or running.task.uncancel():
            raise
        answer = answer_unknown(QUARANTINED, 502)
    finally:
        end_call(board.running_calls, running)
        if is_isolated:
            end_suspect(board.quarantine)
    ended_at = read_clock()
    record_ended_call(board, call, answer)
    if answer.outcome is Outcome.WHOLE:
        admission.release_slot(board.slots, slot_request, ended_at, ended_at - now)
    elif answer.reached:
        set_nested_cause(answer, running)
    if not call.is_inner and answer.reached:
        overloaded = answer.reason == NESTED_OVERLOAD
        route_admission = board.ensure_route_admission(call.route)
        record_finished(route_admission, overloaded, ended_at)
        record_route_calls(route_admission, running, answer)
    return answer


def set_nested_cause(answer, running):
    """Set the reason of a failed answer to a nested call if one was the cause."""
    if answer.outcome is Outcome.REFUSED_NOT_RUN:
        return
    if running.nested_overloaded:
        answer.reason = NESTED_OVERLOAD
    elif running.nested_failed:
        answer.reason = NESTED_FAILURE


async def send_to_upstream(board, call, remaining_s):
    """Send a call to the upstream and return its answer."""
    current = board.upstream.current
    upstream_id = current.upstream_id
    headers = board.dialect.make_upstream_headers(call, upstream_id, remaining_s)
    data = encode_request(call.method, call.target, headers, call.body)

    def accepts(fields):
        return board.dialect.matches_request(fields, call.request_id)

    sent_at = read_clock()

    def record_arrival():
        call.is_sent = True
        board.count("upstream_requests", describe_kind(call))
        if call.of_repeat and not call.repeated:
            record_repeated_arrival(board.arrivals, read_clock())
        elif not call.repeated:
            record_first_arrival(board.arrivals, read_clock(), is_important(call))

    try:
        received = await exchange(
            board.upstream_pool,
            board.settings.upstream,
            call.method,
            data,
            accepts,
            remaining_s + ANSWER_MARGIN_S,
            record_arrival,
            lambda received: keeps_connection(board, received),
            board.dialect.names_request,
        )
    except NotSent:
        mark_unreachable(board, upstream_id)
        return refuse("unreachable")
    except ExchangeBroken as error:
        log_broken_call(board, call, str(error))
        record_broken_call(board, call, current)
        return answer_unknown("upstream-broke", 502)
    if received is None:
        return answer_unknown("deadline", 504)
    log_unusual_answer(board, call, received)
    read_statements(board, received.fields, current, sent_at)
    return classify_response(board, received)


def log_broken_call(board, call, cause):
    """Log and count a call whose connection to the upstream broke, with its content."""
    board.count("upstream_broken_calls")
    board.log(
        "upstream-broke",
        call,
        cause=cause,
        fingerprint=ensure_fingerprint(call),
        running=board.slots.running,
    )


def log_unusual_answer(board, call, received):
    """Log and count an answer that came after others or lacks a length or a name.

    One that names no request may have been held back, as a named one might have
    followed; see `Connection.hold_answer`.
    """
    if not received.framed:
        board.count("unframed_answers")
        board.log("answer-unframed", call, body_bytes=len(received.body))
    if received.dropped:
        board.count("late_answers")
        board.log("answers-dropped", call, dropped=received.dropped)
    if not board.dialect.names_request(received.fields):
        board.count("unnamed_answers")
        board.log("answer-unnamed", call, status=received.status)


def describe_kind(call):
    """Return the kind of a request to the upstream, a label of its counter."""
    if call.repeated or call.of_repeat:
        return "repeat"
    return "nested" if call.is_inner else "first"


def keeps_connection(board, received):
    """Return whether the upstream's connection may be used after a response.

    It is closed after a refusal: a faulty upstream may write the refusal once more,
    and it would be taken for the answer to a later request, which may have run.
    """
    return not board.dialect.states_not_run(received.status, received.fields)


def classify_response(board, received):
    """Return the answer for a response of the upstream, with its outcome.

    A refusal that names no request may belong to another one, so it does not tell
    whether this one has run.
    """
    dialect = board.dialect
    if dialect.states_not_run(received.status, received.fields):
        if dialect.read_request_id(received.fields) is None:
            return answer_unknown("refusal-not-named", 502)
        if received.status == 421:
            mark_unreachable(board, board.upstream.current.upstream_id)
        return refuse("upstream-refused", reached=True)
    if not dialect.is_sealed(received.fields, received.headers):
        if received.status < 500:
            return answer_unknown("answer-not-sealed", 502)
        return answer_unknown("upstream-failed", 502)
    headers = select_answer_headers(received.headers)
    outcome = Outcome.FAILED_WAS_RUN if received.status >= 500 else Outcome.WHOLE
    answer = Answer(outcome, received.status, headers, received.body)
    answer.reason = "upstream-failed" if received.status >= 500 else ""
    answer.reached = True
    return answer
