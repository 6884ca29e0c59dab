"""Profiles of routes."""

from egretlift.configuration.fields import (
    parse_fields,
    read_boolean,
    read_choice,
    read_integer,
    read_number,
    read_optional,
)
from egretlift.errors import ProfileInvalid
from egretlift.outcome import Priority

DEFAULT_RETRIES = 2
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_BODY_LIMIT_BYTES = 1_048_576
# A booking that runs on a catalog older than this could use a withdrawn key.
AT_MOST_ONCE_STALENESS_S = 3600.0

ROWS = {
    "priority": (read_choice({p.name.lower(): p for p in Priority}), ...),
    "idempotent": (read_boolean, False),
    "at_most_once": (read_boolean, False),
    "timeout_ms": (read_integer(1, 86_400_000), DEFAULT_TIMEOUT_MS),
    "retries": (read_integer(0, 100), DEFAULT_RETRIES),
    "open_to_all": (read_boolean, False),
    "weight": (read_number(0), 1.0),
    # The default depends on at_most_once; parse_profile replaces the marker.
    "max_staleness_s": (read_optional(read_number(0)), "by kind of route"),
    "body_limit_bytes": (read_integer(0, 2**40), DEFAULT_BODY_LIMIT_BYTES),
}


class Profile:
    """How the calls of a route are treated; see ``parse_profile`` for the fields."""

    __slots__ = (
        "name",
        "priority",
        "idempotent",
        "at_most_once",
        "timeout_s",
        "retries",
        "open_to_all",
        "weight",
        "max_staleness_s",
        "body_limit_bytes",
    )

    def __init__(self, **fields):
        for field in self.__slots__:
            setattr(self, field, fields[field])

    def __repr__(self):
        return f"Profile({self.name!r}, {self.priority.name})"


def parse_profile(name, spec):
    """Return the profile in a spec.

    Parameters
    ----------
    name : str
        Name of the profile.
    spec : dict
        ``priority`` is required. A route is at most one of ``idempotent`` and
        ``at_most_once``, since idempotent calls are retried. An explicit null
        as ``max_staleness_s`` removes the bound; without the field the bound is
        3600 s on at-most-once routes and none on others.

    Returns
    -------
    Profile

    Raises
    ------
    ExceptionGroup
        One ``ProfileInvalid`` for each invalid, missing or unknown field.

    Examples
    --------
    >>> parse_profile("browse", {"priority": "interactive"}).timeout_s
    10.0
    """
    values, errors = parse_fields(f"profile {name}", spec, ROWS, ProfileInvalid)
    if values.get("idempotent") and values.get("at_most_once"):
        errors.append(
            ProfileInvalid(
                f"profile {name} is both idempotent and at_most_once",
                "set idempotent for reads and at_most_once for bookings",
            )
        )
    if errors:
        raise ExceptionGroup(f"profile {name} is invalid", errors)
    if "max_staleness_s" not in spec:
        bound = AT_MOST_ONCE_STALENESS_S if values["at_most_once"] else None
        values["max_staleness_s"] = bound
    return Profile(name=name, timeout_s=values.pop("timeout_ms") / 1000, **values)
