"""Running of one call: choice of host, retries and throttling.

Examples
--------
The path of a caller's request::

    receive_caller -> run_call -> execute_locally or forward_to -> send_answer
"""

import secrets
import time

from egretlift.admission import (
    parse_load,
    record_abandoned,
    record_accepted,
    record_refused,
    record_sent,
    should_refuse,
)
from egretlift.blackboard import count
from egretlift.daemon.execution import execute_locally
from egretlift.identity import CallContext, sign_context
from egretlift.membership import find_service_members
from egretlift.outcome import CONTEXT_HEADER, Outcome, Priority, Refusal
from egretlift.retries import (
    charge_retry,
    ensure_budget,
    lend_retries,
    record_first_attempt,
    settle_loan,
)
from egretlift.routing import (
    choose_host,
    finish_call,
    record_answer,
    record_refused_connection,
    start_call,
)
from egretlift.transport.forward import classify_peer_answer, send_request
from egretlift.transport.messages import can_resend, close_answer, make_refusal_answer

# Reasons of refusals that concern one host; another host may accept the call.
HOST_SPECIFIC_REASONS = frozenset(
    (
        "overload",
        "no-upstream",
        "no-connection",
        "deadline",
        "draining",
        "stopping",
        "upstream-refused",
        "configuration-missing",
    )
)
# Reasons of refusals that are due to load.
LOAD_REASONS = frozenset(("overload", "upstream-refused", "throttled"))


class Call:
    """A call that this daemon handles.

    Attributes
    ----------
    token : str
        Names the call in this daemon; the upstream sends it back with its outgoing
        calls.
    token_zone : str or None
        Zone of the share in which a rate token is reserved.
    deadline : float
        Monotonic time in seconds.
    depth : int
        Number of calls above this one in the call tree; 0 for a caller's request.
    key_digest : str or None
        Digest of the organisation's key, known only to the daemon that received
        the caller's request.
    outgoing : bool
        Whether this host's upstream makes the call.
    repeated : bool
        Whether the upstream repeats an outgoing call that did not end whole.
    outgoing_failed, outgoing_refused : bool
        Whether a call made by the upstream while it ran this call did not end
        whole, or was refused for load.
    outgoing_open : int
        Number of outgoing calls that the upstream is making now.
    outgoing_s : float
        Seconds in which the upstream was making at least one outgoing call,
        without the current period, which began at ``outgoing_since``.
    """

    __slots__ = (
        "allowance",
        "body",
        "call_id",
        "deadline",
        "depth",
        "headers",
        "identifier",
        "key_digest",
        "method",
        "organisation",
        "outgoing",
        "outgoing_failed",
        "outgoing_open",
        "outgoing_refused",
        "outgoing_s",
        "outgoing_since",
        "path",
        "priority",
        "profile",
        "received_at",
        "repeated",
        "repeats",
        "route",
        "service",
        "token",
        "token_zone",
    )

    def __init__(self, method, path, headers, body):
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.received_at = time.monotonic()
        self.token = secrets.token_urlsafe(12)
        self.call_id = self.token
        self.depth = 0
        self.organisation = None
        self.key_digest = None
        self.identifier = None
        self.outgoing = False
        self.outgoing_failed = False
        self.outgoing_refused = False
        self.outgoing_open = 0
        self.outgoing_s = 0.0
        self.outgoing_since = None
        self.repeated = False
        self.repeats = None
        self.token_zone = None
        self.route = None
        self.profile = None


def open_outgoing(call):
    """Record that the upstream begins an outgoing call while it runs this call."""
    if not call.outgoing_open:
        call.outgoing_since = time.monotonic()
    call.outgoing_open += 1


def close_outgoing(call):
    """Record that an outgoing call made while the upstream runs this call has ended."""
    call.outgoing_open -= 1
    if not call.outgoing_open:
        call.outgoing_s += time.monotonic() - call.outgoing_since


