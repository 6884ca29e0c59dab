"""A service of known capacity, and the routes that load it.

``ZONES`` gives the number of hosts by zone, ``SLOTS`` the calls that the upstream of
a host runs at a time, and ``SERVICE_S`` the mean service time of a call in seconds.
"""

ZONES = {"a": 1, "b": 1, "c": 1}
SLOTS = 15
SERVICE_S = 0.3
# Calls of SERVICE_S that all hosts together can run in a second.
CAPACITY = len(ZONES) * SLOTS / SERVICE_S

READ_ROUTE = {"name": "read", "path": "/calendar/{id}", "timeout_s": 2.0}
BOOK_ROUTE = {
    "name": "book",
    "method": "POST",
    "path": "/bookings/{id}",
    "priority": "critical",
    "identifier": "issued",
    "timeout_s": 3.0,
}
