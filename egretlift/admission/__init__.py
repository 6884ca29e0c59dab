"""Admission: concurrency limit, queue and entry throttle of one daemon."""

from egretlift.admission.queue import (
    AdmissionState,
    Decision,
    Load,
    Waiting,
    cancel_waiting,
    expire_waiting,
    format_load,
    parse_load,
    release_slot,
    report_load,
    request_slot,
)
from egretlift.admission.throttle import (
    ThrottleState,
    record_abandoned,
    record_accepted,
    record_refused,
    record_sent,
    refusal_probabilities,
    should_refuse,
)

__all__ = [
    "AdmissionState",
    "Decision",
    "Load",
    "ThrottleState",
    "Waiting",
    "cancel_waiting",
    "expire_waiting",
    "format_load",
    "parse_load",
    "record_abandoned",
    "record_accepted",
    "record_refused",
    "record_sent",
    "refusal_probabilities",
    "release_slot",
    "report_load",
    "request_slot",
    "should_refuse",
]