def compute_remaining_s(call):
    """Return the seconds until the deadline of a call, negative once it has passed."""
    return call.deadline - time.monotonic()


def make_context(board, call, lent, hop):
    """Return the context of a call for another daemon.

    Parameters
    ----------
    lent : int
        Number of retries from the call's allowance that the receiver may spend.
    hop : str
        ``outgoing``, ``home`` or ``execute``; see ``CallContext``.
    """
    return CallContext(
        call_id=call.call_id,
        organisation=call.organisation,
        priority=int(call.priority),
        remaining_s=compute_remaining_s(call),
        retries=lent,
        depth=call.depth,
        identifier=call.identifier,
        origin_host=board.settings.host,
        hop=hop,
    )


async def forward_to(board, call, member, hop="execute"):
    """Send a call to another daemon and return its answer."""
    now = time.monotonic()
    # If the answer is lost, so are the retries lent with the call, so one is kept to
    # retry with. The last one is lent all the same: a failure in a service that the
    # call leads to could otherwise never be retried.
    spare = call.profile and call.profile.idempotent and call.allowance.available > 1
    keep = 1 if spare else 0
    lent = lend_retries(call.allowance, keep)
    context = make_context(board, call, lent, hop)
    signed = sign_context(board.settings.mesh_secret, context)
    headers = [*call.headers, (CONTEXT_HEADER, signed)]
    url = f"http://{format_address(member.address)}:{member.peer_port}{call.path}"
    start_call(board.host_records, member.host)
    returned = None
    try:
        answer, received = await send_request(
            board.sessions["peers"],
            url,
            call,
            headers,
            compute_remaining_s(call),
            expect=True,
        )
        if received:
            classify_peer_answer(answer, received)
        returned = answer.retries_left
        if not received and answer.outcome is Outcome.REFUSED_NOT_RUN:
            returned = lent
    finally:
        finish_call(board.host_records, member.host)
        settle_loan(call.allowance, lent, returned)
    record_host_answer(board, member.host, answer, now)
    return answer


def record_host_answer(board, host, answer, started):
    """Update the record of a host, by which hosts are chosen, from its answer.

    Parameters
    ----------
    started : float
        Monotonic time at which the call was sent.
    """
    records, settings, now = board.host_records, board.settings, time.monotonic()
    if answer.reason == "no-connection" and answer.load is None:
        record_refused_connection(records, host, settings, now)
        return
    load = parse_load(answer.load) if answer.load else None
    record_answer(records, host, settings, now, answer.outcome, now - started, load)


def format_address(address):
    """Return an IP address as written in a URL, IPv6 in brackets.

    Examples
    --------
    >>> format_address("::1")
    '[::1]'
    """
    return f"[{address}]" if ":" in address else address


def choose_target(board, call, excluded):
    """Return the member to run the call, None if no host is left.

    This host is chosen at the first attempt if its upstream can run the call, since
    that saves a hop.
    """
    me = board.me
    own = call.service == board.upstream.service and me.host not in excluded
    serving = board.upstream.status == "serving" and not board.stopping
    if own and not excluded and serving:
        return me
    return choose_host(
        board.host_records,
        find_service_members(board.members, call.service),
        board.settings,
        time.monotonic(),
        board.random,
        board.settings.zone,
        excluded | {me.host},
    )


async def attempt(board, call, member):
    """Run the call once on one host and return its answer."""
    if member.host == board.me.host:
        return await execute_locally(board, call)
    hop = "outgoing" if call.outgoing else "execute"
    return await forward_to(board, call, member, hop)


def get_refused_tries(board, call):
    """Return on how many more hosts a call is tried after a refusal."""
    settings = board.settings
    if call.priority == 0:
        return settings.critical_refused_tries
    return settings.refused_tries


def has_nested_cause(answer):
    """Return whether a failure did not arise in the execution of the call itself.

    It arose in a service that the call led to, or the deadline passed.
    """
    return (
        answer.nested_failure or answer.nested_overload or answer.reason == "deadline"
    )


