"""The lease of a zone, a platform object held by the host that allocates rates.

``ZoneLease`` is the content of the object, ``LeaseState`` one host's view of it.
The daemon reads and writes the platform and reports what happened:

* ``observe_lease`` for every object read, watched or named in a conflict,
* ``record_written`` for a successful write,
* ``record_platform`` for every answer or failure of the platform.

A planned write is unsettled until a higher version is seen. A lost answer needs
no report: ``plan_write`` returns the same write again, so that at most one of
the two is applied. A write that is still on its way after reading the old
version cannot be told from a lost one in any other way.

Rules that keep two hosts from holding at once:

* The holder counts the lease from the time it sent a renewal, less the drift;
  others count from when they saw the version change, plus the drift.
* A holder whose lease has lapsed needs a new epoch, even if its renewal succeeds
  later.
* A standby confirms only while it has no unsettled write and is named with its
  incarnation. The version that names it makes a delayed write of an earlier
  incarnation fail.
"""

import math


class ZoneLease:
    """Content of a ``zone-lease`` object.

    ``renewed`` counts renewals. ``standbys`` holds (host, incarnation) pairs. A
    ``released`` lease has no acting holder; ``drained`` says that no grants were
    left when it was released.
    """

    __slots__ = (
        "drained",
        "epoch",
        "holder",
        "incarnation",
        "released",
        "renewed",
        "standbys",
        "zone",
    )

    def __init__(
        self,
        zone,
        holder="",
        incarnation=0,
        epoch=0,
        standbys=(),
        renewed=0,
        released=False,
        drained=False,
    ):
        self.zone = zone
        self.holder = holder
        self.incarnation = incarnation
        self.epoch = epoch
        self.standbys = tuple(tuple(standby) for standby in standbys)
        self.renewed = renewed
        self.released = released
        self.drained = drained


def lease_spec(lease):
    """Return the platform spec of a zone lease.

    Examples
    --------
    >>> lease = ZoneLease("a", "h1", 7, 1, [("h2", 5)])
    >>> parse_lease("a", lease_spec(lease)).standbys
    (('h2', 5),)
    """
    spec = {
        name: getattr(lease, name) for name in ZoneLease.__slots__ if name != "zone"
    }
    spec["standbys"] = [list(standby) for standby in lease.standbys]
    return spec


def parse_lease(zone, spec):
    """Return the ``ZoneLease`` of a platform spec."""
    return ZoneLease(zone, **{name: spec[name] for name in spec if name != "zone"})


class Unsettled:
    """A write whose effect is not known yet."""

    __slots__ = ("expected", "sent_at", "spec")

    def __init__(self, spec, expected, sent_at):
        self.spec = spec
        self.expected = expected
        self.sent_at = sent_at


class LeaseState:
    """One host's view of a zone lease, on this host's monotonic clock.

    Attributes
    ----------
    version : int
        Platform version of ``lease``; 0 if no object has been seen.
    seen_at : float
        When this version was first seen.
    confirmed_at : float
        When the last read that found this version was sent.
    held_epoch : int
        Epoch in which this process is the holder, 0 if it is not.
    renewed_at : float
        When the last successful renewal was sent.
    asked : dict of (host, incarnation) to float
        When the last confirmation of each standby was asked for.
    opens_at : float
        When the quarantine of this holder ends.
    promised_until : float
        Until when this host has promised not to take the lease over.
    """

    __slots__ = (
        "asked",
        "attempted_at",
        "confirmed_at",
        "held_epoch",
        "host",
        "incarnation",
        "lease",
        "opens_at",
        "promised_until",
        "reachable",
        "renewed_at",
        "seen_at",
        "skip_quarantine",
        "stopping",
        "unsettled",
        "version",
        "zone",
    )

    def __init__(self, zone, host, incarnation, now):
        self.zone = zone
        self.host = host
        self.incarnation = incarnation
        self.lease = ZoneLease(zone)
        self.version = 0
        self.seen_at = now
        self.confirmed_at = now
        self.held_epoch = 0
        self.renewed_at = -math.inf
        self.asked = {}
        self.promised_until = -math.inf
        self.unsettled = None
        self.attempted_at = -math.inf
        self.reachable = True
        self.stopping = False
        self.opens_at = now
        self.skip_quarantine = False


