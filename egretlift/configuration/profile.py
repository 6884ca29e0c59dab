"""Profiles: how the calls of a route are prioritised, limited and retried."""

from egretlift.configuration.fields import (
    make_choice_reader,
    make_integer_reader,
    make_number_reader,
    make_optional_reader,
    parse_fields,
    read_boolean,
)
from egretlift.errors import ProfileInvalid
from egretlift.outcome import Priority

DEFAULT_RETRIES = 2
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_BODY_LIMIT_BYTES = 1_048_576
# Default bound on the age of the catalog on at-most-once routes: a booking that is
# checked against an older one could be made with a withdrawn key.
AT_MOST_ONCE_STALENESS_S = 3600.0

FIELDS = {
    "priority": (make_choice_reader({p.name.lower(): p for p in Priority}), ...),
    "idempotent": (read_boolean, False),
    "at_most_once": (read_boolean, False),
    "timeout_ms": (make_integer_reader(1, 86_400_000), DEFAULT_TIMEOUT_MS),
    "retries": (make_integer_reader(0, 100), DEFAULT_RETRIES),
    "open_to_all": (read_boolean, False),
    "weight": (make_number_reader(0), 1.0),
    # Placeholder: the default depends on at_most_once and is set by parse_profile.
    "max_staleness_s": (
        make_optional_reader(make_number_reader(0)),
        "by kind of route",
    ),
    "body_limit_bytes": (make_integer_reader(0, 2**40), DEFAULT_BODY_LIMIT_BYTES),
}


class Profile:
    """How the calls of a route are treated; `parse_profile` describes the fields."""

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
    """Return the ``Profile`` described by a spec.

    Parameters
    ----------
    name : str
        Name of the profile.
    spec : dict
        Only ``priority`` is required. ``idempotent`` and ``at_most_once`` exclude
        each other, since idempotent calls are retried. ``max_staleness_s`` bounds
        the age of the configuration with which a call may run: null removes the
        bound, and the default is 3600 s on at-most-once routes and no bound on
        others.

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
    values, errors = parse_fields(f"profile {name}", spec, FIELDS, ProfileInvalid)
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
