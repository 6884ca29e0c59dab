"""Outcomes, priorities, refusals and header names that all packages share."""

import enum

OUTCOME_HEADER = "egretlift-outcome"
REASON_HEADER = "egretlift-reason"
CONTEXT_HEADER = "egretlift-context"
AGE_HEADER = "egretlift-age-ms"
CALL_HEADER = "egretlift-call"
TIMEOUT_HEADER = "egretlift-timeout-ms"
DEADLINE_HEADER = "egretlift-deadline-ms"
PRIORITY_HEADER = "egretlift-priority"
ORGANISATION_HEADER = "egretlift-organisation"
RETRIES_HEADER = "egretlift-retries-left"
LOAD_HEADER = "egretlift-load"
STATEMENT_HEADER = "egretlift-upstream"
# Names the host that a request of another daemon is meant for, and the exchange; the
# answer repeats it.
EXCHANGE_HEADER = "egretlift-exchange"
CAUSE_HEADER = "egretlift-cause"
# Values of the cause header: a nested call, made by the upstream while it ran this
# call, failed or was refused because of overload.
NESTED_FAILURE = "deeper"
NESTED_OVERLOAD = "deeper-overload"
IDENTIFIER_HEADER = "idempotency-key"


class Outcome(enum.Enum):
    """What is known about the execution behind an answer.

    ``WHOLE`` is a complete answer with a status below 500, ``FAILED_WAS_RUN`` one with
    a status from 500. ``REFUSED_NOT_RUN`` may be used only if it is certain that no
    upstream received the request, so that a retry is safe. With ``UNKNOWN``, an
    upstream may or may not have executed the call.
    """

    WHOLE = "whole"
    REFUSED_NOT_RUN = "refused-not-run"
    FAILED_WAS_RUN = "failed-was-run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """Priority of a call; under overload, calls with larger values are shed first."""

    CRITICAL = 0
    INTERACTIVE = 1
    BACKGROUND = 2


class Refusal:
    """Answer that a daemon gives in place of an upstream.

    Parameters
    ----------
    reason : str
        Machine-readable reason, which is also the value of the reason header.
    status : int
        HTTP status code.
    remedy : str
        What the caller can do about it.
    outcome : Outcome
        ``REFUSED_NOT_RUN`` unless the request may have reached an upstream.
    """

    __slots__ = ("outcome", "reason", "remedy", "status")

    def __init__(self, reason, status, remedy, outcome=Outcome.REFUSED_NOT_RUN):
        self.reason = reason
        self.status = status
        self.remedy = remedy
        self.outcome = outcome

    def __repr__(self):
        return f"Refusal({self.reason!r}, {self.status})"
