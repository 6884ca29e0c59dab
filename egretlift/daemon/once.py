"""At-most-once calls: finding the home of an identifier and running it there."""

import hashlib
import time

import anyio

from egretlift.blackboard import count
from egretlift.daemon.calls import forward_to, remaining, run_call
from egretlift.errors import ConflictError, PlatformUnavailable, WriteUnsettled
from egretlift.events import record_event
from egretlift.idempotency import (
    ClaimState,
    IdentifierKind,
    RecordState,
    classify_identifier,
    decide_claim,
    finish_record,
    forget_record,
    issue_identifier,
    make_claim,
    name_claim,
    open_record,
)
from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import Answer, answer_refusal, hold_body

# Answers of identified calls are held whole, so that a resend can be answered.
ANSWER_LIMIT_BYTES = 1_000_000


def answer_unknown(reason, remedy, status=503):
    """Return the answer for an identifier that may have been run."""
    return answer_refusal(Refusal(reason, status, remedy, Outcome.UNKNOWN))


def fingerprint_call(call):
    """Return a digest of what a call asks for, to tell a resend from a reuse."""
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body.data)
    return digest.digest()


def issue(board):
    """Return a new identifier whose home is this daemon."""
    settings = board.settings
    board.identifier_sequence += 1
    return issue_identifier(
        settings.mesh_secret,
        settings.host,
        board.incarnation,
        board.identifier_sequence,
        time.monotonic() + settings.identifier_lifetime_s,
    )


async def run_once(board, call):
    """Run an at-most-once call at the home of its identifier.

    A call without an identifier is run once for this send and never retried.
    """
    if not call.identifier:
        return await run_call(board, call)
    await hold_body(call.body, call.profile.body_limit_bytes)
    found = classify_identifier(board.settings.mesh_secret, call.identifier)
    if found.kind is IdentifierKind.INVALID:
        refusal = Refusal(
            "identifier-invalid", 400, "send 1 to 200 printable characters"
        )
        return answer_refusal(refusal)
    if found.kind is IdentifierKind.ISSUED:
        home = (found.issued.host, found.issued.incarnation)
    else:
        home = await claim_home(board, call)
        if isinstance(home, Answer):
            return home
    return await reach_home(board, call, home)


async def claim_home(board, call):
    """Return the (host, incarnation) that is home of a caller-made identifier.

    Returns
    -------
    tuple or Answer
        An answer ``UNKNOWN`` if the platform cannot tell.
    """
    me = (board.settings.host, board.incarnation)
    name = name_claim(call.organisation or "", call.identifier)
    created, current = None, None
    try:
        with anyio.fail_after(max(remaining(call), 0.001)):
            created = await board.platform.put_object(
                "claim", name, make_claim(*me), version=0
            )
    except ConflictError as error:
        current = error.current
    except (PlatformUnavailable, WriteUnsettled, TimeoutError) as error:
        count(board, "claims_unsettled", type(error).__name__)
    decision = decide_claim(created, current, me)
    if decision.state is ClaimState.UNKNOWN:
        return answer_unknown(
            "claim-unknown",
            "resend later with the same identifier, or use one issued by"
            " POST /egretlift/identifiers, which needs no platform",
        )
    return decision.host, decision.incarnation


async def reach_home(board, call, home):
    """Run the call at its home, which may be this daemon."""
    host, incarnation = home
    if (host, incarnation) == (board.settings.host, board.incarnation):
        return await run_at_home(board, call)
    member = board.members.find(host)
    if member is None or member.incarnation != incarnation:
        return answer_unknown(
            "home-lost", "query the result; the daemon that knew of it is gone"
        )
    answer = await forward_to(board, call, member, identifier=call.identifier)
    if answer.reason == "no-connection":
        # Not run by this send, but an earlier send may have reached the home.
        answer = answer_unknown(
            "home-unreachable", "resend later with the same identifier"
        )
    return answer


async def run_at_home(board, call):
    """Run a call whose identifier has its home here, or answer its resend."""
    fingerprint = fingerprint_call(call)
    key = (call.organisation or "", call.identifier)
    state, record = open_record(
        board.ledger, board.settings, time.monotonic(), *key, fingerprint
    )
    if state is RecordState.FIRST:
        board.tasks.start_soon(run_recorded, board, call, key, record)
        return await await_record(call, record)
    count(board, "resends", state.name.lower())
    if state in (RecordState.RUNNING, RecordState.DONE):
        return await await_record(call, record)
    if state is RecordState.MISMATCH:
        refusal = Refusal(
            "identifier-reused",
            422,
            "use a new identifier; this one belongs to another request",
        )
        return answer_refusal(refusal)
    if state is RecordState.FULL:
        return answer_refusal(
            Refusal("ledger-full", 503, "retry at another host or later")
        )
    if state is RecordState.EXPIRED:
        return answer_unknown(
            "identifier-expired", "query the result, then use a new identifier", 422
        )
    return answer_unknown("result-unknown", "query the result; it may have run")


async def run_recorded(board, call, key, record):
    """Run a recorded call to its end, even when its caller has gone.

    The record keeps ``UNKNOWN`` unless an answer says otherwise, so an error
    here can never lead to a second run.
    """
    kept = answer_unknown("result-unknown", "query the result; it may have run")
    try:
        kept = await run_call(board, call)
        await hold_answer(kept)
    except Exception as error:
        record_event("call-error", call=call.call_id, error=repr(error))
    now = time.monotonic()
    if kept.outcome is Outcome.REFUSED_NOT_RUN:
        waiters = forget_record(board.ledger, now, *key)
    else:
        waiters = finish_record(
            board.ledger, board.settings, now, *key, kept.outcome, kept
        )
    record.answer = kept
    for waiter in waiters:
        waiter.set()


async def hold_answer(answer):
    """Read the body of an answer whole; a truncated one becomes ``UNKNOWN``."""
    response = answer.response
    if answer.body is not None:
        return
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > ANSWER_LIMIT_BYTES:
            raise ValueError("answer exceeds the limit of identified calls")
        chunks.append(chunk)
    answer.body = b"".join(chunks)


async def await_record(call, record):
    """Return the answer of a recorded call, or ``UNKNOWN`` at the deadline."""
    if record.answer is None:
        waiter = anyio.Event()
        record.waiters.append(waiter)
        with anyio.move_on_after(max(remaining(call), 0)):
            await waiter.wait()
    kept = record.answer
    if kept is None:
        return answer_unknown(
            "deadline", "resend with the same identifier to learn the result", 504
        )
    copy = Answer(kept.outcome, kept.status, kept.headers, kept.body, kept.reason)
    copy.deeper = kept.deeper
    copy.retries_left = kept.retries_left
    return copy
