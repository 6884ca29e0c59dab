"""Checks of the objects that daemons write to the platform for each other.

The platform stores whatever a writer sends. A malformed object is counted and left out,
so that the objects beside it are applied.
"""

from egretlift.blackboard import count
from egretlift.documents import is_integer, is_number, is_port, is_text
from egretlift.events import record_event
from egretlift.quotas import zone_lease

SHARE_FIELDS = ("epoch", "share", "wants")
LEASE_NUMBERS = ("epoch", "incarnation", "renewed")
LEASE_FLAGS = ("drained", "released")


def is_lease(spec):
    """Return whether a spec is one of a zone lease.

    Examples
    --------
    >>> is_lease({"holder": "h1", "epoch": 1}), is_lease({"holder": ["h1"]})
    (True, False)
    """
    if not isinstance(spec, dict):
        return False
    holder, standbys = spec.get("holder", ""), spec.get("standbys", [])
    return (
        set(spec) <= set(zone_lease.ZoneLease.__slots__)
        and (holder == "" or is_text(holder))
        and isinstance(standbys, list)
        and all(is_standby(standby) for standby in standbys)
        and all(is_integer(spec.get(name, 0), 0) for name in LEASE_NUMBERS)
        and all(isinstance(spec.get(name, False), bool) for name in LEASE_FLAGS)
    )


def is_standby(value):
    """Return whether a value is a list of a host and its incarnation."""
    is_pair = isinstance(value, list) and len(value) == 2
    return is_pair and is_text(value[0]) and is_integer(value[1], 0)


def is_shares(spec):
    """Return whether a spec is one of the shares of zones in a rate."""
    zones = spec.get("zones") if isinstance(spec, dict) else None
    return isinstance(zones, dict) and all(
        isinstance(entry, dict)
        and all(is_number(entry.get(name), 0) for name in SHARE_FIELDS)
        for entry in zones.values()
    )


def is_seed(spec):
    """Return whether a spec is one of the endpoints at which daemons join a zone."""
    endpoints = spec.get("endpoints", []) if isinstance(spec, dict) else None
    return isinstance(endpoints, list) and all(
        isinstance(endpoint, list)
        and len(endpoint) == 2
        and is_text(endpoint[0])
        and is_port(endpoint[1])
        for endpoint in endpoints
    )


def accept_object(board, item, is_valid):
    """Return whether the spec of an object is valid; count and log it if not."""
    if is_valid(item["spec"]):
        return True
    count(board, "objects_malformed", item["kind"])
    record_event(
        "object-malformed",
        kind=item["kind"],
        name=item["name"],
        revision=item["revision"],
    )
    return False
