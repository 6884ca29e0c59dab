"""Election of the hosts that watch the store on behalf of their zone.

The load on the store stays low because only a few hosts of each zone, the followers,
watch it and forward changes to the others. Every host ranks the hosts that it receives
reports from by rendezvous hashing, with hosts that the store refused last. The election
thus needs no messages of its own, and another host takes over when a follower fails.
"""

import math

from egretlift.membership.directory import rank_by_weight

# Fewest followers over all zones. Each zone has at least one.
FOLLOWERS_MINIMUM = 3
STORE_KEY = "store"
# A host becomes a follower only after it has been chosen for this long. At startup it
# has not yet received reports from the others, and during an outage of the store all
# hosts would otherwise try to connect in quick succession.
TAKEOVER_DELAY_S = 1.0


def choose_followers(zones, served, refused=()):
    """Return the hosts of a zone that watch the store, best rank first.

    Parameters
    ----------
    zones : int
        Number of zones.
    served, refused : iterable of str
        Hosts that the store serves or that have not tried, and hosts that it refused.

    Examples
    --------
    >>> choose_followers(3, ["a"], ["b", "c"])
    ['a']
    >>> len(choose_followers(2, ["a"], ["b", "c"]))
    2
    """
    ranked = [
        *rank_by_weight(STORE_KEY, served),
        *rank_by_weight(STORE_KEY, refused),
    ]
    return ranked[: math.ceil(FOLLOWERS_MINIMUM / zones)]


class FollowerRole:
    """How long this host has been chosen to watch the store.

    Attributes
    ----------
    chosen_at : float or None
        Monotonic time in seconds since when it has been chosen; None if it is not.
    """

    __slots__ = ("chosen_at",)

    def __init__(self):
        self.chosen_at = None


def update_role(role, is_chosen, now):
    """Record whether this host is chosen; return whether it watches the store now.

    It does once it has been chosen for `TAKEOVER_DELAY_S` without interruption.

    Examples
    --------
    >>> role = FollowerRole()
    >>> update_role(role, True, 0.0), update_role(role, True, 1.0)
    (False, True)
    >>> update_role(role, False, 1.5), update_role(role, True, 2.0)
    (False, False)
    """
    if not is_chosen:
        role.chosen_at = None
        return False
    if role.chosen_at is None:
        role.chosen_at = now
    return now - role.chosen_at >= TAKEOVER_DELAY_S
