"""At-most-once calls: finding the home of an identifier and running its call there.

The home is the daemon process, named by host and incarnation, that owns the record of
an identifier. An identifier issued by a daemon names its home; for one made by a
caller, the first daemon to create a claim on the platform becomes the home.
"""

import hashlib
import math
import time

import anyio

from egretlift.blackboard import count
from egretlift.daemon.calls import compute_remaining_s, forward_to, run_call
from egretlift.daemon.tasks import start_task
from egretlift.errors import (
    ConflictError,
    EgretliftError,
    NotFound,
    PlatformUnavailable,
    WriteUnsettled,
)
from egretlift.events import record_event
from egretlift.idempotency import (
    ClaimState,
    CreateResult,
    CreateStatus,
    IdentifierKind,
    RecordState,
    add_waiter,
    classify_identifier,
    decide_claim,
    delete_unexecuted_record,
    find_record,
    finish_record,
    issue_identifier,
    make_claim_spec,
    name_claim,
    open_record,
    remove_waiter,
)
from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import (
    Answer,
    buffer_body,
    close_answer,
    make_refusal_answer,
)

# The whole answer to an identified call is stored, so that a resend gets the same one.
MAX_ANSWER_BYTES = 1_000_000
# Claimed identifiers that were not run and that a resend may run, about 1 MB. At the
# limit the oldest is dropped, and its resends are then answered "unknown".
MAX_RELEASED_CLAIMS = 4000


def answer_unknown(reason, remedy, status=503):
    """Return the answer to a call that may have been run, with outcome ``UNKNOWN``."""
    return make_refusal_answer(Refusal(reason, status, remedy, Outcome.UNKNOWN))


def fingerprint_call(call):
    """Return a digest of method, path and body.

    It tells a resend from another request with the same identifier.
    """
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body.data)
    return digest.digest()


def issue_own_identifier(board):
    """Return a new identifier whose home is this daemon process."""
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
    await buffer_body(call.body, call.profile.body_limit_bytes)
    if not call.identifier:
        return await run_detached(board, call)
    kind, issued = classify_identifier(board.settings.mesh_secret, call.identifier)
    if kind is IdentifierKind.INVALID:
        refusal = Refusal(
            "identifier-invalid", 400, "send 1 to 200 printable characters"
        )
        return make_refusal_answer(refusal)
    if kind is IdentifierKind.ISSUED:
        home = (issued.host, issued.incarnation)
    else:
        home = await claim_home(board, call)
        if isinstance(home, Answer):
            return home
    return await send_to_home(board, call, home)


async def run_detached(board, call):
    """Run a call to its end even if its caller disconnects.

    Otherwise the upstream's connection would be closed, which could stop a booking
    halfway.
    """
    pending = PendingAnswer()
    start_task(board, run_pending, call, pending)
    try:
        await pending.event.wait()
    except BaseException:
        pending.awaited = False
        if pending.event.is_set():
            close_answer(pending.answer, whole=False)
        raise
    return pending.answer


async def run_pending(board, call, pending):
    """Run a call and pass its answer to the caller if it still waits."""
    pending.answer = answer_unknown(
        "result-unknown", "query the result; it may have run"
    )
    try:
        pending.answer = await run_call(board, call)
    finally:
        pending.event.set()
        if not pending.awaited:
            close_answer(pending.answer, whole=False)


async def claim_home(board, call):
    """Return the (host, incarnation) that is home of a caller-made identifier.

    Returns
    -------
    tuple or Answer
        The answer to give instead if no home can be named: ``UNKNOWN`` if the
        platform does not settle the claim, a refusal if the ledger is full.
    """
    key = (call.organisation, call.identifier)
    full = len(board.ledger.records) >= board.settings.ledger_records
    if full and not find_record(board.ledger, *key):
        result = await read_existing_claim(board, call)
        if result is None:
            return refuse_record(RecordState.FULL)
    else:
        result = await create_claim(board, call)
    decision = decide_claim(result, board.me)
    if decision.state is ClaimState.OWNED:
        if result.status is CreateStatus.CREATED:
            release_claim(board, key)
        return board.settings.host, board.incarnation
    if decision.state is ClaimState.ELSEWHERE:
        return decision.host, decision.incarnation
    count(board, "claims_unsettled", decision.reason)
    return answer_unknown(
        decision.reason,
        "resend later with the same identifier, or use one issued by"
        " POST /egretlift/identifiers, which needs no platform",
    )


