"""Admission control of one daemon: concurrency limit, queue and client throttle."""

from egretlift.admission.queue import (
    AdmissionState,
    Decision,
    Load,
    QueuedCall,
    cancel_call,
    format_load,
    parse_load,
    refuse_expired,
    release_slot,
    report_load,
    request_slot,
)
from egretlift.admission.throttle import (
    ThrottleState,
    compute_refusal_probabilities,
    record_abandoned,
    record_accepted,
    record_refused,
    record_sent,
    should_refuse,
)

__all__ = [
    "AdmissionState",
    "Decision",
    "Load",
    "QueuedCall",
    "ThrottleState",
    "cancel_call",
    "compute_refusal_probabilities",
    "format_load",
    "parse_load",
    "record_abandoned",
    "record_accepted",
    "record_refused",
    "record_sent",
    "refuse_expired",
    "release_slot",
    "report_load",
    "request_slot",
    "should_refuse",
]
