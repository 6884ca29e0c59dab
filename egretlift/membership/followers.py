"""Election of the hosts that watch the store on behalf of their zone.

The load on the store stays low because only a few hosts of each zone, the followers,
watch it and forward changes to the others. Every host ranks the hosts that it receives
reports from by rendezvous hashing, with hosts that the store refused last. The election
thus needs no messages of its own.

A host without a report of a follower does not know whether its configuration is still
the latest one. The hosts that are left then watch the store as standbys, in the order
of their ranks and without waiting for the election to notice who is lost. The first one
that reports its success stops the others; it goes on until an elected host reports one.
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
# A follower counts as lost after this many of its report intervals without a report.
NEWS_TIMEOUT_INTERVALS = 2.4
# Delay between two standbys of successive ranks, in seconds.
STANDBY_STEP_S = 0.01


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
    return rank_candidates(served, refused)[: count_followers(zones)]


def rank_candidates(served, refused=()):
    """Return the hosts of a zone in the order in which they are chosen."""
    return [
        *rank_by_weight(STORE_KEY, served),
        *rank_by_weight(STORE_KEY, refused),
    ]


def count_followers(zones):
    """Return how many hosts of each zone watch the store."""
    return math.ceil(FOLLOWERS_MINIMUM / zones)


class FollowerRole:
    """Part of this host in watching the store.

    Attributes
    ----------
    chosen_at : float or None
        Monotonic time in seconds since when it has been chosen; None if it is not.
    is_standby : bool
        Whether it has taken over from followers whose reports were missing.
    news_at : float or None
        Monotonic time, in seconds, of the last report of a follower, whether the store
        served that or not; None before the first one.
    """

    __slots__ = ("chosen_at", "is_standby", "news_at")

    def __init__(self):
        self.chosen_at = None
        self.is_standby = False
        self.news_at = None


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


def find_standby_time(role, rank, interval_s):
    """Return when this host takes over if it hears no follower, infinite for never.

    Parameters
    ----------
    role : FollowerRole
    rank : int
        Rank of this host among the candidates of its zone, from 0.
    interval_s : float
        Time between two reports of a follower.

    Examples
    --------
    >>> role = FollowerRole()
    >>> find_standby_time(role, 1, 0.5)
    inf
    >>> role.news_at = 7.0
    >>> round(find_standby_time(role, 1, 0.5), 2)
    8.21
    """
    if role.news_at is None:
        return math.inf
    return role.news_at + NEWS_TIMEOUT_INTERVALS * interval_s + STANDBY_STEP_S * rank


def update_standby(role, due_at, now, must_end):
    """Record whether this host watches the store as a standby, and return it.

    Parameters
    ----------
    role : FollowerRole
    due_at : float
        See `find_standby_time`.
    now : float
    must_end : bool
        Whether others watch the store, or it has turned this host away.
    """
    if must_end:
        role.is_standby = False
    elif now >= due_at:
        role.is_standby = True
    return role.is_standby