async def create_claim(board, call):
    """Try to create the claim of a caller-made identifier for this daemon.

    Returns
    -------
    CreateResult
    """
    count(board, "platform_calls", "claim")
    name = name_claim(call.organisation, call.identifier)
    try:
        with anyio.fail_after(max(compute_remaining_s(call), 0.001)):
            await board.platform.put_object(
                "claim", name, make_claim_spec(board.me), version=0
            )
    except ConflictError as error:
        spec = error.current["spec"] if error.current else None
        return CreateResult(CreateStatus.EXISTS, spec)
    except PlatformUnavailable:
        return CreateResult(CreateStatus.UNAVAILABLE)
    except (WriteUnsettled, TimeoutError):
        return CreateResult(CreateStatus.UNSETTLED)
    return CreateResult(CreateStatus.CREATED)


async def read_existing_claim(board, call):
    """Return the existing claim without creating one, None if there is none.

    Used with a full ledger: a new claim would get no record, so no resend could ever
    run the call.
    """
    count(board, "platform_calls", "claim")
    name = name_claim(call.organisation, call.identifier)
    try:
        with anyio.fail_after(max(compute_remaining_s(call), 0.001)):
            item = await board.platform.get_object("claim", name)
    except NotFound:
        return None
    except (EgretliftError, TimeoutError):
        return CreateResult(CreateStatus.UNAVAILABLE)
    return CreateResult(CreateStatus.EXISTS, item["spec"])


def release_claim(board, key):
    """Allow the next call with a claimed identifier to open a record.

    A claim of this host without a record may have been run long ago. So only a new
    claim, or one whose call was provably not run, is released.
    """
    board.released_claims[key] = time.monotonic() + board.settings.identifier_lifetime_s
    if len(board.released_claims) > MAX_RELEASED_CLAIMS:
        del board.released_claims[next(iter(board.released_claims))]


def may_open_claim(board, key):
    """Return whether a claimed identifier has a record or may get one now.

    A release permits one record and is used up by this check.
    """
    if find_record(board.ledger, *key) is not None:
        return True
    return time.monotonic() < board.released_claims.pop(key, -math.inf)


async def send_to_home(board, call, home):
    """Run a call at its home, which may be this daemon, and return the answer.

    Parameters
    ----------
    home : tuple of (str, int)
        Host and incarnation.
    """
    host, incarnation = home
    if (host, incarnation) == (board.settings.host, board.incarnation):
        return await run_at_home(board, call)
    member = board.members.members.get(host)
    if member is None or member.incarnation != incarnation:
        return answer_unknown(
            "home-lost", "query the result; the daemon that knew of it is gone"
        )
    if member.service and member.service != call.service:
        # The home would run the call on its own service.
        return refuse_record(RecordState.MISMATCH)
    answer = await forward_to(board, call, member, "home")
    if answer.reason == "no-connection":
        # This send did not run, but an earlier one may have reached the home.
        answer = answer_unknown(
            "home-unreachable", "resend later with the same identifier"
        )
    return answer


async def run_at_home(board, call):
    """Run a call whose home is this daemon, or answer its resend from the record."""
    key = (call.organisation, call.identifier)
    _, issued = classify_identifier(board.settings.mesh_secret, call.identifier)
    if issued is not None and issued.incarnation != board.incarnation:
        return answer_unknown(
            "home-lost", "query the result; the daemon that knew of it is gone"
        )
    if issued is None and not may_open_claim(board, key):
        # The record is dropped after its lifetime, while the claim is kept longer.
        count(board, "resends", "record-gone")
        return refuse_record(RecordState.UNKNOWN)
    state = open_record(
        board.ledger,
        board.settings,
        time.monotonic(),
        *key,
        fingerprint_call(call),
        expires_at=issued.expires_at if issued else None,
        claimed=issued is None,
    )
    if state is not RecordState.FIRST:
        count(board, "resends", state.value)
    if state in (RecordState.FIRST, RecordState.RUNNING):
        pending = PendingAnswer()
        add_waiter(board.ledger, *key, pending)
        if state is RecordState.FIRST:
            start_task(board, run_recorded, call, key)
        return await await_record(board, call, key, pending)
    if state is RecordState.DONE:
        return replay_answer(find_record(board.ledger, *key))
    return refuse_record(state)


