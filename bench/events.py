"""Measure the time to record one event and write its log line to stderr.

::

    python -m bench.events 2>/dev/null
"""

import time

from egretlift.events import record_event, start_logging

EVENTS = 20000


def measure_events():
    """Return the mean microseconds per event over ``EVENTS`` events."""
    start_logging("h1")
    started = time.perf_counter()
    for number in range(EVENTS):
        record_event("call-refused", reason="no host", call_id=number, limit=12.5)
    return (time.perf_counter() - started) / EVENTS * 1e6


if __name__ == "__main__":
    print(f"{measure_events():.1f} us per event")
