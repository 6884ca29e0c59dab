"""Answers that the daemon gives itself, and when a refused caller should retry."""

from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import make_refusal_answer

# Reason of refusals because of the organisation's rate limit.
RATE = "rate"
# Reason of refusals of a request under which several upstreams have ended.
QUARANTINED = "quarantined"
# Reasons of failures that were caused by a nested call.
NESTED_FAILURE = "deeper"
NESTED_OVERLOAD = "deeper-overload"
# Reasons that indicate overload, of this service or of one that it calls. The reason
# "upstream-refused" is not among them: an upstream that refuses calls although it has
# free slots is faulty, and sending fewer calls would not help.
OVERLOAD_REASONS = frozenset(
    ("overload", "deadline", "pressure", "upstream-limit", NESTED_OVERLOAD)
)
# Reasons after which the call is not sent to another host, as it would fail there too.
FINAL_REASONS = frozenset(
    ("repeat-budget", "pressure", QUARANTINED, NESTED_FAILURE, NESTED_OVERLOAD)
)
# Seconds after which a refused caller should retry: minimum, and width of the random
# spread that is added.
RETRY_AFTER_S = 0.25
RETRY_AFTER_SPREAD_S = 0.5
RATE_RETRY_AFTER_S = 1.0
RETRY_AFTER_MAXIMUM_S = 5.0
PRESSURE_RETRY_AFTER_S = 0.7
QUARANTINE_RETRY_AFTER_S = 60.0

REMEDIES = {
    "overload": "retry after the stated time; the service is overloaded",
    "deadline": "retry; the time left was too short",
    "draining": "retry; the upstream is draining",
    "stopping": "retry on another connection; this host is stopping",
    "gone": "retry; the upstream has left",
    "absent": "retry; no upstream of the service is available",
    "unreachable": "retry; the upstream could not be reached",
    "unconnected": "retry; the host could not be reached",
    "no-upstream": "retry; no upstream of the service is available",
    "upstream-refused": "retry after the stated time; the upstream refused the call",
    "upstream-limit": "retry after the stated time; the service takes fewer requests",
    "repeat-budget": "retry after the stated time; the budget of repeats is used up",
    QUARANTINED: "do not send it again soon; hosts have ended while they ran it",
    "isolated": "retry after the stated time; hosts have ended while they ran it",
    RATE: "send fewer requests; the organisation's rate is used up",
    "pressure": "retry after the stated time; a dependency is overloaded",
}


def refuse(reason, status=503, reached=False):
    """Return the answer to a call that did not run and will not.

    ``reached`` tells whether an upstream received the call and refused it.
    """
    remedy = REMEDIES.get(reason, "retry after the stated time")
    answer = make_refusal_answer(Refusal(reason, status, remedy))
    answer.reached = reached
    return answer


def answer_refusal(refusal):
    """Return the answer for a refusal of a check, with the remedy of that check."""
    return make_refusal_answer(refusal)


def answer_unknown(reason, status):
    """Return the answer to a call that may have run."""
    remedy = "the request may have run; query its result before sending a new one"
    answer = make_refusal_answer(Refusal(reason, status, remedy, Outcome.UNKNOWN))
    answer.reached = True
    return answer


def answer_cut_off(call):
    """Return the answer to a call that does not end before the daemon does."""
    if call.is_sent:
        return answer_unknown("stopping", 502)
    return refuse("stopping")


def indicates_overload(answer):
    """Return whether an answer shows overload of its service or of one it calls.

    A timeout, status 504, counts as overload too.
    """
    return answer.reason in OVERLOAD_REASONS or answer.status == 504


def choose_retry_after_s(answer, random):
    """Return the seconds after which a refused caller should retry, with a spread.

    Under a rate limit it is not before the calls that wait now have started, since the
    call would only wait behind them or be refused again.
    """
    base_s = {
        RATE: RATE_RETRY_AFTER_S,
        "pressure": PRESSURE_RETRY_AFTER_S,
        QUARANTINED: QUARANTINE_RETRY_AFTER_S,
    }.get(answer.reason, RETRY_AFTER_S)
    base_s = max(base_s, min(answer.free_after_s, RETRY_AFTER_MAXIMUM_S))
    return base_s + RETRY_AFTER_SPREAD_S * random.random()
