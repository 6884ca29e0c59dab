"""Sending a call to one host after the other until one of them runs it."""

from egretlift.admission.slots import LIMITED
from egretlift.clock import read_clock
from egretlift.load import decode_load, encode_load
from egretlift.membership.peers import (
    eject,
    is_unresponsive,
    may_call,
    readmit,
    set_load,
)
from egretlift.membership.statements import (
    decode_statement,
    encode_statement,
    end_limit,
    is_leaving,
    name_incarnation,
    remember_statement,
)
from egretlift.outcome import (
    AGE_HEADER,
    CONTEXT_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    REASON_HEADER,
    STATEMENT_HEADER,
    Outcome,
)
from egretlift.routing.nearest import (
    CANDIDATES_PER_GROUP,
    Candidate,
    assume_missing_loads,
    choose_candidate,
    decay_failures,
    sample_hosts,
    update_failure_rate,
)
from egretlift.serving.call import encode_age, encode_context
from egretlift.serving.execution import execute_locally
from egretlift.serving.peer_requests import exchange_with_peer, is_consistent
from egretlift.serving.refusals import (
    FINAL_REASONS,
    NESTED_FAILURE,
    NESTED_OVERLOAD,
    answer_unknown,
    refuse,
)
from egretlift.transport.exchange import ExchangeBroken, NotSent
from egretlift.transport.messages import Answer, read_outcome, select_answer_headers

# Reasons with which a host refuses all calls for the time being.
UNAVAILABLE_REASONS = frozenset(
    ("stopping", "draining", "absent", "gone", "unreachable")
)
REACHED_HEADER = "egretlift-reached"
# Maximum number of hosts to which a call is sent.
MAX_HOSTS_TRIED = 4
# Time after the deadline, in seconds, in which the answer of the executing daemon may
# arrive, as that daemon itself answers at the deadline.
ANSWER_MARGIN_S = 0.08
# With fewer seconds left no other host is tried.
MIN_REMAINING_S = 0.02


async def serve_call(board, call):
    """Run a call on a host of its service and return its answer.

    A call that has reached an upstream is sent to another host only if it is idempotent
    or certainly did not run, and only within the route's number of attempts.
    """
    tried, reached_count, best = set(), 0, None
    for _ in range(MAX_HOSTS_TRIED):
        chosen = choose_host(board, call, tried)
        if chosen is None:
            break
        host = chosen.host
        tried.add(host)
        call.repeated = reached_count > 0
        if host == board.settings.host:
            answer = await execute_locally(board, call)
            record_local_outcome(board, answer)
            set_free_after(answer, board.measure_load())
        else:
            answer = await send_to_peer(board, call, board.peers[host])
        reached_count += answer.reached
        log_attempt(board, call, chosen, answer)
        best = choose_answer(best, answer)
        call.is_sent = best.outcome is not Outcome.REFUSED_NOT_RUN
        if not may_try_another_host(call, answer, reached_count):
            break
    return best or refuse("no-upstream")


def log_attempt(board, call, chosen, answer):
    """Log an unsuccessful attempt: the host, why it was chosen and the outcome.

    A successful attempt is not logged here, as the log line of the answer names its
    host.
    """
    call.served_by = chosen.host
    if answer.outcome is Outcome.WHOLE:
        return
    board.log(
        "offer",
        call,
        target=chosen.host,
        near=chosen.near,
        load=encode_load(chosen.load).replace(" ", "/"),
        load_age_ms=round(1000 * chosen.age_s),
        failed=round(chosen.failed, 2),
        outcome=answer.outcome.value,
        reason=answer.reason or "-",
    )


def choose_answer(best, answer):
    """Return the answer that is correct for the call after a further attempt.

    If an earlier attempt may have run, a later refusal does not replace its answer,
    since the call as a whole may have run.

    Parameters
    ----------
    best : Answer or None
        Answer for the attempts so far; None before the first.
    answer : Answer
        Answer of the last attempt.
    """
    if best is None or answer.outcome is Outcome.WHOLE:
        return answer
    if answer.outcome is not Outcome.REFUSED_NOT_RUN:
        return answer
    if best.outcome is not Outcome.REFUSED_NOT_RUN:
        return best
    known = [a.free_after_s for a in (best, answer) if a.free_after_s > 0.0]
    answer.free_after_s = min(known, default=0.0)
    return answer


def set_free_after(answer, load):
    """Set when a host whose upstream limits its rate may start another call.

    ``load`` is that of the host, None if it is not known.
    """
    if answer.reason == LIMITED and load is not None:
        answer.free_after_s = load.start_delay_s


def may_try_another_host(call, answer, reached_count):
    """Return whether a call may be sent to another host.

    Parameters
    ----------
    call : Call
    answer : Answer
        Answer of the last attempt.
    reached_count : int
        Attempts so far that reached an upstream.
    """
    if answer.outcome is Outcome.WHOLE or reached_count >= call.attempts:
        return False
    if call.deadline - read_clock() < MIN_REMAINING_S:
        return False
    if answer.reason in FINAL_REASONS:
        return False
    if answer.outcome is Outcome.REFUSED_NOT_RUN:
        return True
    return call.idempotent and answer.status != 504


