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

__all__ = [
    "AdmissionState",
    "Decision",
    "Load",
    "Waiting",
    "cancel_waiting",
    "expire_waiting",
    "format_load",
    "parse_load",
    "release_slot",
    "report_load",
    "request_slot",
]
