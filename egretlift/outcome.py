"""Kinds of answers, priorities and refusals shared by all parts of the system."""

import enum

OUTCOME_HEADER = "egretlift-outcome"
REASON_HEADER = "egretlift-reason"
CONTEXT_HEADER = "egretlift-context"
CALL_HEADER = "egretlift-call"
TIMEOUT_HEADER = "egretlift-timeout-ms"
DEADLINE_HEADER = "egretlift-deadline-ms"
PRIORITY_HEADER = "egretlift-priority"
ORGANISATION_HEADER = "egretlift-organisation"
RETRIES_HEADER = "egretlift-retries-left"
LOAD_HEADER = "egretlift-load"
CAUSE_HEADER = "egretlift-cause"
# Values of the cause header: a failed or a refused call further down the chain.
FAILURE_DEEPER = "deeper"
OVERLOAD_DEEPER = "deeper-overload"
IDENTIFIER_HEADER = "idempotency-key"


class Outcome(enum.Enum):
    """What is known about the execution behind an answer.

    ``REFUSED_NOT_RUN`` may be used only where it can be proved that no upstream
    received the request.
    """

    WHOLE = "whole"
    REFUSED_NOT_RUN = "refused-not-run"
    FAILED_WAS_RUN = "failed-was-run"
    UNKNOWN = "unknown"


class Priority(enum.IntEnum):
    """Importance of a call; a smaller value is shed later."""

    CRITICAL = 0
    INTERACTIVE = 1
    BACKGROUND = 2


class Refusal:
    """An answer given by a daemon instead of an upstream.

    Parameters
    ----------
    reason : str
        Machine-readable reason, also the value of the reason header.
    status : int
        HTTP status code.
    remedy : str
        What the caller can do.
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