def acquire_retry(board, call, answer, attempts):
    """Return whether a failed call may be run once more.

    If so, the retry is taken from the call's allowance and the service's budget.

    Parameters
    ----------
    attempts : int
        Number of attempts so far.
    """
    if answer.outcome not in (Outcome.FAILED_WAS_RUN, Outcome.UNKNOWN):
        return False
    if not call.profile or not call.profile.idempotent or not can_resend(call.body):
        return False
    settings = board.settings
    if has_nested_cause(answer) and settings.retry_policy != "fixed":
        return False
    budget = ensure_budget(board.budgets, call.service)
    paid = charge_retry(call.allowance, budget, settings, time.monotonic(), attempts)
    if paid:
        count(board, "retries", call.service)
    return paid


async def run_call(board, call):
    """Run a call on one host after another until it ends or no retry is left.

    Returns
    -------
    Answer
        ``REFUSED_NOT_RUN`` only if every attempt was refused without being run.
    """
    settings = board.settings
    budget = ensure_budget(board.budgets, call.service)
    if not call.repeated:
        record_first_attempt(budget, settings, time.monotonic())
    excluded, refusals, attempts, ran = set(), 0, 0, False
    answer = None
    while True:
        member = choose_target(board, call, excluded)
        if member is None:
            break
        if answer is not None:
            close_answer(answer, whole=False)
        answer = await attempt(board, call, member)
        attempts += 1
        excluded.add(member.host)
        if answer.outcome is Outcome.WHOLE or compute_remaining_s(call) <= 0:
            break
        if answer.outcome is Outcome.REFUSED_NOT_RUN:
            refusals += 1
            if answer.reason not in HOST_SPECIFIC_REASONS or not can_resend(call.body):
                break
            if refusals > get_refused_tries(board, call):
                break
            continue
        ran = True
        if not acquire_retry(board, call, answer, attempts):
            break
        if len(excluded) >= len(find_service_members(board.members, call.service)):
            excluded.clear()
    if answer is None:
        refusal = Refusal("no-host", 503, "retry; no host of the service is known")
        answer = make_refusal_answer(refusal)
    return correct_outcome(answer, ran)


def correct_outcome(answer, ran):
    """Set a refusal's outcome to ``UNKNOWN`` if an earlier attempt may have run."""
    if ran and answer.outcome is Outcome.REFUSED_NOT_RUN:
        answer.outcome = Outcome.UNKNOWN
    return answer


def refuse_early(board, call, target):
    """Return a refusal if the throttle rejects the call, otherwise None.

    The throttle rejects part of the calls to a target whose calls are being refused.
    """
    settings, now = board.settings, time.monotonic()
    if settings.admission_policy != "adaptive":
        return None
    # The throttle counts one route, which does not show whether less important calls
    # on other routes, such as browsing, are still accepted. So critical calls are left
    # to the admission queue, which sees all routes.
    if call.priority == Priority.CRITICAL:
        return None
    if not should_refuse(
        board.throttle, settings, now, board.random, target, call.priority
    ):
        return None
    count(board, "throttled", target)
    return make_refusal_answer(
        Refusal("throttled", 503, "retry later; a service below this is overloaded")
    )


async def run_throttled(board, call, target, run):
    """Run a call unless the throttle rejects it, and record how it ended.

    Parameters
    ----------
    target : str
        Key of the throttle's counts: a service, or a service with a route prefix.
    run : coroutine function
        Takes the blackboard and the call and returns an answer.
    """
    early = refuse_early(board, call, target)
    if early is not None:
        return early
    record_sent(board.throttle, time.monotonic(), target, call.priority)
    record = record_abandoned
    try:
        answer = await run(board, call)
        refused = answer.reason in LOAD_REASONS or answer.nested_overload
        accepted = not (refused or call.outgoing_refused)
        record = record_accepted if accepted else record_refused
        return answer
    finally:
        record(board.throttle, time.monotonic(), target, call.priority)
