"""Organisations and their rates."""

from egretlift.configuration.fields import parse_fields, read_number
from egretlift.errors import OrganisationInvalid

ROWS = {
    "rate": (read_number(0), ...),
    # A burst below one call would never let a whole token accumulate.
    "burst": (read_number(1, exclusive=False), ...),
    "weight": (read_number(0), 1.0),
}


class Organisation:
    """Limits of one organisation over all hosts together.

    Parameters
    ----------
    name : str
        Name of the organisation.
    rate : float
        Calls per second.
    burst : float
        Calls that may come at once.
    weight : float
        Share in the admission queue relative to other organisations.
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
    """Return the organisation in a spec.

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
    values, errors = parse_fields(label, spec, ROWS, OrganisationInvalid)
    if errors:
        raise ExceptionGroup(f"{label} is invalid", errors)
    return Organisation(name, **values)
