"""Structured event log, and the ring buffer of recent events for the timeline.

Examples
--------
>>> from egretlift.events import EventRing, append_event, list_events_after
>>> ring = EventRing("h1")
>>> event = append_event(ring, "limit-lowered", {"limit": 12})
>>> [event["limit"] for event in list_events_after(ring, 0)]
[12]
"""

from egretlift.events.record import get_event_ring, record_event, start_logging
from egretlift.events.ring import (
    EventRing,
    advance_clock,
    append_event,
    list_events_after,
    merge_timelines,
)

__all__ = [
    "EventRing",
    "advance_clock",
    "append_event",
    "get_event_ring",
    "list_events_after",
    "merge_timelines",
    "record_event",
    "start_logging",
]