def required_standbys(state):
    """Return every standby that may take over, now or after an unsettled write.

    Returns None if the lease has, or may get, no standbys: any host may then take
    it over and no confirmation helps.
    """
    names = set(state.lease.standbys)
    if state.unsettled:
        pending = {tuple(standby) for standby in state.unsettled.spec["standbys"]}
        names = names | pending if pending else set()
    return names if names and state.lease.standbys else None


def hold_until(state, settings):
    """Return until when this process may hold the lease, on its own clock."""
    less = 1 - settings.clock_drift
    until = state.renewed_at + settings.zone_lease_s * less
    standbys = required_standbys(state)
    if standbys is not None:
        asked = min(state.asked.get(standby, -math.inf) for standby in standbys)
        until = max(until, asked + settings.zone_lease_s * less)
    return min(until, state.renewed_at + settings.zone_autonomy_s * less)


def may_hold(state, settings, now):
    """Return whether this process may hold the lease and allocate at ``now``.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
        Uses ``zone_lease_s``, ``zone_autonomy_s`` and ``clock_drift``.
    now : float
        Monotonic seconds, read immediately before the use.
    """
    return (
        state.held_epoch > 0
        and not state.stopping
        and now < hold_until(state, settings)
    )


def give_up_lapsed(state, settings, now):
    """Forget a hold that has lapsed; a later renewal does not revive it."""
    if state.held_epoch and not state.stopping and not may_hold(state, settings, now):
        state.held_epoch = 0


def observe_lease(state, settings, now, sent_at, version, spec):
    """Take over a version of the object that was read, watched or in a conflict.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the object arrived.
    sent_at : float
        When it was asked for.
    version : int
        0 if there is no object.
    spec : dict or None
    """
    give_up_lapsed(state, settings, now)
    if version == state.version:
        state.confirmed_at = max(state.confirmed_at, sent_at)
    if version <= state.version:
        return
    write = state.unsettled
    if write and version > write.expected:
        state.unsettled = None
    previous = state.lease
    state.version = version
    state.lease = parse_lease(state.zone, spec)
    state.seen_at = now
    state.confirmed_at = sent_at
    if write and spec == write.spec and version > write.expected:
        accept_write(state, settings, now, write.sent_at, previous)
    elif state.lease.epoch != state.held_epoch:
        state.held_epoch = 0


def record_written(state, settings, now, sent_at, version, spec):
    """Record the success of the last planned write.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the answer arrived.
    sent_at : float
        When the write that got the answer was sent.
    version : int
        The version it created.
    spec : dict
        The spec in the answer; the answer to any other write is only observed.
    """
    if state.unsettled and spec == state.unsettled.spec and version > state.version:
        state.unsettled.sent_at = sent_at
    observe_lease(state, settings, now, sent_at, version, spec)


def accept_write(state, settings, now, sent_at, previous):
    """Start or extend the hold after this host's own write took effect."""
    lease = state.lease
    if lease.released or (lease.holder, lease.incarnation) != (
        state.host,
        state.incarnation,
    ):
        state.held_epoch = 0
    elif lease.epoch != previous.epoch:
        state.held_epoch = lease.epoch
        state.renewed_at = sent_at
        state.asked = {}
        state.skip_quarantine = previous.drained or previous.epoch == 0
        state.opens_at = now + quarantine_s(state, settings)
    elif state.held_epoch == lease.epoch:
        state.renewed_at = sent_at
    give_up_lapsed(state, settings, now)


def quarantine_s(state, settings):
    """Return how long a new holder waits before it allocates, in seconds.

    After that time every grant of an earlier epoch has lapsed. It is 0 if the lease
    was released after all grants had lapsed, or is the first of its zone.
    """
    if state.skip_quarantine:
        return 0.0
    return settings.share_lease_s * (1 + settings.clock_drift)


def record_platform(state, reachable):
    """Record whether the last attempt to reach the platform got an answer."""
    state.reachable = reachable


def confirm_lease(state, settings, now, holder, incarnation, epoch):
    """Answer a holder that cannot reach the platform; True is a promise.

    A standby confirms if it cannot reach the platform either and knows no higher
    epoch, and then does not take over for one lease time.

    Returns
    -------
    bool
    """
    lease = state.lease
    known = (lease.holder, lease.incarnation, lease.epoch, lease.released)
    confirmed = (
        not state.reachable
        and state.unsettled is None
        and known == (holder, incarnation, epoch, False)
        and (state.host, state.incarnation) in lease.standbys
    )
    if confirmed:
        until = now + settings.zone_lease_s * (1 + settings.clock_drift)
        state.promised_until = max(state.promised_until, until)
    return confirmed


