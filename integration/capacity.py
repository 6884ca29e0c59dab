"""A service of known capacity, and the requests that fill it."""

ZONES = {"a": 1, "b": 1, "c": 1}
SLOTS = 15
SERVICE_S = 0.3
# Calls of SERVICE_S a second that all hosts together can run.
CAPACITY = len(ZONES) * SLOTS / SERVICE_S

READ = {"name": "read", "path": "/calendar/{id}", "timeout_s": 2.0}
BOOK = {
    "name": "book",
    "method": "POST",
    "path": "/bookings/{id}",
    "priority": "critical",
    "identifier": "issued",
    "timeout_s": 3.0,
}
