"""Answers to malformed requests and after internal errors, shared by the servers."""

import time

from egretlift.outcome import Outcome, Refusal

MAXIMUM_LINE_BYTES = 8190
# Any client can cause these events; without a limit it could fill the log.
MALFORMED_EVENTS_PER_SECOND = 20


def make_malformed_refusal(is_too_long):
    """Return the refusal for a request that is not valid HTTP (status 400 or 431)."""
    if is_too_long:
        remedy = f"keep the request line and each header in {MAXIMUM_LINE_BYTES} bytes"
        return Refusal("request-too-large", 431, remedy)
    return Refusal("request-malformed", 400, "send a valid HTTP/1.1 request")


def make_fault_refusal():
    """Return the refusal for an internal error of the daemon (status 500)."""
    remedy = "the request may have run; report the daemon's log"
    return Refusal("internal-error", 500, remedy, Outcome.UNKNOWN)


def make_cancelled_refusal():
    """Return the refusal for a request that a stopping daemon cancels (status 502)."""
    remedy = "the request may have run; query its result before sending a new one"
    return Refusal("stopping", 502, remedy, Outcome.UNKNOWN)


def make_report_limiter(per_second):
    """Return a function that tells whether another event may be recorded now."""
    second, reports = 0, 0

    def may_report():
        nonlocal second, reports
        now = int(time.monotonic())
        second, reports = now, reports + 1 if now == second else 1
        return reports <= per_second

    return may_report