class PendingAnswer:
    """The answer that one send of an identified call waits for.

    Attributes
    ----------
    event : anyio.Event
        Set once ``answer`` is.
    awaited : bool
        False once the sender has disconnected; the task that runs the call then
        closes the answer.
    """

    __slots__ = ("answer", "awaited", "event")

    def __init__(self):
        self.event = anyio.Event()
        self.answer = None
        self.awaited = True


def refuse_record(state):
    """Return the answer to a call that may not run because of its record's state."""
    if state is RecordState.MISMATCH:
        remedy = "use a new identifier; this one belongs to another request"
        return make_refusal_answer(Refusal("identifier-reused", 422, remedy))
    if state is RecordState.FULL:
        remedy = "retry at another host or later"
        return make_refusal_answer(Refusal("ledger-full", 503, remedy))
    if state is RecordState.EXPIRED:
        remedy = "query the result, then use a new identifier"
        return answer_unknown("identifier-expired", remedy, 422)
    return answer_unknown("result-unknown", "query the result; it may have run")


def replay_answer(record):
    """Return the stored answer of a finished call, or a refusal if it was dropped."""
    if record.answer is not None:
        return copy_answer(record.answer)
    remedy = "query the result; the call has run, but its answer is no longer kept"
    return make_refusal_answer(Refusal("answer-not-kept", 409, remedy, record.outcome))


def copy_answer(kept):
    """Return a copy of a stored answer, so that each sender can close its own."""
    copy = Answer(kept.outcome, kept.status, kept.headers, kept.body, kept.reason)
    copy.nested_failure = kept.nested_failure
    copy.nested_overload = kept.nested_overload
    return copy


async def run_recorded(board, call, key):
    """Run a recorded call to its end, even if its caller disconnects.

    The record becomes ``UNKNOWN`` unless an answer says otherwise, so that an error
    here never leads to a second run. A call that was not run frees its identifier.
    """
    kept = answer_unknown("result-unknown", "query the result; it may have run")
    try:
        answer = await run_call(board, call)
        await buffer_answer(answer)
        kept = answer
    except Exception as error:
        record_event("call-error", call=call.call_id, error=repr(error))
    now = time.monotonic()
    if kept.outcome is Outcome.REFUSED_NOT_RUN:
        record = find_record(board.ledger, *key)
        waiters = delete_unexecuted_record(board.ledger, *key)
        if record is not None and record.claimed:
            release_claim(board, key)
    else:
        waiters = finish_record(
            board.ledger,
            board.settings,
            now,
            *key,
            kept.outcome,
            kept,
            size=len(kept.body),
        )
    for waiter in waiters or ():
        waiter.answer = copy_answer(kept)
        waiter.event.set()


async def buffer_answer(answer):
    """Read the whole body of an answer into memory and close it.

    A body that is truncated or larger than ``MAX_ANSWER_BYTES`` raises an error, on
    which the caller records ``UNKNOWN``.
    """
    if answer.body is not None:
        return
    response = answer.response
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise ValueError(
                "the answer to an identified call is too large to store;"
                " return a smaller one"
            )
        chunks.append(chunk)
    answer.body = b"".join(chunks)
    close_answer(answer, whole=True)


async def await_record(board, call, key, pending):
    """Wait for the answer to a recorded call; ``UNKNOWN`` at the deadline."""
    try:
        with anyio.move_on_after(max(compute_remaining_s(call), 0)):
            await pending.event.wait()
    finally:
        remove_waiter(board.ledger, *key, pending)
    if pending.answer is not None:
        return pending.answer
    return answer_unknown(
        "deadline", "resend with the same identifier to learn the result", 504
    )
