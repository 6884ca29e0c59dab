"""Structured event log, and the ring buffer of recent events for the timeline.

Examples
--------
>>> from egretlift.events import EventRing, append_event, events_after
>>> ring = EventRing("h1")
>>> event = append_event(ring, "limit-lowered", {"limit": 12})
>>> [event["limit"] for event in events_after(ring, 0)]
[12]
"""

from egretlift.events.record import current_ring, record_event, start_logging
from egretlift.events.ring import (
    EventRing,
    append_event,
    events_after,
    merge_timelines,
    observe_order,
)

__all__ = [
    "EventRing",
    "append_event",
    "current_ring",
    "events_after",
    "merge_timelines",
    "observe_order",
    "record_event",
    "start_logging",
]
