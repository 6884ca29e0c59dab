"""Running a call on the upstream of this host."""

import asyncio

import anyio

from egretlift.admission import slots as admission
from egretlift.admission.pace import may_start, record_end
from egretlift.clock import read_clock
from egretlift.membership.upstream import may_serve, refusal_reason
from egretlift.outcome import Outcome
from egretlift.retries.arrivals import (
    admit_repeat,
    may_admit_call_of_repeat,
    record_first_arrival,
    record_repeated_arrival,
)
from egretlift.serving.parents import Run, choose_expiry
from egretlift.serving.refusals import DEEPER, DEEPER_OVERLOAD, lose, refuse
from egretlift.transport.exchange import (
    ExchangeBroken,
    NotSent,
    encode_request,
    exchange,
)
from egretlift.transport.messages import Answer, select_answer_headers

# An upstream answers at the deadline itself; its answer needs a moment to arrive.
ANSWER_MARGIN_S = 0.03
SHORTEST_S = 0.005
# Part of its time that a call of an upstream may wait for a slot.
INNER_WAIT_SHARE = 0.25


async def execute_here(board, call):
    """Run a call on this host's upstream and return its answer.

    ``reached`` of the answer says whether the request was sent to the upstream.
    """
    if not may_serve(board.upstream):
        return refuse(refusal_reason(board.upstream))
    now = read_clock()
    if not call.is_inner:
        pace = board.find_pace(call.route)
        if not may_start(pace, call.returned, board.random):
            return refuse("pressure")
    if not may_repeat(board, call, now):
        return refuse("repeat-budget")
    started = asyncio.get_running_loop().create_future()

    def notify(reason):
        if not started.done():
            started.set_result(reason)

    latest = find_latest_end(board, call, now)
    ticket = admission.Ticket(call.rank, call.route, latest, notify)
    reason = admission.enter(board.slots, ticket, read_clock())
    if reason:
        return refuse(reason)
    try:
        if ticket.state == "waiting":
            reason = await started
            if reason:
                return refuse(reason)
        return await dispatch(board, call, ticket)
    finally:
        admission.abandon(board.slots, ticket, read_clock())


def may_repeat(board, call, now):
    """Return whether a call is no repeat, or one that the budget allows."""
    arrivals, bounds = board.arrivals, board.settings.bounds
    hosts = board.count_hosts()
    if call.repeated:
        return admit_repeat(arrivals, bounds, hosts, call.is_inner, now)
    return not call.of_repeat or may_admit_call_of_repeat(arrivals, bounds, hosts, now)


def find_latest_end(board, call, now):
    """Return the time by which a call must be expected to end to be let in.

    An upstream that makes one call mostly makes more; one that waited for all of its
    request's time would end in time only for the request to be too late.
    """
    if not call.is_inner:
        return call.deadline
    wait_s = INNER_WAIT_SHARE * (call.deadline - now)
    typical_s = admission.typical_s(board.slots, call.route)
    return min(call.deadline, now + wait_s + typical_s)


async def dispatch(board, call, ticket):
    """Send a call that holds a slot."""
    upstream = board.upstream
    now = read_clock()
    if not may_serve(upstream):
        return refuse(refusal_reason(upstream))
    run = Run(call, choose_expiry(board.runs, call.deadline))
    remaining_s = run.expires_at - now
    if remaining_s < SHORTEST_S:
        return refuse("deadline")
    board.runs.add(run)
    try:
        answer = await send_to_upstream(board, call, remaining_s)
    finally:
        board.runs.discard(run)
    now_ended = read_clock()
    if answer.outcome is Outcome.WHOLE:
        admission.release(board.slots, ticket, now_ended, now_ended - now)
    elif answer.reached:
        blame_inner(answer, run)
    if not call.is_inner and answer.reached:
        refused_deeper = answer.reason == DEEPER_OVERLOAD
        record_end(board.find_pace(call.route), refused_deeper, now_ended)
    return answer


def blame_inner(answer, run):
    """Name calls further down as the cause of a failure, if they are."""
    if answer.outcome is Outcome.REFUSED_NOT_RUN:
        return
    if run.inner_refused:
        answer.reason = DEEPER_OVERLOAD
    elif run.inner_failed:
        answer.reason = DEEPER


async def send_to_upstream(board, call, remaining_s):
    """Send a call to the upstream and return its answer."""
    upstream_id = board.upstream.current.upstream_id
    headers = board.dialect.make_upstream_headers(call, upstream_id, remaining_s)
    data = encode_request(call.method, call.target, headers, call.body)

    def accepts(fields):
        return board.dialect.answers_request(fields, call.request_id)

    def note_arrival():
        if call.of_repeat and not call.repeated:
            record_repeated_arrival(board.arrivals, read_clock())
        elif not call.repeated:
            record_first_arrival(board.arrivals, read_clock())

    received = None
    try:
        with anyio.move_on_after(remaining_s + ANSWER_MARGIN_S):
            received = await exchange(
                board.upstream_pool,
                board.settings.upstream,
                call.method,
                data,
                accepts,
                note_arrival,
            )
    except NotSent:
        note_silence(board, upstream_id)
        return refuse("unreachable")
    except ExchangeBroken as error:
        board.log("upstream-broke", call, cause=str(error))
        return lose("upstream-broke", 502)
    if received is None:
        return lose("deadline", 504)
    return classify(board, received)


def note_silence(board, upstream_id):
    """Use the upstream no more until its next heartbeat."""
    current = board.upstream.current
    if current is None or current.upstream_id != upstream_id:
        return
    board.upstream.silent = True
    board.log_change("upstream-unreachable", upstream=upstream_id)
    admission.refuse_waiting(board.slots, "unreachable")
    board.change_entry()


def classify(board, received):
    """Return the answer in what an upstream sent."""
    dialect = board.dialect
    if dialect.says_not_run(received.status, received.fields):
        if received.status == 421:
            note_silence(board, board.upstream.current.upstream_id)
        return refuse("upstream-refused", reached=True)
    if not dialect.is_sealed(received.fields):
        if received.status < 500:
            return lose("answer-not-sealed", 502)
        return lose("upstream-failed", 502)
    headers = select_answer_headers(received.headers)
    outcome = Outcome.FAILED_WAS_RUN if received.status >= 500 else Outcome.WHOLE
    answer = Answer(outcome, received.status, headers, received.body)
    answer.reason = "upstream-failed" if received.status >= 500 else ""
    answer.reached = True
    return answer
