"""Organisations and their rate limits."""

from egretlift.configuration.fields import make_number_reader, parse_fields
from egretlift.errors import OrganisationInvalid

FIELDS = {
    "rate": (make_number_reader(0), ...),
    # With a burst below 1, the token bucket could never hold a whole token.
    "burst": (make_number_reader(1, exclusive=False), ...),
    "weight": (make_number_reader(0), 1.0),
}


class Organisation:
    """Rate limit and weight of one organisation, summed over all hosts.

    Parameters
    ----------
    name : str
        Name of the organisation.
    rate : float
        Sustained rate in calls per second.
    burst : float
        Size of the token bucket: calls that may arrive at once.
    weight : float
        Weight in the fair admission queue, relative to other organisations.
    """

    __slots__ = ("burst", "name", "rate", "weight")

    def __init__(self, name, rate, burst, weight=1.0):
        self.name = name
        self.rate = rate
        self.burst = burst
        self.weight = weight

    def __repr__(self):
        return f"Organisation({self.name!r}, {self.rate}/s, burst {self.burst})"


def parse_organisation(name, spec):
    """Return the ``Organisation`` described by a spec.

    Raises
    ------
    ExceptionGroup
        One ``OrganisationInvalid`` for each invalid, missing or unknown field.

    Examples
    --------
    >>> parse_organisation("northlight", {"rate": 50, "burst": 100})
    Organisation('northlight', 50.0/s, burst 100.0)
    """
    label = f"organisation {name}"
    values, errors = parse_fields(label, spec, FIELDS, OrganisationInvalid)
    if errors:
        raise ExceptionGroup(f"{label} is invalid", errors)
    return Organisation(name, **values)
