"""Load balancing: choice of the host that executes a call."""

from egretlift.routing.hosts import (
    HostRecord,
    HostRecords,
    choose_host,
    finish_call,
    is_ejected,
    rank_hosts,
    record_answer,
    record_refused_connection,
    retain_hosts,
    start_call,
)

__all__ = [
    "HostRecord",
    "HostRecords",
    "choose_host",
    "finish_call",
    "is_ejected",
    "rank_hosts",
    "record_answer",
    "record_refused_connection",
    "retain_hosts",
    "start_call",
]