def record_confirmation(state, settings, now, asked_at, standby, epoch):
    """Record a standby's promise, counted from when the holder asked.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
        When the confirmation arrived.
    asked_at : float
        When the question was sent.
    standby : tuple of (str, int)
        Host and incarnation.
    epoch : int
        The epoch that was confirmed.
    """
    give_up_lapsed(state, settings, now)
    if epoch and epoch == state.held_epoch:
        state.asked[standby] = max(asked_at, state.asked.get(standby, -math.inf))


def may_take_over(state, settings, now, host=None):
    """Return whether a host may try to take the lease over at ``now``.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
    now : float
    host : str, optional
        Name of the host; this state's own by default.
    """
    host = state.host if host is None else host
    lease = state.lease
    more = 1 + settings.clock_drift
    unchanged_s = now - state.seen_at
    standby = any(host == name for name, _ in lease.standbys)
    if state.stopping or (state.held_epoch and may_hold(state, settings, now)):
        return False
    if state.version == 0 or (lease.released and (standby or not lease.standbys)):
        return True
    if now < state.promised_until and not lease.released:
        return False
    if lease.holder == host and not lease.released:
        return True
    if unchanged_s > settings.zone_autonomy_s * more:
        return True
    may = standby or lease.released or not lease.standbys
    return may and unchanged_s > settings.zone_lease_s * more


def stop_holding(state):
    """Stop holding for a planned stop; ``plan_write`` then releases the lease."""
    state.stopping = True


def plan_write(state, settings, now, standbys=(), drained=False):
    """Return the platform write to attempt now, or None.

    Parameters
    ----------
    state : LeaseState
    settings : Settings
        Uses ``zone_lease_renewal_s`` and ``zone_standbys``.
    now : float
    standbys : sequence of (str, int)
        Hosts of the zone with their incarnations that are fit to be standbys, best
        first and without this host.
    drained : bool
        For the release: whether all grants of this holder have lapsed.

    Returns
    -------
    tuple of (dict, int) or None
        New spec and expected version. The write counts as sent at ``now``.

    Examples
    --------
    >>> from egretlift.settings import Settings
    >>> state, settings = LeaseState("a", "h1", 7, 0.0), Settings()
    >>> spec, expected = plan_write(state, settings, 0.0)
    >>> expected, spec["holder"], spec["epoch"]
    (0, 'h1', 1)
    >>> record_written(state, settings, 0.1, 0.0, 3, spec)
    >>> may_hold(state, settings, 0.1), may_hold(state, settings, 9.95)
    (True, False)
    """
    give_up_lapsed(state, settings, now)
    write = state.unsettled
    if write:
        if now - state.attempted_at < settings.zone_lease_renewal_s / 3:
            return None
        state.attempted_at = now
        return write.spec, write.expected
    lease = next_lease(state, settings, now, standbys, drained)
    if lease is None:
        return None
    state.attempted_at = now
    state.unsettled = Unsettled(lease_spec(lease), state.version, now)
    return state.unsettled.spec, state.version


def next_lease(state, settings, now, standbys, drained):
    """Return the lease to write: a release, a renewal or a take-over, or None."""
    old = state.lease
    names = tuple(standbys)[: settings.zone_standbys]
    if state.stopping:
        if not state.held_epoch:
            return None
        return ZoneLease(
            state.zone,
            old.holder,
            old.incarnation,
            old.epoch,
            old.standbys,
            old.renewed + 1,
            released=True,
            # In quarantine the grants of the holder before this one may be valid.
            drained=drained and now >= state.opens_at,
        )
    if state.held_epoch:
        if now - state.attempted_at < settings.zone_lease_renewal_s:
            return None
        epoch = old.epoch
    elif may_take_over(state, settings, now):
        epoch = old.epoch + 1
    else:
        return None
    return ZoneLease(
        state.zone, state.host, state.incarnation, epoch, names, old.renewed + 1
    )


def is_lost(state, settings):
    """Return whether the zone has been without a holder long enough to reclaim.

    The object was read unchanged over the autonomy time, so that its holder has
    stopped and the last grants of its hosts have lapsed.
    """
    limit = settings.zone_autonomy_s + settings.share_lease_s
    unchanged_s = state.confirmed_at - state.seen_at
    return state.version > 0 and unchanged_s > limit * (1 + settings.clock_drift)