def choose_host(board, call, tried):
    """Return the candidate to which a call is sent next, or None.

    The hosts of this zone and a few of each other zone are considered first; all other
    hosts only if none of these may be called.
    """
    now, settings = read_clock(), board.settings
    interval_s = board.report_interval_s()
    hosts = board.ensure_directory().services.get(call.service)

    def may_try(peer):
        entry = peer.entry
        return (
            entry.host not in tried
            and may_call(peer, settings.zone, now, interval_s)
            and not is_leaving(board.statements, entry.upstream_id, entry.born)
        )

    candidates = []
    if settings.host not in tried and board.may_execute(call.service):
        candidates.append(make_local_candidate(board, now))
    if hosts is not None:
        for near, peers in ((True, hosts.near), (False, hosts.far)):
            wanted = (
                CANDIDATES_PER_GROUP - len(candidates) if near else CANDIDATES_PER_GROUP
            )
            found = sample_hosts(peers, may_try, max(1, wanted), board.random)
            candidates += [make_peer_candidate(peer, near, now) for peer in found]
        if not candidates:
            found = sample_hosts(
                hosts.rest, may_try, CANDIDATES_PER_GROUP, board.random
            )
            candidates += [make_peer_candidate(peer, False, now) for peer in found]
    assume_missing_loads(candidates)
    return choose_candidate(candidates)


def make_local_candidate(board, now):
    """Return this host as a candidate."""
    failed = decay_failures(board.own_failure_share, now - board.own_failure_share_at)
    load = board.measure_load()
    return Candidate(board.settings.host, True, load, 0.0, 0, 0, failed)


def make_peer_candidate(peer, near, now):
    """Return another host as a candidate; an unresponsive one counts as failing."""
    failed = decay_failures(peer.failed, now - peer.failed_at)
    if is_unresponsive(peer, now):
        failed = 1.0
    return Candidate(
        peer.entry.host,
        near,
        peer.load,
        now - peer.load_at,
        peer.sent,
        peer.outstanding,
        failed,
        peer.entry.slots,
    )


def is_failure(answer):
    """Return whether an answer counts as a failure of the host that gave it."""
    if answer.outcome in (Outcome.UNKNOWN, Outcome.FAILED_WAS_RUN):
        return answer.reason not in (NESTED_FAILURE, NESTED_OVERLOAD)
    return answer.reason == "upstream-refused"


def record_local_outcome(board, answer):
    """Record whether a call failed on this host's upstream, if it was reached."""
    if answer.reached:
        now = read_clock()
        board.own_failure_share = update_failure_rate(
            board.own_failure_share,
            now - board.own_failure_share_at,
            is_failure(answer),
        )
        board.own_failure_share_at = now


async def send_to_peer(board, call, peer):
    """Send a call to the daemon of another host and return its answer.

    A host that cannot be reached or closes the connection is ejected for a while.
    """
    entry = peer.entry
    now = read_clock()
    headers = [
        *call.headers,
        (CONTEXT_HEADER, encode_context(call, now)),
        (AGE_HEADER, encode_age(call, now)),
    ]
    known = find_statement(board, entry)
    if known is not None:
        headers.append((STATEMENT_HEADER, encode_statement(known)))
    if not peer.outstanding:
        peer.waiting_since = now
    peer.outstanding += 1
    peer.sent += 1
    call.is_sent = True
    try:
        timeout_s = call.deadline - now + ANSWER_MARGIN_S
        received = await exchange_with_peer(
            board,
            entry,
            (call.method, call.target, headers, call.body),
            timeout_s,
            call.request_id,
        )
    except NotSent:
        eject(peer, read_clock())
        board.log_change("peer-unreachable", peer=entry.host)
        return refuse("unconnected")
    except ExchangeBroken as error:
        eject(peer, read_clock())
        board.log_change("peer-broke", peer=entry.host, cause=str(error))
        return answer_unknown("peer-broke", 502)
    finally:
        peer.outstanding -= 1
    if received is None:
        answer = answer_unknown("deadline", 504)
    elif not is_consistent(board.dialect, call.request_id, received):
        board.log("peer-answer-invalid", call, peer=entry.host, status=received.status)
        answer = answer_unknown("peer-broke", 502)
    else:
        peer.waiting_since = read_clock()
        answer = read_peer_answer(peer, received)
        record_statement(board, entry, received.fields, answer.reached)
    record_peer_outcome(peer, answer)
    return answer


def find_statement(board, entry):
    """Return what the upstream of a host entry has stated, None if nothing."""
    if not board.statements:
        return None
    return board.statements.get(name_incarnation(entry.upstream_id, entry.born))


def record_statement(board, entry, fields, reached):
    """Remember what the upstream of a host entry states, as its daemon says.

    An answer of the upstream, which the call has then ``reached``, ends a rate limit if
    it comes without a statement.
    """
    statement = decode_statement(fields.get(STATEMENT_HEADER))
    if statement is not None:
        remember_statement(board.statements, statement)
    elif reached and board.statements:
        end_limit(board.statements, entry.upstream_id, entry.born)


def read_peer_answer(peer, received):
    """Return the answer of another daemon and record the load that it reports.

    Ejects the host if it refuses all calls for the time being; readmits it otherwise.
    """
    fields = received.fields
    load = decode_load(fields.get(LOAD_HEADER))
    if load is not None:
        set_load(peer, load, read_clock())
    headers = select_answer_headers(received.headers)
    outcome = read_outcome(fields.get(OUTCOME_HEADER))
    answer = Answer(outcome, received.status, headers, received.body)
    answer.reason = fields.get(REASON_HEADER, "")
    set_free_after(answer, load)
    # A daemon that refuses a request before it is whole does not state this.
    is_refused = outcome is Outcome.REFUSED_NOT_RUN
    answer.reached = fields.get(REACHED_HEADER, "0" if is_refused else "1") != "0"
    if answer.reason in UNAVAILABLE_REASONS and not answer.reached:
        eject(peer, read_clock())
    else:
        readmit(peer)
    return answer


def record_peer_outcome(peer, answer):
    """Record whether a call failed at another host's upstream, if it was reached."""
    if answer.reached:
        now = read_clock()
        peer.failed = update_failure_rate(
            peer.failed, now - peer.failed_at, is_failure(answer)
        )
        peer.failed_at = now
