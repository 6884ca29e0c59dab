"""Answers that egretlift gives itself, and when a refused caller may return."""

from egretlift.outcome import Outcome, Refusal
from egretlift.transport.messages import answer_refusal

# Reasons that say something about the rate of the organisation.
RATE = "rate"
# Reasons of failures whose cause is a call further down.
DEEPER = "deeper"
DEEPER_OVERLOAD = "deeper-overload"
# Reasons that speak of load, also when a call further down was refused for them. An
# upstream that refuses calls although it has slots is faulty: fewer calls help nobody.
LOAD_REASONS = frozenset(("overload", "deadline", "pressure", DEEPER_OVERLOAD))
# After these reasons another host would do no better.
FINAL_REASONS = frozenset(("repeat-budget", "pressure", DEEPER, DEEPER_OVERLOAD))
# Times after which a refused caller returns, in seconds: the shortest and the spread.
RETURN_S = 0.25
RETURN_SPREAD_S = 0.5
RATE_RETURN_S = 1.0
PRESSURE_RETURN_S = 0.7

REMEDIES = {
    "overload": "retry after the stated time; the service is overloaded",
    "deadline": "retry; the time left was too short",
    "draining": "retry; the upstream is leaving",
    "absent": "retry; no upstream of the service is available",
    "unreachable": "retry; the upstream could not be reached",
    "unconnected": "retry; the host could not be reached",
    "no-upstream": "retry; no upstream of the service is available",
    "upstream-refused": "retry after the stated time; the upstream was full",
    "repeat-budget": "retry after the stated time; repeats are limited",
    RATE: "send fewer requests; the organisation's rate is used up",
    "pressure": "retry after the stated time; a service further down is overloaded",
}


def refuse(reason, status=503, reached=False):
    """Return the answer to a call that has not run and will not."""
    remedy = REMEDIES.get(reason, "retry after the stated time")
    answer = answer_refusal(Refusal(reason, status, remedy))
    answer.reached = reached
    return answer


def lose(reason, status):
    """Return the answer to a call that may have run."""
    remedy = "the request may have run; query its result before sending a new one"
    answer = answer_refusal(Refusal(reason, status, remedy, Outcome.UNKNOWN))
    answer.reached = True
    return answer


def speaks_of_load(answer):
    """Return whether an answer shows that its service, or one below, has no room."""
    return answer.reason in LOAD_REASONS or answer.status == 504


def choose_return_s(reason, random):
    """Return the seconds after which a refused caller should come back."""
    base_s = {RATE: RATE_RETURN_S, "pressure": PRESSURE_RETURN_S}.get(reason, RETURN_S)
    return base_s + RETURN_SPREAD_S * random.random()
